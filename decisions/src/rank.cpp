#include "rattanbeam/decisions/rank.h"

namespace rattanbeam::decisions
{

namespace
{
constexpr std::array<std::string_view, rankCount> rankNames{"urgent", "interactive", "batch"};
}

std::string_view rankName(Rank rank)
{
    return rankNames[rankIndex(rank)];
}

std::optional<Rank> rankFromName(std::string_view name)
{
    for (const Rank rank : allRanks) {
        if (rankName(rank) == name) {
            return rank;
        }
    }
    return std::nullopt;
}

std::ostream &operator<<(std::ostream &stream, Rank rank)
{
    return stream << rankName(rank);
}

} // namespace rattanbeam::decisions
