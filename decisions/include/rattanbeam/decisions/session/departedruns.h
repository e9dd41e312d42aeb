#pragma once

#include "rattanbeam/decisions/identifiers.h"
#include "rattanbeam/decisions/logposition.h"
#include "rattanbeam/decisions/timepoint.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanbeam::decisions::session
{

/// One run of a member: its process from start to end. A member that starts again may have lost its log.
struct MemberRun {
    MemberId member;
    /// As in MemberRecord; 0 if it is not known.
    std::uint64_t incarnation = 0;

    auto operator<=>(const MemberRun &) const = default;

    /// `MEMBER/INCARNATION`, for logs.
    std::string text() const;
};

/// Keeps the runs of a group's members that are no longer registered and may hold acknowledged commits that no other replica holds. For
/// groups with synchronous replicas, in which any replica may be the one that has received a commit.
///
/// A run without a registration may only be out of reach of this instance and go on receiving commits, so that no position of the other
/// replicas shows that it can be forgotten. Once it has ended it receives nothing more, and is forgotten when enough other replicas have
/// received all that the primary had by then.
///
///     runs.unregistered({member, incarnation}, now);
///     runs.ended({member, incarnation}, now); // its address refuses connections
///     runs.primaryAnswered(position, sentAt);
///     for (const auto &forgotten : runs.update(receivedPositions, 1, true, now)) { ... }
class DepartedRuns
{
public:
    /// A run that has been unregistered for this long counts as ended. Without a primary, it is awaited for at most this long.
    static constexpr Duration timeout = std::chrono::seconds(60);

    enum class Cause {
        ReceivedElsewhere, ///< Enough other replicas have received what it may hold.
        TimedOut, ///< The primary's position has not become known in time, since this home does not use the primary.
        GivenUp, ///< There is no primary, and the run has not come back in time. Commits that it alone held are lost.
    };
    struct Forgotten {
        MemberRun run;
        Cause cause = Cause::ReceivedElsewhere;

        auto operator<=>(const Forgotten &) const = default;
    };

    /// The run's registration disappeared at `since`. Does nothing if the run is known already.
    void unregistered(const MemberRun &run, TimePoint since);
    /// The run is known to have ended before `now`. Replaces earlier runs of the member that have ended: what covers this one covers them.
    void ended(const MemberRun &run, TimePoint now);
    /// The run is registered.
    void registered(const MemberRun &run, TimePoint now);
    /// The primary's log reached at least `position` when it answered a command that was sent at `sentAt`.
    void primaryAnswered(const LogPosition &position, TimePoint sentAt);
    /// Another member leads. It holds all commits that were acknowledged before, so that runs that have ended no longer matter.
    void primaryChanged();

    /// Forgets the runs that can be forgotten now, and returns them. `received`: positions up to which other replicas have received the
    /// primary's log. A commit is acknowledged once `synchronousReplicas` replicas have received it.
    std::vector<Forgotten>
    update(const std::vector<LogPosition> &received, std::size_t synchronousReplicas, bool hasPrimary, TimePoint now);

    /// Forgets the run if there has been no primary since `leaderlessSince`, and the timeout has passed since then and since the run left.
    /// Returns whether it did.
    bool giveUp(const MemberRun &run, TimePoint leaderlessSince, TimePoint now);

    /// The runs that may hold acknowledged commits.
    std::vector<MemberRun> awaited() const;
    bool isAwaited(const MemberId &member) const;
    /// Whether a run of the member is awaited or has been forgotten.
    bool contains(const MemberId &member) const;
    /// Forgotten runs stay known, so that a term record that still names them does not bring them back. Drops those of other members.
    void dropForgottenExcept(const std::vector<MemberId> &members);
    /// How long the run has been without a registration; zero if it is not known.
    Duration absence(const MemberRun &run, TimePoint now) const;

private:
    struct Departure {
        TimePoint since;
        /// When the run was first known to have ended.
        std::optional<TimePoint> endedAt;
        /// A position of the primary from after `endedAt`: no commit that the run was needed for is beyond it.
        std::optional<LogPosition> bound;
        bool isForgotten = false;
    };

    std::map<MemberRun, Departure> m_departures;
};

std::string_view departureCauseName(DepartedRuns::Cause cause);

} // namespace rattanbeam::decisions::session
