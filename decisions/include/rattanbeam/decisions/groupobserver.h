#pragma once

#include "rattanbeam/decisions/groupview.h"
#include "rattanbeam/decisions/promotion.h"
#include "rattanbeam/decisions/suspicion.h"

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// What the home of a member does for its group: it watches the members, and orders promotions.
namespace rattanbeam::decisions
{

/// Asks a member for its status; `isFresh` on a new connection.
struct ProbeMember {
    MemberId member;
    bool isFresh = false;
    auto operator<=>(const ProbeMember &) const = default;
};
/// Tells a member which primary to follow.
struct FollowPrimary {
    MemberId member;
    Term term = 0;
    MemberId primary;
    auto operator<=>(const FollowPrimary &) const = default;
};
/// Suspicion changed: the other observers should know at once.
struct TellPeers {
    auto operator<=>(const TellPeers &) const = default;
};
/// Holds new work for a leaving primary back, or lets it go on.
struct HoldMember {
    MemberId member;
    bool isHeld = false;
    auto operator<=>(const HoldMember &) const = default;
};
/// For the log: a promotion moved on.
struct ReportPromotion {
    PromotionPhase phase = PromotionPhase::TakingTerm;
    Term term = 0;
    MemberId primary;
    auto operator<=>(const ReportPromotion &) const = default;
};
using ObserverAction
    = std::variant<ProbeMember, FollowPrimary, TellPeers, HoldMember, ReportPromotion, WriteGroup, ReadGroup, FenceMember, PromoteMember>;
using ObserverActions = std::vector<ObserverAction>;

struct ObserverConfig {
    FailureDomain domain;
    /// Distinguishes this observer's attempts from all others, also after a restart.
    std::string attemptPrefix;
    /// How long another observer's suspicion counts without being repeated.
    Duration suspicionHold = std::chrono::milliseconds(1000);
    /// Time for one promotion attempt, after which another observer may take over.
    Duration attemptLimit = std::chrono::milliseconds(2000);
    /// Pause of each next observer in order, so that one of them goes first.
    Duration orderStep = std::chrono::milliseconds(150);
    /// Least time between an observer's own attempts.
    Duration attemptPause = std::chrono::milliseconds(300);
    /// Longest time that a handover waits for work in flight.
    Duration handoverLimit = std::chrono::milliseconds(2000);

    auto operator<=>(const ObserverConfig &) const = default;
};

/// Watches one group from one instance, and orders a promotion when a majority of the group's failure domains agrees
/// that the primary has failed, when it is leaving, or when another observer's promotion has come to a halt.
///
///     perform(observer.groupChanged(stored, ownMembers, now));
///     perform(observer.tick(now)); // once in a probe interval
///     perform(observer.probeEnded(member, isFresh, askedAt, status, now));
class GroupObserver
{
public:
    GroupObserver(ObserverConfig config, const StoredGroup &stored);

    /// The group's object changed, or this instance is now home to other members of it.
    ObserverActions groupChanged(const StoredGroup &stored, const std::set<MemberId> &ownMembers, TimePoint now);

    ObserverActions tick(TimePoint now);
    /// No status means that no answer came in time.
    ObserverActions
    probeEnded(const MemberId &member, bool isFresh, TimePoint askedAt, const std::optional<MemberStatus> &status, TimePoint now);

    void peerSaw(const MemberId &member, const MemberSighting &sighting);
    ObserverActions peerSuspects(const FailureDomain &domain, Term term, bool isSuspected, TimePoint now);

    /// Work for the leaving primary has ended.
    ObserverActions handoverReady(const MemberId &member, TimePoint now);

    /// Answers to the actions of a promotion; those of earlier attempts are ignored.
    ObserverActions written(const AttemptId &attempt, bool isApplied, const StoredGroup &stored, TimePoint now);
    ObserverActions writeUnanswered(const AttemptId &attempt, TimePoint now);
    ObserverActions readBack(const AttemptId &attempt, const StoredGroup &stored, TimePoint now);
    ObserverActions fenced(const AttemptId &attempt, const MemberId &member, bool isAccepted, const LogPosition &last, TimePoint now);
    ObserverActions promoted(const AttemptId &attempt, const MemberId &member, bool isAccepted, TimePoint now);

    const GroupView &view() const
    {
        return m_view;
    }
    const StoredGroup &stored() const
    {
        return m_stored;
    }
    const std::set<MemberId> &ownMembers() const
    {
        return m_ownMembers;
    }
    const Suspicion &suspicion() const
    {
        return m_suspicion;
    }
    AttemptId currentAttempt() const
    {
        return m_attempt ? m_attempt->id() : AttemptId();
    }
    /// What the home measures of its own member.
    void setLoad(const MemberId &member, std::uint32_t queued, Duration latency);

private:
    struct Load {
        std::uint32_t queued = 0;
        Duration latency{};
    };

    std::set<MemberId> probedMembers() const;
    void probe(TimePoint now, ObserverActions &actions);
    void directFollowers(ObserverActions &actions) const;
    void considerPromotion(TimePoint now, ObserverActions &actions);
    void considerHandover(TimePoint now, ObserverActions &actions);
    void startAttempt(TimePoint now, std::set<MemberId> avoided, ObserverActions &actions);
    void endHandover(ObserverActions &actions);
    TimePoint ownTurn(TimePoint from) const;
    TimePoint dataFrom(const MemberId &member, const MemberStatus &status, TimePoint askedAt) const;
    void noteSeen(const MemberId &member, const MemberStatus &status, TimePoint askedAt);
    ObserverActions afterStep(const PromotionActions &steps, PromotionPhase before, TimePoint now);
    bool isCurrent(const AttemptId &attempt) const;

    ObserverConfig m_config;
    StoredGroup m_stored;
    std::set<MemberId> m_ownMembers;
    GroupView m_view;
    DataAge m_ages;
    Suspicion m_suspicion;
    std::map<MemberId, TimePoint> m_seenInTerm;
    std::set<MemberId> m_probing;
    std::map<MemberId, Load> m_loads;
    std::optional<PromotionAttempt> m_attempt;
    std::uint64_t m_attempts = 0;
    TimePoint m_nextAttempt = distantPast;
    std::optional<TimePoint> m_promoteAt;
    std::optional<TimePoint> m_unsettledUntil;
    std::optional<TimePoint> m_handoverDeadline;
    bool m_handoverReady = false;
};

} // namespace rattanbeam::decisions
