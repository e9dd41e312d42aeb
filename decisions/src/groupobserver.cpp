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
    for (const auto &[member, place] : group.members) {
        domains.insert(place.domain);
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
    // Another observer's attempt gets its time before this one takes over.
    m_unsettledUntil = stored.group.hasPrimary() ? std::nullopt : std::optional(ownTurn(now + m_config.attemptLimit));
    if (m_attempt && !m_attempt->isOver() && stored.group.attempt != m_attempt->id()) {
        m_attempt.reset();
    }
    if (stored.group.hasPrimary()) {
        endHandover(actions);
        directFollowers(actions);
        probe(now, actions);
    }
    return actions;
}

ObserverActions GroupObserver::tick(TimePoint now)
{
    ObserverActions actions;
    probe(now, actions);
    directFollowers(actions);
    if (m_attempt && !m_attempt->isOver()) {
        const PromotionPhase before = m_attempt->phase();
        for (const ObserverAction &action : afterStep(m_attempt->tick(now), before, now)) {
            actions.push_back(action);
        }
        return actions;
    }
    considerPromotion(now, actions);
    considerHandover(now, actions);
    return actions;
}

std::set<MemberId> GroupObserver::probedMembers() const
{
    std::set<MemberId> members = m_ownMembers;
    if (m_stored.group.hasPrimary()) {
        members.insert(m_stored.group.primary);
    }
    // The primary's home must know who can confirm.
    if (m_ownMembers.contains(m_stored.group.primary)) {
        for (const auto &[member, place] : m_stored.group.members) {
            members.insert(member);
        }
    }
    return members;
}

void GroupObserver::probe(TimePoint /*now*/, ObserverActions &actions)
{
    for (const MemberId &member : probedMembers()) {
        if (m_probing.insert(member).second) {
            actions.emplace_back(ProbeMember{member, false});
        }
    }
}

ObserverActions
GroupObserver::probeEnded(const MemberId &member, bool isFresh, TimePoint askedAt, const std::optional<MemberStatus> &status, TimePoint now)
{
    ObserverActions actions;
    const bool isPrimary = member == m_stored.group.primary;
    ProbeStep step = ProbeStep::Nothing;
    if (status) {
        noteSeen(member, *status, askedAt);
        step = isPrimary ? m_suspicion.probeSucceeded() : ProbeStep::Nothing;
    } else if (!isFresh) {
        step = m_suspicion.probeFailed();
    } else if (isPrimary) {
        step = m_suspicion.freshProbeFailed();
    }
    if (step == ProbeStep::ProbeAfresh) {
        actions.emplace_back(ProbeMember{member, true});
        return actions;
    }
    m_probing.erase(member);
    if (step == ProbeStep::TellPeers) {
        actions.emplace_back(TellPeers{});
        considerPromotion(now, actions);
    }
    return actions;
}

void GroupObserver::noteSeen(const MemberId &member, const MemberStatus &status, TimePoint askedAt)
{
    if (member == m_stored.group.primary && status.isPrimary) {
        m_ages.primarySeen(status, askedAt);
    }
    if (status.term == m_stored.group.term) {
        m_seenInTerm[member] = askedAt;
    } else {
        m_seenInTerm.erase(member);
    }
    MemberSighting sighting{status, askedAt, dataFrom(member, status, askedAt), 0, {}};
    const auto load = m_loads.find(member);
    if (load != m_loads.end()) {
        sighting.queued = load->second.queued;
        sighting.latency = load->second.latency;
    }
    m_view.learn(member, sighting);
}

