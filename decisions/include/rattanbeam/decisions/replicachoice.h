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

/// Choice of the member that serves a read.
namespace rattanbeam::decisions
{

/// What a read requires of the member that serves it.
struct ReadRequirements {
    std::optional<SessionPosition> session;
    Duration maxAge{};
    /// Maximum time that the read waits for a replica to catch up, rather than go to the primary.
    Duration maxWait{};

    auto operator<=>(const ReadRequirements &) const = default;
};

/// A member that may serve a read, with the load and latency that policies compare.
struct ReadCandidate {
    MemberId member;
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    Duration latency{};

    auto operator<=>(const ReadCandidate &) const = default;
};

/// Whether a member can serve a read, and the reason if it cannot.
enum class ReadFitness {
    Fit,
    FitAfterWait, ///< Expected to catch up within the maximum wait.
    Behind, ///< Lacks the session's position, or the read needs the primary.
    TooOld, ///< Its data may exceed the maximum age.
    Lost, ///< The session's position was lost in a promotion.
    Unknown, ///< Leaving, or neither a primary nor following one.
};

std::ostream &operator<<(std::ostream &stream, ReadFitness fitness);

/// Evaluates a replica by its latest observation; `applyRate` is in positions per second. The home checks again with the
/// member's own state, so a wrong result here costs a hop and breaks no guarantee.
ReadFitness evaluateReplica(const ReadRequirements &requirements, const MemberObservation &observation, double applyRate, TimePoint now);

/// A policy chooses one of the fit candidates and returns its index.
template<typename Policy>
concept ReplicaPolicy = requires(Policy policy, const std::vector<ReadCandidate> &candidates, std::minstd_rand &random)
{
    {
        policy.pick(candidates, random)
        } -> std::same_as<std::size_t>;
};

/// The better of two random candidates (Mitzenmacher's power of two choices): fewer outstanding requests, then lower
/// latency.
struct PowerOfTwoChoices {
    std::size_t pick(const std::vector<ReadCandidate> &candidates, std::minstd_rand &random) const;
};

/// The candidate with the fewest outstanding requests; the first one in a tie.
struct LeastInFlight {
    std::size_t pick(const std::vector<ReadCandidate> &candidates, std::minstd_rand &random) const;
};

/// The candidate with the lowest score: in-flight requests times a power of the median latency, as in "Multi-data center
/// flow scheduling method and system" (CN114553881B). BucketMedian computes the median.
struct LatencyScore {
    double exponent = 2;
    std::size_t pick(const std::vector<ReadCandidate> &candidates, std::minstd_rand &random) const;
};

/// Estimates the median of latencies from a few buckets, which each keep a count and their maximum, by linear
/// interpolation (from the same source as LatencyScore).
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
        Duration max{};
    };
    std::array<Bucket, bucketCount> m_buckets{};
    std::uint64_t m_total = 0;
};

} // namespace rattanbeam::decisions
