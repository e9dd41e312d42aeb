#include "rattanbeam/kernel/logevent.h"

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <string>

namespace rattanbeam::kernel
{

namespace
{

/// Puts a pipe in place of standard output for a while.
class PipedOutput
{
public:
    PipedOutput() : m_saved(dup(STDOUT_FILENO))
    {
        REQUIRE(pipe2(m_ends, O_CLOEXEC) == 0);
        dup2(m_ends[1], STDOUT_FILENO);
        fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
    }
    ~PipedOutput()
    {
        dup2(m_saved, STDOUT_FILENO);
        close(m_saved);
        close(m_ends[0]);
        close(m_ends[1]);
    }
    std::string read()
    {
        std::string text(1 << 20, '\0');
        const ssize_t size = ::read(m_ends[0], text.data(), text.size());
        text.resize(size < 0 ? 0 : static_cast<std::size_t>(size));
        return text;
    }

private:
    int m_saved;
    int m_ends[2] = {-1, -1};
};

} // namespace

TEST_CASE("A log that nobody reads never blocks, and counts what it left out", "[boundedlog]")
{
    PipedOutput output;
    startBoundedLog(LogLevel::Info, "a1", 1'000'000);
    const std::string filler(500, 'x');
    for (int i = 0; i < 2000; ++i) {
        LogEvent("full").with("filler", filler);
    }
    output.read();
    LogEvent("after").with("full", "no");
    const std::string text = output.read();
    startBoundedLog(LogLevel::Info, "", 1'000'000);
    CHECK(text.find("event=log-lines-omitted count=") != std::string::npos);
    CHECK(text.find("event=after") != std::string::npos);
}

TEST_CASE("Lines a second are bounded, warnings apart", "[boundedlog]")
{
    PipedOutput output;
    startBoundedLog(LogLevel::Info, "a1", 10);
    for (int i = 0; i < 50; ++i) {
        LogEvent("many").with("number", i);
    }
    LogEvent("important", LogLevel::Warning).with("level", "warning");
    const std::string text = output.read();
    startBoundedLog(LogLevel::Info, "", 1'000'000);
    std::size_t lines = 0;
    for (std::size_t at = text.find("event=many"); at != std::string::npos; at = text.find("event=many", at + 1)) {
        ++lines;
    }
    CHECK(lines <= 20); // a second may end in between
    CHECK(text.find("event=important") != std::string::npos);
}

} // namespace rattanbeam::kernel