TimePoint GroupObserver::dataFrom(const MemberId &member, const MemberStatus &status, TimePoint askedAt) const
{
    if (!status.isPrimary) {
        return m_ages.completeSince(status).value_or(distantPast);
    }
    // A primary's data is complete as of the time when a majority was still in its term.
    std::vector<TimePoint> others;
    for (const auto &[other, seenAt] : m_seenInTerm) {
        if (other != member) {
            others.push_back(seenAt);
        }
    }
    const std::size_t needed = m_stored.group.majority() - 1;
    if (status.term != m_stored.group.term || others.size() < needed) {
        return distantPast;
    }
    std::sort(others.rbegin(), others.rend());
    return needed == 0 ? askedAt : std::min(askedAt, others[needed - 1]);
}

void GroupObserver::peerSaw(const MemberId &member, const MemberSighting &sighting)
{
    if (m_stored.group.members.contains(member) && !m_ownMembers.contains(member)) {
        m_view.learn(member, sighting);
    }
}

ObserverActions GroupObserver::peerSuspects(const FailureDomain &domain, Term term, bool isSuspected, TimePoint now)
{
    ObserverActions actions;
    m_suspicion.heard(domain, term, isSuspected, now + m_config.suspicionHold);
    considerPromotion(now, actions);
    return actions;
}

void GroupObserver::setLoad(const MemberId &member, std::uint32_t queued, Duration latency)
{
    m_loads[member] = {queued, latency};
}

void GroupObserver::directFollowers(ObserverActions &actions) const
{
    const DatabaseGroup &group = m_stored.group;
    if (!group.hasPrimary()) {
        return;
    }
    for (const MemberId &member : m_ownMembers) {
        const MemberSighting *sighting = m_view.find(member);
        if (member == group.primary || sighting == nullptr) {
            continue;
        }
        const MemberStatus &status = sighting->status;
        if (status.term < group.term || (status.term == group.term && !status.isFollowing && !status.isPrimary)) {
            actions.emplace_back(FollowPrimary{member, group.term, group.primary});
        }
    }
}

TimePoint GroupObserver::ownTurn(TimePoint from) const
{
    std::vector<InstanceId> domains;
    for (const FailureDomain &domain : domainsOf(m_stored.group)) {
        domains.emplace_back(domain.text());
    }
    const std::string key = m_stored.group.database.text() + '/' + std::to_string(m_stored.group.term);
    const auto order = rendezvousOrder(key, domains);
    const auto own = std::find(order.begin(), order.end(), InstanceId(m_config.domain.text()));
    return from + m_config.orderStep * (own - order.begin());
}

void GroupObserver::considerPromotion(TimePoint now, ObserverActions &actions)
{
    if ((m_attempt && !m_attempt->isOver()) || m_ownMembers.empty() || now < m_nextAttempt) {
        return;
    }
    if (!m_stored.group.hasPrimary()) {
        m_unsettledUntil = m_unsettledUntil.value_or(ownTurn(now + m_config.attemptLimit));
        if (now >= *m_unsettledUntil) {
            startAttempt(now, {}, actions);
        }
        return;
    }
    if (!m_suspicion.isAgreed(now)) {
        m_promoteAt.reset();
        return;
    }
    m_promoteAt = m_promoteAt.value_or(ownTurn(now));
    if (now >= *m_promoteAt) {
        startAttempt(now, {}, actions);
    }
}

void GroupObserver::considerHandover(TimePoint now, ObserverActions &actions)
{
    const DatabaseGroup &group = m_stored.group;
    const MemberSighting *primary = m_view.find(group.primary);
    const bool isLeaving = group.hasPrimary() && primary != nullptr && primary->status.isLeaving && primary->status.isPrimary;
    if (!isLeaving || !m_ownMembers.contains(group.primary) || group.members.size() < 2) {
        if (m_handoverDeadline && !isLeaving) {
            endHandover(actions);
        }
        return;
    }
    if ((m_attempt && !m_attempt->isOver()) || now < m_nextAttempt) {
        return;
    }
    if (!m_handoverDeadline) {
        m_handoverDeadline = now + m_config.handoverLimit;
        m_handoverReady = false;
        actions.emplace_back(HoldMember{group.primary, true});
        return;
    }
    if (m_handoverReady || now >= *m_handoverDeadline) {
        startAttempt(now, {group.primary}, actions);
    }
}

