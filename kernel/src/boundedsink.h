#pragma once

#include <spdlog/sinks/base_sink.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <mutex>

namespace rattanbeam::kernel
{

/// Writes lines to a descriptor without ever waiting for its reader, and no more a second than it may. What is left out is
/// counted, and told in the next line that is written. Warnings and errors have a budget of their own.
class BoundedSink : public spdlog::sinks::base_sink<std::mutex>
{
public:
    BoundedSink(int descriptor, std::uint32_t linesPerSecond);

protected:
    void sink_it_(const spdlog::details::log_msg &message) override;
    void flush_() override
    {}

private:
    bool mayWrite(spdlog::level::level_enum level, std::chrono::system_clock::time_point now);
    bool write(const char *data, std::size_t size);

    int m_descriptor;
    std::uint32_t m_linesPerSecond;
    std::chrono::system_clock::time_point m_second{};
    std::array<std::uint32_t, 2> m_lines{};
    std::uint64_t m_omitted = 0;
};

} // namespace rattanbeam::kernel
