#include "rattanbeam/decisions/sessiontoken.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <vector>

namespace rattanbeam::decisions
{

namespace
{

constexpr std::string_view formatVersion = "1";

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (true) {
        const auto end = text.find(separator);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(end + 1);
    }
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

} // namespace

std::optional<SessionPosition> SessionToken::position(const DatabaseName &database) const
{
    const auto found = m_positions.find(database);
    if (found == m_positions.end()) {
        return std::nullopt;
    }
    return found->second;
}

bool SessionToken::hasRoomFor(const DatabaseName &database) const
{
    return m_positions.size() < maxDatabases || m_positions.contains(database);
}

SessionToken SessionToken::withObservedPosition(const DatabaseName &database, const LogPosition &logPosition, bool isFromPrimary) const
{
    SessionToken updated = *this;
    SessionPosition &position = updated.m_positions[database];
    position.logPosition = std::max(position.logPosition, logPosition);
    position.requiresPrimary = position.requiresPrimary && !isFromPrimary;
    return updated;
}

SessionToken SessionToken::withPrimaryRequired(const DatabaseName &database) const
{
    SessionToken updated = *this;
    updated.m_positions[database].requiresPrimary = true;
    return updated;
}

SessionToken SessionToken::withoutDatabase(const DatabaseName &database) const
{
    SessionToken updated = *this;
    updated.m_positions.erase(database);
    return updated;
}

std::string SessionToken::encode() const
{
    std::string text(formatVersion);
    for (const auto &[database, position] : m_positions) {
        text += '|' + database.text() + ',' + std::to_string(position.logPosition.term) + ','
                + std::to_string(position.logPosition.position);
        text += position.requiresPrimary ? ",p" : ",r";
    }
    return text;
}

std::optional<SessionToken> SessionToken::decode(const std::string &text)
{
    const auto parts = split(text, '|');
    if (text.size() > maxBytes || parts.front() != formatVersion || parts.size() - 1 > maxDatabases) {
        return std::nullopt;
    }
    SessionToken token;
    for (auto part = parts.begin() + 1; part != parts.end(); ++part) {
        const auto fields = split(*part, ',');
        if (fields.size() != 4 || fields[0].empty() || (fields[3] != "p" && fields[3] != "r")) {
            return std::nullopt;
        }
        const auto term = parseNumber(fields[1]);
        const auto position = parseNumber(fields[2]);
        if (!term || !position) {
            return std::nullopt;
        }
        token.m_positions[DatabaseName(std::string(fields[0]))] = {{*term, *position}, fields[3] == "p"};
    }
    return token;
}

} // namespace rattanbeam::decisions
