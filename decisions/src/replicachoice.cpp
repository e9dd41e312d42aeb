#include "rattanbeam/decisions/replicachoice.h"

#include <algorithm>

namespace rattanbeam::decisions
{

namespace
{

std::uint32_t outstandingRequests(const ReadCandidate &candidate)
{
    return candidate.inFlight + candidate.queued;
}

bool isBetter(const ReadCandidate &left, const ReadCandidate &right)
{
    if (outstandingRequests(left) != outstandingRequests(right)) {
        return outstandingRequests(left) < outstandingRequests(right);
    }
    return left.latency < right.latency;
}

std::size_t randomIndex(std::size_t count, std::minstd_rand &random)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

/// Whether the replica is expected to apply the required position within `maxWait`.
bool coversWithinMaxWait(const ReadRequirements &requirements, const MemberObservation &observation, double applyRate, TimePoint now)
{
    if (applyRate <= 0) {
        return false;
    }
    const auto missing = static_cast<double>(requirements.session->logPosition.position - observation.status.applied);
    const double secondsSinceObserved = std::chrono::duration<double>(now - observation.observedAt).count();
    const double waitSeconds = missing / applyRate - secondsSinceObserved;
    return waitSeconds <= std::chrono::duration<double>(requirements.maxWait).count();
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

ReadFitness evaluateReplica(const ReadRequirements &requirements, const MemberObservation &observation, double applyRate, TimePoint now)
{
    const MemberStatus &status = observation.status;
    if (status.isLeaving || !(status.isFollowing || status.isPrimary)) {
        return ReadFitness::Unknown;
    }
    if (now - observation.completeAsOf > requirements.maxAge) {
        return ReadFitness::TooOld;
    }
    if (!requirements.session) {
        return ReadFitness::Fit;
    }
    if (requirements.session->requiresPrimary) {
        return ReadFitness::Behind;
    }
    switch (coverageOf(requirements.session->logPosition, status.applied, status.history)) {
    case Coverage::Covered:
        return ReadFitness::Fit;
    case Coverage::Lost:
        return ReadFitness::Lost;
    case Coverage::Behind:
        break;
    }
    const bool catchesUpInTime
        = requirements.session->logPosition.position > status.applied && coversWithinMaxWait(requirements, observation, applyRate, now);
    return catchesUpInTime ? ReadFitness::FitAfterWait : ReadFitness::Behind;
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
        return outstandingRequests(left) < outstandingRequests(right);
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
    // The bounds of the buckets double from 100 microseconds; the last bucket has no upper bound.
    const double hundredsOfMicroseconds = std::chrono::duration<double, std::micro>(latency).count() / 100;
    const double exponent = std::ceil(std::log2(std::max(1.0, hundredsOfMicroseconds)));
    const std::size_t index = std::min(bucketCount - 1, static_cast<std::size_t>(exponent));
    Bucket &bucket = m_buckets[index];
    ++bucket.count;
    bucket.max = std::max(bucket.max, latency);
    ++m_total;
}

Duration BucketMedian::value() const
{
    const double targetCount = static_cast<double>(m_total) / 2;
    double countBelow = 0;
    Duration lowerBound{};
    for (const Bucket &bucket : m_buckets) {
        const auto count = static_cast<double>(bucket.count);
        if (bucket.count > 0 && countBelow + count >= targetCount) {
            const double fraction = (targetCount - countBelow) / count;
            return lowerBound + std::chrono::duration_cast<Duration>((bucket.max - lowerBound) * fraction);
        }
        countBelow += count;
        lowerBound = bucket.count > 0 ? bucket.max : lowerBound;
    }
    return lowerBound;
}

} // namespace rattanbeam::decisions
