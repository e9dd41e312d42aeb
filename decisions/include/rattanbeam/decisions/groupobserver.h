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

/// Failure detection and promotion for one database group, performed by the homes of its members.
namespace rattanbeam::decisions
{

/// Asks a member for its status, on the existing connection or on a new one.
struct ProbeMember {
    MemberId member;
    bool isOnNewConnection = false;
    auto operator<=>(const ProbeMember &) const = default;
};
/// Tells a member which primary to replicate from.
struct FollowPrimary {
    MemberId member;
    Term term = 0;
    MemberId primary;
    auto operator<=>(const FollowPrimary &) const = default;
};
/// Sends this observer's suspicion to the other observers at once, because it has changed.
struct NotifyPeers {
    auto operator<=>(const NotifyPeers &) const = default;
};
/// Pauses or resumes new work for a primary that is leaving.
struct PauseMember {
    MemberId member;
    bool isPaused = false;
    auto operator<=>(const PauseMember &) const = default;
};
/// Logs that a promotion has started or entered another phase.
struct ReportPromotion {
    PromotionPhase phase = PromotionPhase::TakingTerm;
    Term term = 0;
    MemberId primary;
    auto operator<=>(const ReportPromotion &) const = default;
};
using ObserverAction = std::
    variant<ProbeMember, FollowPrimary, NotifyPeers, PauseMember, ReportPromotion, WriteGroup, ReadGroup, FenceMember, PromoteMember>;
using ObserverActions = std::vector<ObserverAction>;

struct ObserverConfig {
    /// The failure domain of this instance.
    FailureDomain domain;
    /// Makes the ids of this observer's promotion attempts unique, also across restarts.
    std::string attemptPrefix;
    /// Time after which another observer's suspicion expires unless it is repeated.
    Duration suspicionTimeout = std::chrono::milliseconds(1000);
    /// Time limit of one promotion attempt, after which another observer may take over.
    Duration attemptTimeout = std::chrono::milliseconds(2000);
    /// Delay between the starts of two observers that are adjacent in the order, so that they do not compete.
    Duration staggerDelay = std::chrono::milliseconds(150);
    /// Minimum time between two attempts of the same observer.
    Duration minAttemptInterval = std::chrono::milliseconds(300);
    /// Maximum time that a handover waits for requests in flight at the leaving primary.
    Duration handoverTimeout = std::chrono::milliseconds(2000);

    auto operator<=>(const ObserverConfig &) const = default;
};

/// Probes the members of one group from one instance. Starts a promotion when a majority of the group's failure domains
/// suspects the primary, when the primary is leaving, or when another observer's promotion did not finish in time.
///
/// It performs no I/O: each call returns the actions that the caller has to carry out, in order.
///
///     perform(observer.groupChanged(stored, ownMembers, now));
///     perform(observer.tick(now)); // once in each probe interval
///     perform(observer.probeEnded(member, isOnNewConnection, askedAt, status, now));
class GroupObserver
{
public:
    GroupObserver(ObserverConfig config, const StoredGroup &stored);

    /// The group's object has changed, or this instance has become the home of other members. `ownMembers` are the members
    /// that it observes as their home or in place of it; they apply even if `stored` is no newer than the known object.
    ObserverActions groupChanged(const StoredGroup &stored, const std::set<MemberId> &ownMembers, TimePoint now);

    /// Starts probes, repeats unanswered steps of a promotion, and starts a promotion or handover that is due.
    ObserverActions tick(TimePoint now);
    /// The answer to a ProbeMember action that was sent at `askedAt`; no status if it did not arrive in time.
    ObserverActions
    probeEnded(const MemberId &member, bool isOnNewConnection, TimePoint askedAt, const std::optional<MemberStatus> &status, TimePoint now);

    /// Another observer has reported a member's status; ignored for own members and for members of other groups.
    void peerObservationReceived(const MemberId &member, const MemberObservation &observation);
    /// An observer in `domain` has reported whether it suspects the primary of `term`.
    ObserverActions peerSuspicionReceived(const FailureDomain &domain, Term term, bool isSuspected, TimePoint now);

    /// The last request in flight at the leaving primary has ended.
    ObserverActions handoverReady(const MemberId &member, TimePoint now);

    /// Answers to the actions of a promotion: the result of a conditional update, a lost answer, the object that was read,
    /// and a member's reply to a fence or promote request. Answers to earlier attempts do not advance the promotion.
    ObserverActions writeAnswered(const AttemptId &attempt, bool isApplied, const StoredGroup &stored, TimePoint now);
    ObserverActions writeUnanswered(const AttemptId &attempt, TimePoint now);
    ObserverActions readAnswered(const AttemptId &attempt, const StoredGroup &stored, TimePoint now);
    ObserverActions
    fenceAnswered(const AttemptId &attempt, const MemberId &member, bool isAccepted, const LogPosition &last, TimePoint now);
    ObserverActions promoteAnswered(const AttemptId &attempt, const MemberId &member, bool isAccepted, TimePoint now);

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
    /// Id of the latest promotion attempt, also after its end; empty if there was none, or if another attempt replaced it.
    AttemptId latestAttempt() const
    {
        return m_attempt ? m_attempt->id() : AttemptId();
    }
    /// The number of queued statements and the latency that the home measures for its own member.
    void setLoad(const MemberId &member, std::uint32_t queued, Duration latency);

private:
    struct Load {
        std::uint32_t queued = 0;
        Duration latency{};
    };

    std::set<MemberId> membersToProbe() const;
    void startProbes(TimePoint now, ObserverActions &actions);
    void repointReplicas(ObserverActions &actions) const;
    void startPromotionIfDue(TimePoint now, ObserverActions &actions);
    void advanceHandover(TimePoint now, ObserverActions &actions);
    void startAttempt(TimePoint now, std::set<MemberId> excluded, ObserverActions &actions);
    void endHandover(ObserverActions &actions);
    /// `earliest` plus this observer's delay in the order of the group's failure domains.
    TimePoint staggeredStart(TimePoint earliest) const;
    /// Time as of which the member's data is known to be complete; distantPast when unknown.
    TimePoint completeAsOf(const MemberId &member, const MemberStatus &status, TimePoint askedAt) const;
    void recordStatus(const MemberId &member, const MemberStatus &status, TimePoint askedAt);
    ObserverActions attemptAdvanced(const PromotionActions &promotionActions, PromotionPhase previousPhase, TimePoint now);
    bool isCurrentAttempt(const AttemptId &attempt) const;

    ObserverConfig m_config;
    StoredGroup m_stored;
    std::set<MemberId> m_ownMembers;
    GroupView m_view;
    DataAge m_dataAge;
    Suspicion m_suspicion;
    /// When each member was last asked, of those that answered in the group's term.
    std::map<MemberId, TimePoint> m_observedInTermAt;
    std::set<MemberId> m_pendingProbes;
    std::map<MemberId, Load> m_loads;
    std::optional<PromotionAttempt> m_attempt;
    std::uint64_t m_attemptCount = 0;
    TimePoint m_nextAttemptAt = distantPast;
    /// When this observer starts a promotion, once a majority suspects the primary.
    std::optional<TimePoint> m_promoteAt;
    /// When this observer takes over from a promotion of another observer that is still unfinished.
    std::optional<TimePoint> m_takeOverAt;
    std::optional<TimePoint> m_handoverDeadline;
    bool m_isHandoverReady = false;
};

} // namespace rattanbeam::decisions
