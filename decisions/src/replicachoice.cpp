#include "rattanbeam/decisions/replicachoice.h"

#include <algorithm>

namespace rattanbeam::decisions
{

namespace
{

std::uint32_t workAhead(const ReadCandidate &candidate)
{
    return candidate.inFlight + candidate.queued;
}

bool isBetter(const ReadCandidate &left, const ReadCandidate &right)
{
    if (workAhead(left) != workAhead(right)) {
        return workAhead(left) < workAhead(right);
    }
    return left.latency < right.latency;
}

std::size_t randomIndex(std::size_t count, std::minstd_rand &random)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

/// Whether the replica is expected to apply the required position within `maxWait`.
bool coversSoon(const ReadNeeds &needs, const MemberObservation &sighting, double applyRate, TimePoint now)
{
    if (applyRate <= 0) {
        return false;
    }
    const auto missing = static_cast<double>(needs.session->at.position - sighting.status.applied);
    const double sinceSeen = std::chrono::duration<double>(now - sighting.observedAt).count();
    const double wait = missing / applyRate - sinceSeen;
    return wait <= std::chrono::duration<double>(needs.maxWait).count();
}

} // namespace

std::ostream &operator<<(std::ostream &stream, ReadFitness fitness)
{
    switch (fitness) {
    case ReadFitness::Fit:
        return stream << "fit";
    case ReadFitness::FitAfterWait:
        return stream << "fit-after-wait";
    case ReadFitness::Behind:
        return stream << "behind";
    case ReadFitness::TooOld:
        return stream << "too-old";
    case ReadFitness::Lost:
        return stream << "lost";
    case ReadFitness::Unknown:
        return stream << "unknown";
    }
    return stream;
}

ReadFitness judgeReplica(const ReadNeeds &needs, const MemberObservation &sighting, double applyRate, TimePoint now)
{
    const MemberStatus &status = sighting.status;
    if (status.isLeaving || !(status.isFollowing || status.isPrimary)) {
        return ReadFitness::Unknown;
    }
    if (now - sighting.completeAsOf > needs.maxAge) {
        return ReadFitness::TooOld;
    }
    if (!needs.session) {
        return ReadFitness::Fit;
    }
    if (needs.session->primaryNext) {
        return ReadFitness::Behind;
    }
    switch (coverageOf(needs.session->at, status.applied, status.history)) {
    case Coverage::Covered:
        return ReadFitness::Fit;
    case Coverage::Lost:
        return ReadFitness::Lost;
    case Coverage::Behind:
        break;
    }
    const bool mayCatchUp = needs.session->at.position > status.applied && coversSoon(needs, sighting, applyRate, now);
    return mayCatchUp ? ReadFitness::FitAfterWait : ReadFitness::Behind;
}

std::size_t PowerOfTwoChoices::pick(const std::vector<ReadCandidate> &candidates, std::minstd_rand &random) const
{
    const std::size_t first = randomIndex(candidates.size(), random);
    if (candidates.size() == 1) {
        return first;
    }
    std::size_t second = randomIndex(candidates.size() - 1, random);
    second += second >= first ? 1 : 0;
    return isBetter(candidates[second], candidates[first]) ? second : first;
}

std::size_t LeastInFlight::pick(const std::vector<ReadCandidate> &candidates, std::minstd_rand & /*random*/) const
{
    const auto best = std::min_element(candidates.begin(), candidates.end(), [](const ReadCandidate &left, const ReadCandidate &right) {
        return workAhead(left) < workAhead(right);
    });
    return static_cast<std::size_t>(best - candidates.begin());
}

std::size_t LatencyScore::pick(const std::vector<ReadCandidate> &candidates, std::minstd_rand & /*random*/) const
{
    const auto score = [this](const ReadCandidate &candidate) {
        const double milliseconds = std::chrono::duration<double, std::milli>(candidate.latency).count();
        return static_cast<double>(candidate.inFlight + 1) * std::pow(milliseconds, exponent);
    };
    const auto best = std::min_element(candidates.begin(), candidates.end(), [&](const ReadCandidate &left, const ReadCandidate &right) {
        return score(left) < score(right);
    });
    return static_cast<std::size_t>(best - candidates.begin());
}

void BucketMedian::record(Duration latency)
{
    // Bucket bounds double from 100 microseconds on; the last bucket is open.
    const double hundredMicroseconds = std::chrono::duration<double, std::micro>(latency).count() / 100;
    const double exponent = std::ceil(std::log2(std::max(1.0, hundredMicroseconds)));
    const std::size_t index = std::min(bucketCount - 1, static_cast<std::size_t>(exponent));
    Bucket &bucket = m_buckets[index];
    ++bucket.count;
    bucket.highest = std::max(bucket.highest, latency);
    ++m_total;
}

Duration BucketMedian::value() const
{
    const double wanted = static_cast<double>(m_total) / 2;
    double below = 0;
    Duration lower{};
    for (const Bucket &bucket : m_buckets) {
        const auto count = static_cast<double>(bucket.count);
        if (bucket.count > 0 && below + count >= wanted) {
            const double share = (wanted - below) / count;
            return lower + std::chrono::duration_cast<Duration>((bucket.highest - lower) * share);
        }
        below += count;
        lower = bucket.count > 0 ? bucket.highest : lower;
    }
    return lower;
}

} // namespace rattanbeam::decisions
