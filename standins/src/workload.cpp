#include "rattanbeam/standins/workload.h"

namespace rattanbeam::standins
{

using decisions::Rank;

std::optional<Mix> mixByName(const std::string &name)
{
    Mix mix;
    mix.name = name;
    if (name == "order-desk") {
        mix.ranks[Rank::Urgent] = {.share = 0.15, .isWrite = true, .workMs = 0, .maxAgeMs = 0};
        mix.ranks[Rank::Interactive] = {.share = 0.65, .isWrite = false, .workMs = 1, .maxAgeMs = 2000};
        mix.ranks[Rank::Batch] = {.share = 0.20, .isWrite = false, .workMs = 18, .maxAgeMs = 10000};
        return mix;
    }
    if (name == "rota") {
        mix.ranks[Rank::Urgent] = {.share = 0.20, .isWrite = true, .workMs = 0, .maxAgeMs = 0};
        mix.ranks[Rank::Interactive] = {.share = 0.70, .isWrite = false, .workMs = 1, .maxAgeMs = 2000};
        mix.ranks[Rank::Batch] = {.share = 0.10, .isWrite = false, .workMs = 18, .maxAgeMs = 10000};
        return mix;
    }
    if (name == "writes") {
        mix.ranks[Rank::Urgent] = {.share = 1, .isWrite = true, .workMs = 0, .maxAgeMs = 0};
        return mix;
    }
    return std::nullopt;
}

ArrivalSource::ArrivalSource(const Mix &mix, double perSecond, const Flood &flood, std::uint32_t seed)
    : m_mix(mix), m_perSecond(perSecond), m_flood(flood), m_random(seed)
{}

ArrivalSource::Arrival ArrivalSource::next()
{
    const double total = m_perSecond + m_flood.perSecond;
    const double seconds = std::exponential_distribution<double>(total)(m_random);
    Arrival arrival;
    arrival.pause = std::chrono::nanoseconds(static_cast<std::int64_t>(seconds * 1e9));
    arrival.isFlood = std::uniform_real_distribution<double>(0, total)(m_random) >= m_perSecond;
    arrival.rank = arrival.isFlood ? m_flood.rank : drawRank();
    return arrival;
}

Rank ArrivalSource::drawRank()
{
    double draw = std::uniform_real_distribution<double>(0, 1)(m_random);
    for (const Rank rank : decisions::allRanks) {
        draw -= m_mix.ranks[rank].share;
        if (draw < 0) {
            return rank;
        }
    }
    return Rank::Batch;
}

} // namespace rattanbeam::standins
