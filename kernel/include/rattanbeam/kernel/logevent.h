#pragma once

#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>

namespace rattanbeam::kernel
{

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// One event for the operators' log, written as one line of key=value pairs when it goes out of scope. The events are
/// listed in docs/OPERATING.md.
///
///     LogEvent("promotion-published").with("database", database).with("term", term);
class LogEvent
{
public:
    explicit LogEvent(std::string_view event, LogLevel level = LogLevel::Info);
    LogEvent(const LogEvent &) = delete;
    LogEvent &operator=(const LogEvent &) = delete;
    ~LogEvent();

    /// Adds a pair; a value with spaces, quotes or line breaks is quoted and escaped.
    template<typename Value>
    LogEvent &with(std::string_view key, const Value &value)
    {
        if (m_wanted) {
            std::ostringstream text;
            text << value;
            append(key, text.str());
        }
        return *this;
    }

private:
    void append(std::string_view key, const std::string &value);

    LogLevel m_level;
    bool m_wanted;
    std::string m_line;
};

/// Sets what is written, for the whole process. `instance` is added to each line.
void startLog(LogLevel least, const std::string &instance);

/// Also bounds the log: at most `linesPerSecond` lines below warnings, and as many of warnings and errors, and never a wait
/// for whoever reads standard output. Lines left out are counted in the log.
void startBoundedLog(LogLevel least, const std::string &instance, std::uint32_t linesPerSecond);

} // namespace rattanbeam::kernel
