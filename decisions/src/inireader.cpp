#include "rattanbeam/decisions/inireader.h"

#include <boost/property_tree/ini_parser.hpp>

#include <algorithm>
#include <charconv>
#include <sstream>

namespace rattanbeam::decisions
{

namespace
{

struct TimeUnit {
    std::string suffix;
    std::int64_t milliseconds;
};

const std::vector<TimeUnit> &timeUnits()
{
    static const std::vector<TimeUnit> knownUnits{{"ms", 1}, {"min", 60'000}, {"s", 1'000}};
    return knownUnits;
}

std::optional<std::int64_t> parseWholeNumber(const std::string &text)
{
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

std::optional<std::int64_t> parseMilliseconds(const std::string &text)
{
    for (const TimeUnit &unit : timeUnits()) {
        if (!text.ends_with(unit.suffix)) {
            continue;
        }
        const auto number = parseWholeNumber(text.substr(0, text.size() - unit.suffix.size()));
        constexpr std::int64_t maxUnitCount = 1'000'000'000;
        if (number && *number >= 0 && *number <= maxUnitCount) {
            return *number * unit.milliseconds;
        }
        return std::nullopt;
    }
    return std::nullopt;
}

std::string rangeText(const IniReader::Range &range, const std::string &unitSuffix)
{
    return "must be " + std::to_string(range.min) + unitSuffix + " to " + std::to_string(range.max) + unitSuffix;
}

} // namespace

std::string ConfigError::text(const std::string &file) const
{
    std::string line = file + ": ";
    if (!section.empty()) {
        line += "[" + section + "] ";
    }
    if (!key.empty()) {
        line += key + ": ";
    }
    return line + message;
}

IniReader::IniReader(const std::string &text)
{
    if (text.size() > maxBytes) {
        fail("", "", "longer than 1048576 bytes");
        return;
    }
    if (text.find('\0') != std::string::npos) {
        fail("", "", "contains a NUL byte");
        return;
    }
    std::istringstream stream(text);
    try {
        boost::property_tree::read_ini(stream, m_tree);
    } catch (const boost::property_tree::ini_parser_error &error) {
        fail("", "line " + std::to_string(error.line()), error.message());
    }
}

void IniReader::addDefault(const std::string &setting)
{
    const auto equals = setting.find('=');
    const auto dot = setting.find('.');
    if (equals == std::string::npos || dot == std::string::npos || dot > equals) {
        fail("", setting, "is not SECTION.KEY=VALUE");
        return;
    }
    if (equals + 1 < setting.size()) {
        m_defaults[{setting.substr(0, dot), setting.substr(dot + 1, equals - dot - 1)}] = setting.substr(equals + 1);
    }
}

std::optional<std::string> IniReader::find(const std::string &section, const std::string &key)
{
    m_queriedKeys.emplace(section, key);
    const auto foundSection = m_tree.find(section);
    if (foundSection != m_tree.not_found()) {
        const auto foundKey = foundSection->second.find(key);
        if (foundKey != foundSection->second.not_found()) {
            return foundKey->second.data();
        }
    }
    const auto foundDefault = m_defaults.find({section, key});
    return foundDefault == m_defaults.end() ? std::nullopt : std::optional(foundDefault->second);
}

std::string IniReader::requiredText(const std::string &section, const std::string &key)
{
    const auto value = find(section, key);
    if (!value || value->empty()) {
        fail(section, key, "is missing");
        return {};
    }
    return *value;
}

std::string IniReader::text(const std::string &section, const std::string &key, const std::string &defaultValue)
{
    return find(section, key).value_or(defaultValue);
}

std::int64_t IniReader::parseInteger(
    const std::string &section, const std::string &key, const std::string &value, Range range, std::int64_t defaultValue)
{
    const auto number = parseWholeNumber(value);
    if (!number) {
        fail(section, key, "'" + value + "' is not a whole number");
        return defaultValue;
    }
    if (*number < range.min || *number > range.max) {
        fail(section, key, rangeText(range, ""));
        return defaultValue;
    }
    return *number;
}

std::int64_t IniReader::requiredInteger(const std::string &section, const std::string &key, Range range)
{
    const std::string value = requiredText(section, key);
    return value.empty() ? range.min : parseInteger(section, key, value, range, range.min);
}

std::int64_t IniReader::integer(const std::string &section, const std::string &key, Range range, std::int64_t defaultValue)
{
    const auto value = find(section, key);
    return value ? parseInteger(section, key, *value, range, defaultValue) : defaultValue;
}

std::chrono::milliseconds
IniReader::duration(const std::string &section, const std::string &key, Range rangeMs, std::chrono::milliseconds defaultValue)
{
    const auto value = find(section, key);
    if (!value) {
        return defaultValue;
    }
    const auto milliseconds = parseMilliseconds(*value);
    if (!milliseconds) {
        fail(section, key, "'" + *value + "' is not a time: write a whole number and ms, s or min");
        return defaultValue;
    }
    if (*milliseconds < rangeMs.min || *milliseconds > rangeMs.max) {
        fail(section, key, rangeText(rangeMs, "ms"));
        return defaultValue;
    }
    return std::chrono::milliseconds(*milliseconds);
}

std::string IniReader::choice(const std::string &section,
                              const std::string &key,
                              const std::vector<std::string> &choices,
                              const std::string &defaultValue)
{
    const auto value = find(section, key);
    if (!value) {
        return defaultValue;
    }
    if (std::find(choices.begin(), choices.end(), *value) == choices.end()) {
        std::string message = "'" + *value + "' is not one of";
        for (const std::string &allowed : choices) {
            message += ' ' + allowed;
        }
        fail(section, key, message);
        return defaultValue;
    }
    return *value;
}

std::vector<std::string> IniReader::namedSections(const std::string &prefix) const
{
    std::vector<std::string> names;
    for (const auto &[section, keys] : m_tree) {
        if (section.starts_with(prefix + ' ')) {
            names.push_back(section.substr(prefix.size() + 1));
        }
    }
    return names;
}

std::vector<std::pair<std::string, std::string>> IniReader::entries(const std::string &section)
{
    std::vector<std::pair<std::string, std::string>> keysAndValues;
    const auto found = m_tree.find(section);
    if (found == m_tree.not_found()) {
        return keysAndValues;
    }
    for (const auto &[key, value] : found->second) {
        m_queriedKeys.emplace(section, key);
        keysAndValues.emplace_back(key, value.data());
    }
    return keysAndValues;
}

void IniReader::fail(const std::string &section, const std::string &key, const std::string &message)
{
    if (!m_error) {
        m_error = ConfigError{section, key, message};
    }
}

std::optional<ConfigError> IniReader::finish()
{
    for (const auto &[section, keys] : m_tree) {
        if (keys.empty()) {
            fail("", section, "stands outside of any section, or its section is empty");
        }
        for (const auto &[key, value] : keys) {
            if (!m_queriedKeys.contains({section, key})) {
                fail(section, key, "is not a known key");
            }
        }
    }
    for (const auto &[name, value] : m_defaults) {
        if (!m_queriedKeys.contains(name)) {
            fail(name.first, name.second, "is not a known key");
        }
    }
    return m_error;
}

} // namespace rattanbeam::decisions
