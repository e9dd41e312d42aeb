#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <ostream>
#include <string_view>

namespace rattanbeam::decisions
{

/// The three ranks (priority classes) of requests, most urgent first.
enum class Rank : std::size_t {
    Urgent = 0,
    Interactive = 1,
    Batch = 2,
};

inline constexpr std::size_t rankCount = 3;
inline constexpr std::array<Rank, rankCount> allRanks{Rank::Urgent, Rank::Interactive, Rank::Batch};

inline constexpr std::size_t rankIndex(Rank rank)
{
    return static_cast<std::size_t>(rank);
}

std::string_view rankName(Rank rank);
std::optional<Rank> rankFromName(std::string_view name);
std::ostream &operator<<(std::ostream &stream, Rank rank);

/// An array of one value for each rank.
template<typename Value>
class PerRank
{
public:
    Value &operator[](Rank rank)
    {
        return m_values[rankIndex(rank)];
    }
    const Value &operator[](Rank rank) const
    {
        return m_values[rankIndex(rank)];
    }
    auto operator<=>(const PerRank &) const = default;

private:
    std::array<Value, rankCount> m_values{};
};

} // namespace rattanbeam::decisions
