#include "rattanbeam/kernel/logevent.h"

#include "boundedsink.h"

#include <spdlog/spdlog.h>

#include <unistd.h>

#include <memory>

namespace rattanbeam::kernel
{

namespace
{

constexpr std::size_t maxValueBytes = 512;

std::string &instanceName()
{
    static std::string name;
    return name;
}

spdlog::level::level_enum spdlogLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return spdlog::level::debug;
    case LogLevel::Info:
        return spdlog::level::info;
    case LogLevel::Warning:
        return spdlog::level::warn;
    case LogLevel::Error:
        return spdlog::level::err;
    }
    return spdlog::level::info;
}

std::string quoted(const std::string &value)
{
    if (!value.empty() && value.find_first_of(" \"\\\n\r\t=") == std::string::npos) {
        return value;
    }
    std::string text = "\"";
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            text += '\\';
            text += character;
        } else if (static_cast<unsigned char>(character) < ' ') {
            text += ' ';
        } else {
            text += character;
        }
    }
    return text + '"';
}

} // namespace

LogEvent::LogEvent(std::string_view event, LogLevel level) : m_level(level), m_wanted(spdlog::should_log(spdlogLevel(level)))
{
    if (m_wanted) {
        m_line = "event=" + std::string(event);
        if (!instanceName().empty()) {
            m_line += " instance=" + instanceName();
        }
    }
}

LogEvent::~LogEvent()
{
    if (m_wanted) {
        spdlog::log(spdlogLevel(m_level), "{}", m_line);
    }
}

void LogEvent::append(std::string_view key, const std::string &value)
{
    m_line += ' ';
    m_line += key;
    m_line += '=';
    // Clients choose some values, such as the id of a request, and may make them as long as a message.
    m_line += value.size() <= maxValueBytes ? quoted(value) : quoted(value.substr(0, maxValueBytes) + "...");
}

void startBoundedLog(LogLevel least, const std::string &instance, std::uint32_t linesPerSecond)
{
    spdlog::set_default_logger(std::make_shared<spdlog::logger>("", std::make_shared<BoundedSink>(STDOUT_FILENO, linesPerSecond)));
    startLog(least, instance);
}

void startLog(LogLevel least, const std::string &instance)
{
    instanceName() = instance;
    spdlog::set_pattern("time=%Y-%m-%dT%H:%M:%S.%e level=%l %v");
    spdlog::set_level(spdlogLevel(least));
    spdlog::flush_on(spdlog::level::info);
}

} // namespace rattanbeam::kernel
