#pragma once

#include "rattanbeam/decisions/identifiers.h"
#include "rattanbeam/decisions/logposition.h"
#include "rattanbeam/decisions/timepoint.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

/// What instances know about the members of a group, and how old a member's data can be.
namespace rattanbeam::decisions
{

/// What a member said of itself.
struct MemberStatus {
    Term term = 0;
    bool isPrimary = false;
    bool isLeaving = false;
    bool isFollowing = false;
    /// Last log entry that the member holds.
    LogPosition held;
    /// Last position applied to its tables.
    std::uint64_t applied = 0;
    TermHistory history;

    auto operator<=>(const MemberStatus &) const = default;
};

/// A status with the time at which it was true at the latest.
struct MemberSighting {
    MemberStatus status;
    TimePoint seenAt = distantPast;
    /// Time at which the member's data was known to be complete.
    TimePoint dataFrom = distantPast;
    /// Statements queued at the member's home, and its recent latency.
    std::uint32_t queued = 0;
    Duration latency{};

    auto operator<=>(const MemberSighting &) const = default;
};

/// Bounds the age of a member's data without a shared clock: an observer that saw the primary at position p at its own
/// time T knows that a member that has applied p misses nothing older than T.
///
///     ages.primarySeen(primaryStatus, askedAt);
///     const auto age = now - ages.completeSince(replicaStatus);
class DataAge
{
public:
    /// Observations kept; older ones are merged into the next.
    static constexpr std::size_t maxObservations = 128;

    /// The primary answered with `status` to a question asked at `askedAt`.
    void primarySeen(const MemberStatus &status, TimePoint askedAt);

    /// The latest time at which `member` is known to have had all data; nothing when unknown. A member of another term
    /// than the observed primary proves nothing: that primary may have been replaced.
    std::optional<TimePoint> completeSince(const MemberStatus &member) const;

private:
    struct Observation {
        TimePoint at;
        Term term = 0;
        std::uint64_t position = 0;
    };
    std::deque<Observation> m_observations;
};

/// The latest sightings of a group's members.
///
///     view.learn(member, sighting);
///     view.find(member);
class GroupView
{
public:
    /// Keeps the newer of two sightings.
    void learn(const MemberId &member, const MemberSighting &sighting);
    const MemberSighting *find(const MemberId &member) const;
    const std::map<MemberId, MemberSighting> &sightings() const
    {
        return m_sightings;
    }
    /// Positions that `member` applies in a second, from its last sightings; 0 when unknown.
    double applyRate(const MemberId &member) const;

private:
    std::map<MemberId, MemberSighting> m_sightings;
    std::map<MemberId, double> m_applyRates;
};

} // namespace rattanbeam::decisions
