#pragma once

#include "rattanbeam/decisions/result.h"
#include "rattanbeam/decisions/timepoint.h"

#include <boost/property_tree/ptree.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rattanbeam::decisions
{

/// Reads INI text with checks. Keeps the first error, and reports keys that nobody asked for, so that a misspelt key
/// is never silently ignored.
///
///     IniReader reader(text);
///     const auto port = reader.integer("listen", "port", {0, 65535}, 0);
///     if (const auto error = reader.finish()) { ... }
class IniReader
{
public:
    /// Longest text that is read, in bytes.
    static constexpr std::size_t maxBytes = 1 << 20;

    struct Range {
        std::int64_t least;
        std::int64_t most;
    };

    explicit IniReader(const std::string &text);

    std::string requiredText(const std::string &section, const std::string &key);
    std::string text(const std::string &section, const std::string &key, const std::string &fallback);
    std::int64_t requiredInteger(const std::string &section, const std::string &key, Range range);
    std::int64_t integer(const std::string &section, const std::string &key, Range range, std::int64_t fallback);
    /// A number with a unit: `250ms`, `3s` or `2min`. The range is in milliseconds.
    std::chrono::milliseconds
    duration(const std::string &section, const std::string &key, Range rangeMs, std::chrono::milliseconds fallback);
    /// One of `choices`.
    std::string
    choice(const std::string &section, const std::string &key, const std::vector<std::string> &choices, const std::string &fallback);

    /// Sections called `prefix NAME`, in order: the names.
    std::vector<std::string> namedSections(const std::string &prefix) const;
    /// All keys of a section; they then count as asked for.
    std::vector<std::pair<std::string, std::string>> entries(const std::string &section);

    /// Records an error of the caller's own; the first one stays.
    void fail(const std::string &section, const std::string &key, const std::string &message);

    /// All keys that were asked for so far, as (section, key).
    const std::set<std::pair<std::string, std::string>> &askedKeys() const
    {
        return m_asked;
    }

    /// The first error, or a key that nobody asked for.
    std::optional<ConfigError> finish();

private:
    std::optional<std::string> find(const std::string &section, const std::string &key);
    std::int64_t
    parseInteger(const std::string &section, const std::string &key, const std::string &value, Range range, std::int64_t fallback);

    boost::property_tree::ptree m_tree;
    std::set<std::pair<std::string, std::string>> m_asked;
    std::optional<ConfigError> m_error;
};

} // namespace rattanbeam::decisions
