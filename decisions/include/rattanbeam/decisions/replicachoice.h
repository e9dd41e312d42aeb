#pragma once

#include "rattanbeam/decisions/databasegroup.h"
#include "rattanbeam/decisions/groupview.h"
#include "rattanbeam/decisions/sessiontoken.h"

#include <cmath>
#include <concepts>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

/// Which member serves a read.
namespace rattanbeam::decisions
{

/// What a read asks of a member.
struct ReadNeeds {
    std::optional<SessionPosition> session;
    Duration maxAge{};
    /// How long the read may wait for a replica to catch up, rather than go to the primary.
    Duration maxWait{};

    auto operator<=>(const ReadNeeds &) const = default;
};

/// One member that may serve a read, with what a policy weighs.
struct ReadCandidate {
    MemberId member;
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    Duration latency{};

    auto operator<=>(const ReadCandidate &) const = default;
};

/// Why a member can, or cannot, serve a read.
enum class ReadFitness {
    Fit,
    FitAfterWait,
    Behind,
    TooOld,
    Lost,
    Unknown,
};

std::ostream &operator<<(std::ostream &stream, ReadFitness fitness);

/// Judges one replica by its last sighting. The home judges again by the member itself, so a wrong guess here costs a
/// hop and no promise.
ReadFitness judgeReplica(const ReadNeeds &needs, const MemberObservation &sighting, double applyRate, TimePoint now);

/// A policy picks the index of one of several fit candidates.
template<typename Policy>
concept ReplicaPolicy = requires(Policy policy, const std::vector<ReadCandidate> &candidates, std::minstd_rand &random)
{
    {
        policy.pick(candidates, random)
        } -> std::same_as<std::size_t>;
};

/// The better of two random candidates (Mitzenmacher's power of two choices): by work ahead of the read, then latency.
struct PowerOfTwoChoices {
    std::size_t pick(const std::vector<ReadCandidate> &candidates, std::minstd_rand &random) const;
};

/// The candidate with the least work ahead; ties go to the first.
struct LeastInFlight {
    std::size_t pick(const std::vector<ReadCandidate> &candidates, std::minstd_rand &random) const;
};

/// In-flight requests times a power of the median latency: the score of "Multi-data center flow scheduling method and
/// system" (CN114553881B). The median comes from BucketMedian.
struct LatencyScore {
    double exponent = 2;
    std::size_t pick(const std::vector<ReadCandidate> &candidates, std::minstd_rand &random) const;
};

/// Median of latencies from a few buckets that each keep a count and their highest value, with linear interpolation
/// (the same source).
///
///     median.record(latency);
///     median.value();
class BucketMedian
{
public:
    static constexpr std::size_t bucketCount = 14;

    void record(Duration latency);
    Duration value() const;

private:
    struct Bucket {
        std::uint64_t count = 0;
        Duration highest{};
    };
    std::array<Bucket, bucketCount> m_buckets{};
    std::uint64_t m_total = 0;
};

} // namespace rattanbeam::decisions
