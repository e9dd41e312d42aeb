#include "rattanbeam/sessions/eventloop.h"

#include <catch2/catch.hpp>

#include <stdexcept>

namespace rattanbeam::sessions::test
{

using namespace std::chrono_literals;

TEST_CASE("An exception ends the function that throws it, and the loop goes on", "[eventloop]")
{
    EventLoop loop;
    bool hasRunLater = false;
    loop.post([] {
        throw std::runtime_error("unexpected");
    });
    loop.post([&] {
        hasRunLater = true;
        loop.stop();
    });
    loop.run();
    CHECK(hasRunLater);
}

TEST_CASE("A repeated function that throws is called again", "[eventloop]")
{
    EventLoop loop;
    int calls = 0;
    loop.every(1ms, [&] {
        if (++calls == 3) {
            loop.stop();
        }
        throw std::runtime_error("unexpected");
    });
    loop.run();
    CHECK(calls == 3);
}

// Guards against a segmentation fault: a stream ended on a thread of gRPC after the loop that it reported to.
TEST_CASE("What is posted after the end of a loop is dropped", "[eventloop]")
{
    std::shared_ptr<EventLoop::Poster> poster;
    int calls = 0;
    const auto call = [&calls] {
        ++calls;
    };
    {
        EventLoop loop;
        poster = loop.poster();
        poster->post(call);
        loop.context().run();
    }
    poster->post(call);
    CHECK(calls == 1);
}

} // namespace rattanbeam::sessions::test
