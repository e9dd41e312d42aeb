#include "rattanbeam/kernel/tracing.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace rattanbeam::kernel::test
{

namespace
{

/// A file for spans that goes with the test.
class SpanFile
{
public:
    SpanFile() : m_path(std::filesystem::temp_directory_path() / ("rattanbeam-spans-" + std::to_string(getpid())))
    {}
    SpanFile(const SpanFile &) = delete;
    SpanFile &operator=(const SpanFile &) = delete;
    ~SpanFile()
    {
        std::filesystem::remove(m_path);
    }
    const std::string &path() const
    {
        return m_path;
    }
    std::string text() const
    {
        std::ifstream stream(m_path);
        std::ostringstream text;
        text << stream.rdbuf();
        return text.str();
    }

private:
    std::string m_path;
};

} // namespace

TEST_CASE("A request's spans share one trace across instances", "[tracing]")
{
    const SpanFile file;
    Tracing entry(file.path(), 1, "a1");
    Tracing home(file.path(), 1, "b1");
    Span root = entry.startSpan("entry", "", true);
    Span hop = home.startSpan("home", root.context());
    hop.tag("member", "orders-b");
    hop.finish();
    root.finish();
    const std::string text = file.text();
    const std::string trace = text.substr(0, text.find(' '));
    CHECK(text.find("name=home instance=b1") != std::string::npos);
    CHECK(text.find("member=orders-b") != std::string::npos);
    CHECK(text.find(trace, trace.size()) != std::string::npos);
}

TEST_CASE("A trace context that is none starts nothing and never crashes", "[tracing]")
{
    const SpanFile file;
    Tracing tracing(file.path(), 1, "a1");
    rc::prop("for any text", [&tracing](const std::string &text) {
        Span span = tracing.startSpan("entry", text);
        span.finish();
    });
    const std::string valid = tracing.startSpan("entry", "", true).context();
    rc::prop("for a context with any byte changed", [&](std::uint16_t at, char byte) {
        std::string text = valid;
        text[at % text.size()] = byte;
        tracing.startSpan("entry", text).finish();
    });
}

} // namespace rattanbeam::kernel::test
