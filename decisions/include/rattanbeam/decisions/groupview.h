#pragma once

#include "rattanbeam/decisions/identifiers.h"
#include "rattanbeam/decisions/logposition.h"
#include "rattanbeam/decisions/timepoint.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

/// What instances know about the members of a group, and upper bounds on the age of a member's data.
namespace rattanbeam::decisions
{

/// What a member reports about itself.
struct MemberStatus {
    Term term = 0;
    bool isPrimary = false;
    bool isLeaving = false;
    bool isFollowing = false;
    /// Last entry of the member's log.
    LogPosition held;
    /// Position of the last log entry that the member has applied to its tables.
    std::uint64_t applied = 0;
    TermHistory history;

    auto operator<=>(const MemberStatus &) const = default;
};

/// The status of a member as an observer received it.
struct MemberObservation {
    MemberStatus status;
    /// Lower bound of the time at which the member gave the status: when it was asked, or earlier if a peer forwarded the status.
    TimePoint observedAt = distantPast;
    /// Time as of which the member's data is known to be complete: it includes every write acknowledged before.
    TimePoint completeAsOf = distantPast;
    /// Statements queued at the member's home, and the member's recent latency.
    std::uint32_t queued = 0;
    Duration latency{};

    auto operator<=>(const MemberObservation &) const = default;
};

/// Bounds the age of a member's data without a shared clock. If an observer asked the primary at its local time T and
/// learned position p, a member that has applied p lacks no write that was made before T.
///
///     dataAge.primaryObserved(primaryStatus, askedAt);
///     if (const auto time = dataAge.completeAsOf(replicaStatus)) { maxAge = now - *time; }
class DataAge
{
public:
    /// Limit of kept primary positions; beyond it the oldest is dropped.
    static constexpr std::size_t maxPrimaryPositions = 128;

    /// The primary was asked at `askedAt` and answered with `status`.
    void primaryObserved(const MemberStatus &status, TimePoint askedAt);

    /// The latest time as of which the data of `member` is known to be complete; nothing when unknown. A member in another
    /// term than the observed primary proves nothing, because that primary may have been replaced.
    std::optional<TimePoint> completeAsOf(const MemberStatus &member) const;

private:
    struct PrimaryPosition {
        TimePoint askedAt;
        Term term = 0;
        std::uint64_t position = 0;
    };
    std::deque<PrimaryPosition> m_primaryPositions;
};

/// The latest observation of each member of a group.
///
///     view.update(member, observation);
///     if (const MemberObservation *latest = view.find(member)) { ... }
class GroupView
{
public:
    /// Replaces the known observation if this one is newer and not of an earlier term. `completeAsOf` never moves back.
    void update(const MemberId &member, const MemberObservation &observation);
    const MemberObservation *find(const MemberId &member) const;
    const std::map<MemberId, MemberObservation> &observations() const
    {
        return m_memberObservations;
    }
    /// Log positions that `member` applies per second, averaged over its latest observations; 0 when unknown.
    double applyRate(const MemberId &member) const;

private:
    std::map<MemberId, MemberObservation> m_memberObservations;
    std::map<MemberId, double> m_applyRates;
};

} // namespace rattanbeam::decisions
