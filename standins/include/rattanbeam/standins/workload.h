#pragma once

#include "rattanbeam/decisions/rank.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>

namespace rattanbeam::standins
{

/// One rank's part of a deployment's work.
struct RankMix {
    /// Share of all requests, 0 to 1.
    double share = 0;
    bool isWrite = false;
    /// Time that a statement works in its slot, beyond the member's own cost.
    std::uint32_t workMs = 0;
    std::uint32_t maxAgeMs = 0;

    auto operator<=>(const RankMix &) const = default;
};

/// The work of one deployment: urgent writes, interactive reads of one's own data, and long batch reads.
struct Mix {
    std::string name;
    decisions::PerRank<RankMix> ranks;

    auto operator<=>(const Mix &) const = default;
};

/// `order-desk` (Tiza Alegre), `rota` (Kutház) or `writes`, which are urgent writes only.
std::optional<Mix> mixByName(const std::string &name);

/// One kind of work that arrives in excess.
struct Flood {
    decisions::Rank rank = decisions::Rank::Batch;
    /// Requests a second, on top of the mix; 0 is no flood.
    double perSecond = 0;

    auto operator<=>(const Flood &) const = default;
};

/// Draws ranks and arrival times of an open loop: arrivals do not wait for answers.
///
///     ArrivalSource arrivals(mix, rate, flood, seed);
///     const Arrival next = arrivals.next(); // after next.pause, a request of next.rank
class ArrivalSource
{
public:
    struct Arrival {
        std::chrono::nanoseconds pause{};
        decisions::Rank rank = decisions::Rank::Batch;
        bool isFlood = false;
    };

    ArrivalSource(const Mix &mix, double perSecond, const Flood &flood, std::uint32_t seed);
    Arrival next();

private:
    decisions::Rank drawRank();

    Mix m_mix;
    double m_perSecond;
    Flood m_flood;
    std::mt19937 m_random;
};

} // namespace rattanbeam::standins