ObserverActions GroupObserver::handoverReady(const MemberId &member, TimePoint now)
{
    ObserverActions actions;
    if (m_handoverDeadline && member == m_stored.group.primary) {
        m_handoverReady = true;
        considerHandover(now, actions);
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
        actions.emplace_back(HoldMember{member, false});
    }
}

void GroupObserver::startAttempt(TimePoint now, std::set<MemberId> avoided, ObserverActions &actions)
{
    const AttemptId id(m_config.attemptPrefix + '-' + std::to_string(++m_attempts));
    m_attempt.emplace(m_stored, id, now + m_config.attemptLimit, std::move(avoided));
    m_nextAttempt = now + m_config.attemptPause;
    actions.emplace_back(ReportPromotion{m_attempt->phase(), m_attempt->term(), MemberId()});
    for (const PromotionAction &step : m_attempt->start()) {
        std::visit(
            [&actions](const auto &action) {
                actions.emplace_back(action);
            },
            step);
    }
}

bool GroupObserver::isCurrent(const AttemptId &attempt) const
{
    return m_attempt && !m_attempt->isOver() && m_attempt->id() == attempt;
}

ObserverActions GroupObserver::afterStep(const PromotionActions &steps, PromotionPhase before, TimePoint now)
{
    ObserverActions actions;
    for (const PromotionAction &step : steps) {
        std::visit(
            [&actions](const auto &action) {
                actions.emplace_back(action);
            },
            step);
    }
    if (m_attempt->phase() == before) {
        return actions;
    }
    actions.emplace_back(ReportPromotion{m_attempt->phase(), m_attempt->term(), m_attempt->chosen()});
    if (m_attempt->phase() == PromotionPhase::Abandoned) {
        m_nextAttempt = ownTurn(now + m_config.attemptPause);
    }
    return actions;
}

ObserverActions GroupObserver::written(const AttemptId &attempt, bool isApplied, const StoredGroup &stored, TimePoint now)
{
    ObserverActions actions;
    if (isCurrent(attempt)) {
        const PromotionPhase before = m_attempt->phase();
        actions = afterStep(m_attempt->written(isApplied, stored), before, now);
    }
    for (const ObserverAction &action : groupChanged(stored, m_ownMembers, now)) {
        actions.push_back(action);
    }
    return actions;
}

ObserverActions GroupObserver::writeUnanswered(const AttemptId &attempt, TimePoint now)
{
    if (!isCurrent(attempt)) {
        return {};
    }
    const PromotionPhase before = m_attempt->phase();
    return afterStep(m_attempt->writeUnanswered(), before, now);
}

ObserverActions GroupObserver::readBack(const AttemptId &attempt, const StoredGroup &stored, TimePoint now)
{
    ObserverActions actions;
    if (isCurrent(attempt)) {
        const PromotionPhase before = m_attempt->phase();
        actions = afterStep(m_attempt->readBack(stored), before, now);
    }
    for (const ObserverAction &action : groupChanged(stored, m_ownMembers, now)) {
        actions.push_back(action);
    }
    return actions;
}

ObserverActions
GroupObserver::fenced(const AttemptId &attempt, const MemberId &member, bool isAccepted, const LogPosition &last, TimePoint now)
{
    if (!isCurrent(attempt)) {
        return {};
    }
    const PromotionPhase before = m_attempt->phase();
    return afterStep(m_attempt->fenced(member, isAccepted, last), before, now);
}

ObserverActions GroupObserver::promoted(const AttemptId &attempt, const MemberId &member, bool isAccepted, TimePoint now)
{
    if (!isCurrent(attempt)) {
        return {};
    }
    const PromotionPhase before = m_attempt->phase();
    return afterStep(m_attempt->promoted(member, isAccepted), before, now);
}

} // namespace rattanbeam::decisions
