#include "boundedsink.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <string>
#include <utility>

namespace rattanbeam::kernel
{

namespace
{

// A pipe that is ready takes this much without blocking.
constexpr std::size_t mostLineBytes = 4096;

} // namespace

BoundedSink::BoundedSink(int descriptor, std::uint32_t linesPerSecond) : m_descriptor(descriptor), m_linesPerSecond(linesPerSecond)
{}

void BoundedSink::sink_it_(const spdlog::details::log_msg &message)
{
    if (!mayWrite(message.level, message.time)) {
        ++m_omitted;
        return;
    }
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (line.size() > mostLineBytes) {
        line.resize(mostLineBytes);
        line[mostLineBytes - 1] = '\n';
    }
    if (m_omitted > 0) {
        const std::string note = "event=log-lines-omitted count=" + std::to_string(m_omitted) + '\n';
        if (!write(note.data(), note.size())) {
            ++m_omitted;
            return;
        }
        m_omitted = 0;
    }
    if (!write(line.data(), line.size())) {
        ++m_omitted;
    }
}

bool BoundedSink::mayWrite(spdlog::level::level_enum level, std::chrono::system_clock::time_point now)
{
    // The time of day may jump back, too.
    const bool isNewSecond = now < m_second || now - m_second >= std::chrono::seconds(1);
    if (isNewSecond) {
        m_second = now;
        m_lines = {};
    }
    std::uint32_t &lines = m_lines[level >= spdlog::level::warn ? 1 : 0];
    if (lines >= m_linesPerSecond) {
        return false;
    }
    ++lines;
    return true;
}

bool BoundedSink::write(const char *data, std::size_t size)
{
    pollfd ready{m_descriptor, POLLOUT, 0};
    if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
        return false;
    }
    return ::write(m_descriptor, data, size) == static_cast<ssize_t>(size);
}

} // namespace rattanbeam::kernel
