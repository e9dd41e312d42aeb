#include "rattanbeam/decisions/groupobserver.h"

#include "rattanbeam/decisions/homeassignment.h"

#include <algorithm>
#include <utility>

namespace rattanbeam::decisions
{

namespace
{

std::set<FailureDomain> domainsOf(const DatabaseGroup &group)
{
    std::set<FailureDomain> domains;
    for (const auto &[member, location] : group.members) {
        domains.insert(location.domain);
    }
    return domains;
}

} // namespace

GroupObserver::GroupObserver(ObserverConfig config, const StoredGroup &stored)
    : m_config(std::move(config)), m_stored(stored), m_suspicion(m_config.domain, domainsOf(stored.group))
{
    m_suspicion.startTerm(stored.group.term);
}

ObserverActions GroupObserver::groupChanged(const StoredGroup &stored, const std::set<MemberId> &ownMembers, TimePoint now)
{
    ObserverActions actions;
    m_ownMembers = ownMembers;
    if (stored.version <= m_stored.version) {
        return actions;
    }
    if (domainsOf(stored.group) != domainsOf(m_stored.group)) {
        m_suspicion = Suspicion(m_config.domain, domainsOf(stored.group));
    }
    m_stored = stored;
    m_suspicion.startTerm(stored.group.term);
    m_promoteAt.reset();
    // The attempt that owns the term may use its whole time limit before this observer takes over.
    m_takeOverAt = stored.group.hasPrimary() ? std::nullopt : std::optional(staggeredStart(now + m_config.attemptTimeout));
    if (m_attempt && !m_attempt->isOver() && stored.group.attempt != m_attempt->id()) {
        m_attempt.reset();
    }
    if (stored.group.hasPrimary()) {
        endHandover(actions);
        repointReplicas(actions);
        startProbes(now, actions);
    }
    return actions;
}

ObserverActions GroupObserver::tick(TimePoint now)
{
    ObserverActions actions;
    startProbes(now, actions);
    repointReplicas(actions);
    if (m_attempt && !m_attempt->isOver()) {
        const PromotionPhase previousPhase = m_attempt->phase();
        for (const ObserverAction &action : attemptAdvanced(m_attempt->tick(now), previousPhase, now)) {
            actions.push_back(action);
        }
        return actions;
    }
    startPromotionIfDue(now, actions);
    advanceHandover(now, actions);
    return actions;
}

std::set<MemberId> GroupObserver::membersToProbe() const
{
    std::set<MemberId> members = m_ownMembers;
    if (m_stored.group.hasPrimary()) {
        members.insert(m_stored.group.primary);
    }
    // The home of the primary must know which members can confirm writes.
    if (m_ownMembers.contains(m_stored.group.primary)) {
        for (const auto &[member, location] : m_stored.group.members) {
            members.insert(member);
        }
    }
    return members;
}

void GroupObserver::startProbes(TimePoint /*now*/, ObserverActions &actions)
{
    for (const MemberId &member : membersToProbe()) {
        if (m_pendingProbes.insert(member).second) {
            actions.emplace_back(ProbeMember{member, false});
        }
    }
}

ObserverActions GroupObserver::probeEnded(
    const MemberId &member, bool isOnNewConnection, TimePoint askedAt, const std::optional<MemberStatus> &status, TimePoint now)
{
    ObserverActions actions;
    const bool isPrimary = member == m_stored.group.primary;
    ProbeStep step = ProbeStep::Nothing;
    if (status) {
        recordStatus(member, *status, askedAt);
        step = isPrimary ? m_suspicion.probeSucceeded() : ProbeStep::Nothing;
    } else if (!isOnNewConnection) {
        step = m_suspicion.probeFailed();
    } else if (isPrimary) {
        step = m_suspicion.newConnectionProbeFailed();
    }
    if (step == ProbeStep::ProbeOnNewConnection) {
        actions.emplace_back(ProbeMember{member, true});
        return actions;
    }
    m_pendingProbes.erase(member);
    if (step == ProbeStep::NotifyPeers) {
        actions.emplace_back(NotifyPeers{});
        startPromotionIfDue(now, actions);
    }
    return actions;
}

void GroupObserver::recordStatus(const MemberId &member, const MemberStatus &status, TimePoint askedAt)
{
    if (member == m_stored.group.primary && status.isPrimary) {
        m_dataAge.primaryObserved(status, askedAt);
    }
    if (status.term == m_stored.group.term) {
        m_observedInTermAt[member] = askedAt;
    } else {
        m_observedInTermAt.erase(member);
    }
    MemberObservation observation{status, askedAt, completeAsOf(member, status, askedAt), 0, {}};
    const auto load = m_loads.find(member);
    if (load != m_loads.end()) {
        observation.queued = load->second.queued;
        observation.latency = load->second.latency;
    }
    m_view.update(member, observation);
}

TimePoint GroupObserver::completeAsOf(const MemberId &member, const MemberStatus &status, TimePoint askedAt) const
{
    if (!status.isPrimary) {
        return m_dataAge.completeAsOf(status).value_or(distantPast);
    }
    // No later primary can have acknowledged a write while a majority is in this primary's term. Its data is therefore
    // complete as of the latest time at which a majority, itself included, was still in that term.
    std::vector<TimePoint> otherTimes;
    for (const auto &[other, observedAt] : m_observedInTermAt) {
        if (other != member) {
            otherTimes.push_back(observedAt);
        }
    }
    const std::size_t needed = m_stored.group.majority() - 1;
    if (status.term != m_stored.group.term || otherTimes.size() < needed) {
        return distantPast;
    }
    std::sort(otherTimes.rbegin(), otherTimes.rend());
    return needed == 0 ? askedAt : std::min(askedAt, otherTimes[needed - 1]);
}

void GroupObserver::peerObservationReceived(const MemberId &member, const MemberObservation &observation)
{
    if (m_stored.group.members.contains(member) && !m_ownMembers.contains(member)) {
        m_view.update(member, observation);
    }
}

ObserverActions GroupObserver::peerSuspicionReceived(const FailureDomain &domain, Term term, bool isSuspected, TimePoint now)
{
    ObserverActions actions;
    m_suspicion.setPeerSuspicion(domain, term, isSuspected, now + m_config.suspicionTimeout);
    startPromotionIfDue(now, actions);
    return actions;
}

void GroupObserver::setLoad(const MemberId &member, std::uint32_t queued, Duration latency)
{
    m_loads[member] = {queued, latency};
}

void GroupObserver::repointReplicas(ObserverActions &actions) const
{
    const DatabaseGroup &group = m_stored.group;
    if (!group.hasPrimary()) {
        return;
    }
    for (const MemberId &member : m_ownMembers) {
        const MemberObservation *observation = m_view.find(member);
        if (member == group.primary || observation == nullptr) {
            continue;
        }
        const MemberStatus &status = observation->status;
        if (status.term < group.term || (status.term == group.term && !status.isFollowing && !status.isPrimary)) {
            actions.emplace_back(FollowPrimary{member, group.term, group.primary});
        }
    }
}

TimePoint GroupObserver::staggeredStart(TimePoint earliest) const
{
    std::vector<InstanceId> domains;
    for (const FailureDomain &domain : domainsOf(m_stored.group)) {
        domains.emplace_back(domain.text());
    }
    const std::string key = m_stored.group.database.text() + '/' + std::to_string(m_stored.group.term);
    const auto order = rendezvousOrder(key, domains);
    const auto ownEntry = std::find(order.begin(), order.end(), InstanceId(m_config.domain.text()));
    return earliest + m_config.staggerDelay * (ownEntry - order.begin());
}

void GroupObserver::startPromotionIfDue(TimePoint now, ObserverActions &actions)
{
    if ((m_attempt && !m_attempt->isOver()) || m_ownMembers.empty() || now < m_nextAttemptAt) {
        return;
    }
    if (!m_stored.group.hasPrimary()) {
        m_takeOverAt = m_takeOverAt.value_or(staggeredStart(now + m_config.attemptTimeout));
        if (now >= *m_takeOverAt) {
            startAttempt(now, {}, actions);
        }
        return;
    }
    if (!m_suspicion.hasQuorum(now)) {
        m_promoteAt.reset();
        return;
    }
    m_promoteAt = m_promoteAt.value_or(staggeredStart(now));
    if (now >= *m_promoteAt) {
        startAttempt(now, {}, actions);
    }
}

void GroupObserver::advanceHandover(TimePoint now, ObserverActions &actions)
{
    const DatabaseGroup &group = m_stored.group;
    const MemberObservation *primary = m_view.find(group.primary);
    const bool isLeaving = group.hasPrimary() && primary != nullptr && primary->status.isLeaving && primary->status.isPrimary;
    if (!isLeaving || !m_ownMembers.contains(group.primary) || group.members.size() < 2) {
        if (m_handoverDeadline && !isLeaving) {
            endHandover(actions);
        }
        return;
    }
    if ((m_attempt && !m_attempt->isOver()) || now < m_nextAttemptAt) {
        return;
    }
    if (!m_handoverDeadline) {
        m_handoverDeadline = now + m_config.handoverTimeout;
        m_isHandoverReady = false;
        actions.emplace_back(PauseMember{group.primary, true});
        return;
    }
    if (m_isHandoverReady || now >= *m_handoverDeadline) {
        startAttempt(now, {group.primary}, actions);
    }
}

ObserverActions GroupObserver::handoverReady(const MemberId &member, TimePoint now)
{
    ObserverActions actions;
    if (m_handoverDeadline && member == m_stored.group.primary) {
        m_isHandoverReady = true;
        advanceHandover(now, actions);
    }
    return actions;
}

void GroupObserver::endHandover(ObserverActions &actions)
{
    if (!m_handoverDeadline) {
        return;
    }
    m_handoverDeadline.reset();
    for (const MemberId &member : m_ownMembers) {
        actions.emplace_back(PauseMember{member, false});
    }
}

void GroupObserver::startAttempt(TimePoint now, std::set<MemberId> excluded, ObserverActions &actions)
{
    const AttemptId id(m_config.attemptPrefix + '-' + std::to_string(++m_attemptCount));
    m_attempt.emplace(m_stored, id, now + m_config.attemptTimeout, std::move(excluded));
    m_nextAttemptAt = now + m_config.minAttemptInterval;
    actions.emplace_back(ReportPromotion{m_attempt->phase(), m_attempt->term(), MemberId()});
    for (const PromotionAction &step : m_attempt->start()) {
        std::visit(
            [&actions](const auto &action) {
                actions.emplace_back(action);
            },
            step);
    }
}

bool GroupObserver::isCurrentAttempt(const AttemptId &attempt) const
{
    return m_attempt && !m_attempt->isOver() && m_attempt->id() == attempt;
}

ObserverActions GroupObserver::attemptAdvanced(const PromotionActions &promotionActions, PromotionPhase previousPhase, TimePoint now)
{
    ObserverActions actions;
    for (const PromotionAction &step : promotionActions) {
        std::visit(
            [&actions](const auto &action) {
                actions.emplace_back(action);
            },
            step);
    }
    if (m_attempt->phase() == previousPhase) {
        return actions;
    }
    actions.emplace_back(ReportPromotion{m_attempt->phase(), m_attempt->term(), m_attempt->chosenPrimary()});
    if (m_attempt->phase() == PromotionPhase::Abandoned) {
        m_nextAttemptAt = staggeredStart(now + m_config.minAttemptInterval);
    }
    return actions;
}

ObserverActions GroupObserver::writeAnswered(const AttemptId &attempt, bool isApplied, const StoredGroup &stored, TimePoint now)
{
    ObserverActions actions;
    if (isCurrentAttempt(attempt)) {
        const PromotionPhase previousPhase = m_attempt->phase();
        actions = attemptAdvanced(m_attempt->writeAnswered(isApplied, stored), previousPhase, now);
    }
    for (const ObserverAction &action : groupChanged(stored, m_ownMembers, now)) {
        actions.push_back(action);
    }
    return actions;
}

ObserverActions GroupObserver::writeUnanswered(const AttemptId &attempt, TimePoint now)
{
    if (!isCurrentAttempt(attempt)) {
        return {};
    }
    const PromotionPhase previousPhase = m_attempt->phase();
    return attemptAdvanced(m_attempt->writeUnanswered(), previousPhase, now);
}

ObserverActions GroupObserver::readAnswered(const AttemptId &attempt, const StoredGroup &stored, TimePoint now)
{
    ObserverActions actions;
    if (isCurrentAttempt(attempt)) {
        const PromotionPhase previousPhase = m_attempt->phase();
        actions = attemptAdvanced(m_attempt->readAnswered(stored), previousPhase, now);
    }
    for (const ObserverAction &action : groupChanged(stored, m_ownMembers, now)) {
        actions.push_back(action);
    }
    return actions;
}

ObserverActions
GroupObserver::fenceAnswered(const AttemptId &attempt, const MemberId &member, bool isAccepted, const LogPosition &last, TimePoint now)
{
    if (!isCurrentAttempt(attempt)) {
        return {};
    }
    const PromotionPhase previousPhase = m_attempt->phase();
    return attemptAdvanced(m_attempt->fenceAnswered(member, isAccepted, last), previousPhase, now);
}

ObserverActions GroupObserver::promoteAnswered(const AttemptId &attempt, const MemberId &member, bool isAccepted, TimePoint now)
{
    if (!isCurrentAttempt(attempt)) {
        return {};
    }
    const PromotionPhase previousPhase = m_attempt->phase();
    return attemptAdvanced(m_attempt->promoteAnswered(member, isAccepted), previousPhase, now);
}

} // namespace rattanbeam::decisions
