#pragma once

#include "rattanbeam/decisions/result.h"
#include "rattanbeam/decisions/timepoint.h"

#include <boost/property_tree/ptree.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rattanbeam::decisions
{

/// Reads and validates INI text. Keeps the first error, and reports keys that were never queried, so that a misspelt key
/// is not silently ignored.
///
///     IniReader reader(text);
///     const auto port = reader.integer("listen", "port", {0, 65535}, 0);
///     if (const auto error = reader.finish()) { ... }
class IniReader
{
public:
    /// Maximum size of the text, in bytes.
    static constexpr std::size_t maxBytes = 1 << 20;

    struct Range {
        std::int64_t min;
        std::int64_t max;
    };

    explicit IniReader(const std::string &text);

    /// Gives the key a value that it has if the text does not set it. An empty value is ignored. `setting` is `SECTION.KEY=VALUE`.
    void addDefault(const std::string &setting);

    std::string requiredText(const std::string &section, const std::string &key);
    std::string text(const std::string &section, const std::string &key, const std::string &defaultValue);
    std::int64_t requiredInteger(const std::string &section, const std::string &key, Range range);
    std::int64_t integer(const std::string &section, const std::string &key, Range range, std::int64_t defaultValue);
    /// A whole number with a unit: `250ms`, `3s` or `2min`. The range is in milliseconds.
    std::chrono::milliseconds
    duration(const std::string &section, const std::string &key, Range rangeMs, std::chrono::milliseconds defaultValue);
    /// One of `choices`.
    std::string
    choice(const std::string &section, const std::string &key, const std::vector<std::string> &choices, const std::string &defaultValue);

    /// The names of all sections called `prefix NAME`, in the order of the text.
    std::vector<std::string> namedSections(const std::string &prefix) const;
    /// All keys of a section with their values; marks the keys as queried.
    std::vector<std::pair<std::string, std::string>> entries(const std::string &section);

    /// Records an error that the caller found. Only the first error is kept.
    void fail(const std::string &section, const std::string &key, const std::string &message);

    /// All keys that were queried so far, as (section, key).
    const std::set<std::pair<std::string, std::string>> &queriedKeys() const
    {
        return m_queriedKeys;
    }

    /// The first error, or else an error for the first key that was never queried.
    std::optional<ConfigError> finish();

private:
    std::optional<std::string> find(const std::string &section, const std::string &key);
    std::int64_t
    parseInteger(const std::string &section, const std::string &key, const std::string &value, Range range, std::int64_t defaultValue);

    boost::property_tree::ptree m_tree;
    std::map<std::pair<std::string, std::string>, std::string> m_defaults;
    std::set<std::pair<std::string, std::string>> m_queriedKeys;
    std::optional<ConfigError> m_error;
};

} // namespace rattanbeam::decisions
