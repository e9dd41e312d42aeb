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

} // namespace rattanbeam::sessions::test
