#include "rattanbeam/decisions/session/grouphome.h"

#include <algorithm>
#include <utility>

namespace rattanbeam::decisions::session
{

using namespace std::chrono_literals;

namespace
{

constexpr Duration minTermReadInterval = 150ms; // between reads of the term record
constexpr Duration termWriteTimeout = 2s; // for the store's answer to a new generation
constexpr Duration peerAnswerMargin = 200ms; // added to the time in which peers have to answer
constexpr Duration suspicionRetryDelay = 300ms; // before peers are asked again
constexpr Duration redirectTime = 1000ms; // after peers have reached a primary that this home cannot reach
constexpr Duration orderRetryDelay = 500ms; // before an unanswered order is repeated
constexpr Duration maxOrderEvidenceAge = 400ms; // since the last read that showed this home's generation as the latest
constexpr Duration statusPollInterval = 40ms; // between status requests to a candidate that is to lead
constexpr Duration resumeDelay = 500ms; // before replicas that are still fenced are resumed
// After this, a change of primary that is still unfinished, or fences that are still in place, lead to a new generation.
constexpr Duration unfinishedChangeTimeout = 4500ms;

} // namespace

std::string_view GroupHome::changeStageName(ChangeStage stage)
{
    switch (stage) {
    case ChangeStage::None:
        return "none";
    case ChangeStage::AskingPeers:
        return "asking-peers";
    case ChangeStage::Quiescing:
        return "quiescing";
    case ChangeStage::WritingTerm:
        return "writing-term";
    case ChangeStage::Fencing:
        return "fencing";
    case ChangeStage::AwaitingLeases:
        return "awaiting-leases";
    case ChangeStage::Ordering:
        return "ordering";
    case ChangeStage::AwaitingLead:
        return "awaiting-lead";
    }
    return "unknown";
}

void GroupHome::setStage(ChangeStage stage, TimePoint deadline)
{
    m_effects.report({"primary-change",
                      false,
                      {{"service", m_service.text()},
                       {"stage", std::string(changeStageName(stage))},
                       {"planned", m_change.isPlanned ? "true" : "false"},
                       {"from", m_change.oldPrimary.text()},
                       {"candidate", m_change.candidate.text()},
                       {"generation", std::to_string(m_term ? m_term->generation : 0)},
                       {"token", std::to_string(m_change.fencingToken)}}});
    m_change.stage = stage;
    m_change.stageDeadline = deadline;
}

void GroupHome::suspectPrimary(std::string_view cause, TimePoint now)
{
    if (m_change.stage != ChangeStage::None || !isTermSettled() || !m_term || m_primary.isEmpty()) {
        return;
    }
    const auto member = m_members.find(m_primary);
    m_effects.report(
        {"primary-suspected", true, {{"service", m_service.text()}, {"member", m_primary.text()}, {"cause", std::string(cause)}}});
    m_change = {};
    m_change.oldPrimary = m_primary;
    m_change.oldPrimaryTerm = latestKnownTerm(m_primary);
    m_change.startedAt = now;
    setStage(ChangeStage::AskingPeers, now + m_limits.peerAnswerTimeout);
    // The member itself has shown that it does not lead, or it is no longer in the group: peers need not be asked.
    if (cause == "says-replica" || cause == "read-only" || cause == "gone") {
        m_effects.readTerm();
        beginTermWrite(now);
        return;
    }
    if (member != m_members.end() && now - member->second.peersAskedAt < m_limits.peerAnswerTimeout + m_limits.connectTimeout) {
        if (const auto answers = member->second.peerAnswers) {
            evaluatePeerAnswers(answers->first, answers->second, now);
        }
        return; // peers were asked when the silence began
    }
    if (member != m_members.end()) {
        member->second.peersAskedAt = now;
    }
    m_effects.askPeers(m_primary);
}

/// Asks peers while this home tries a new connection, so that both results arrive at about the same time.
void GroupHome::askPeersEarly(Member &member, TimePoint now)
{
    if (now - member.peersAskedAt < m_limits.peerAnswerTimeout) {
        return;
    }
    member.peersAskedAt = now;
    member.peerAnswers.reset();
    m_effects.askPeers(member.record.id);
}

void GroupHome::peersAnswered(const MemberId &id, std::size_t reachable, std::size_t unreachable, TimePoint now)
{
    const auto member = m_members.find(id);
    if (member != m_members.end() && member->second.health != Health::Up) {
        member->second.peerAnswers = {reachable, unreachable};
    }
    if (m_change.stage == ChangeStage::AskingPeers && id == m_change.oldPrimary) {
        evaluatePeerAnswers(reachable, unreachable, now);
    }
}

void GroupHome::evaluatePeerAnswers(std::size_t reachable, std::size_t unreachable, TimePoint now)
{
    m_effects.report({"peers-answered",
                      false,
                      {{"service", m_service.text()},
                       {"member", m_change.oldPrimary.text()},
                       {"reachable", std::to_string(reachable)},
                       {"unreachable", std::to_string(unreachable)}}});
    if (reachable > 0) {
        m_redirectUntil = now + redirectTime;
        abandonChange("peers-reach-the-primary", now);
    } else if (unreachable == 0) {
        abandonChange("no-peer-answered", now);
    } else {
        beginTermWrite(now);
    }
}

/// Writes a term record of the next generation, without a primary.
void GroupHome::beginTermWrite(TimePoint now)
{
    TermRecord record;
    record.service = m_service;
    record.generation = nextGeneration();
    record.homes.push_back(m_self);
    record.term = std::max<Term>(m_change.oldPrimaryTerm, m_term ? m_term->term : 0);
    m_change.leaseHolders.clear();
    if (m_term) {
        // The record keeps holders and witnesses for a home that may have to take this change over.
        record.witnesses = m_term->witnesses;
        for (const std::string &home : m_term->homes) {
            if (instanceNameOf(home) != instanceNameOf(m_self)) {
                m_change.leaseHolders.insert(home);
                record.homes.push_back(home);
            }
        }
    }
    addRestoredHolders(record);
    m_change.leaseHolders.insert(std::next(record.homes.begin()), record.homes.end());
    m_change.generation = record.generation;
    m_change.witnesses = record.witnesses;
    if (m_limits.synchronousReplicas > 0 && !m_change.oldPrimary.isEmpty()) {
        // A home that takes the change over has to know all members that may hold acknowledged commits.
        std::set<MemberId> holders = possibleHolders();
        holders.insert(record.witnesses.begin(), record.witnesses.end());
        holders.erase(m_change.oldPrimary);
        record.witnesses.assign(holders.begin(), holders.end());
    }
    setStage(ChangeStage::WritingTerm, now + termWriteTimeout);
    m_lastTermWriteAt = now;
    m_effects.writeTerm(record, m_termRevision);
}

void GroupHome::leaseYielded(const std::string &home, std::uint64_t generation, TimePoint now)
{
    if (m_term && generation >= m_term->generation) {
        m_change.leaseHolders.erase(home);
        advanceChange(now);
    }
}

/// Orders the promotion if a recent read has shown this home's generation as the latest, and reads the term record if not: an
/// order with an outdated token must never follow one with a later token.
void GroupHome::orderPromotionIfNewest(TimePoint now)
{
    if (now - m_lease.lastTermRecordReadAt() > maxOrderEvidenceAge) {
        if (now - m_lastTermReadAt > minTermReadInterval) {
            m_lastTermReadAt = now;
            m_effects.readTerm();
        }
        if (now >= m_change.leasesEndedAt + m_limits.promotionTimeout) {
            abandonChange("store-silent", now);
        }
        return;
    }
    m_change.lastOrderAt = now;
    if (m_change.stage != ChangeStage::Ordering) {
        if (isGuardNeeded(now)) {
            m_heldFence = {guardingReplica(now).value_or(MemberId()), knownToAllHomesAt(m_members.at(m_change.candidate))};
            m_effects.report({"fence-held",
                              false,
                              {{"service", m_service.text()},
                               {"member", m_heldFence.member.text()},
                               {"candidate", m_change.candidate.text()},
                               {"ms", std::to_string(millisecondsUntil(m_heldFence.until, now))}}});
        }
        setStage(ChangeStage::Ordering, now + m_limits.promotionTimeout);
    }
    m_effects.orderPromotion(m_change.candidate, m_change.fencingToken);
}

void GroupHome::promotionAnswered(const MemberId &member, PromotionResult result, TimePoint now)
{
    if (m_change.stage != ChangeStage::Ordering || member != m_change.candidate) {
        return;
    }
    switch (result) {
    case PromotionResult::Accepted:
        setStage(ChangeStage::AwaitingLead, now + m_limits.promotionTimeout);
        break;
    case PromotionResult::Rejected:
        m_change.reportedPositions.erase(member);
        chooseCandidate(now);
        break;
    case PromotionResult::Unavailable:
        m_change.lastOrderAt = now; // advanceChange() repeats the order after a delay
        break;
    }
}

void GroupHome::completeChange(TimePoint now)
{
    m_primary = m_change.candidate;
    primaryNamed();
    m_noCandidateSince = distantPast;
    m_leaderlessSince = distantPast;
    m_term->primary = m_primary;
    m_term->term = m_members.at(m_primary).status->term;
    m_term->homes = {m_self};
    m_term->witnesses.clear();
    m_term->witnesses = updatedWitnesses(*m_term);
    m_droppedWitnesses.clear();
    m_effects.report({"primary-changed",
                      false,
                      {{"service", m_service.text()},
                       {"primary", m_primary.text()},
                       {"previous", m_change.oldPrimary.text()},
                       {"planned", m_change.isPlanned ? "true" : "false"},
                       {"took_ms", std::to_string(millisecondsUntil(now, m_change.startedAt))}}});
    m_change = {};
    const bool isListed = std::find(m_term->homes.begin(), m_term->homes.end(), m_self) != m_term->homes.end();
    const TimePoint termRecordReadAt = m_lease.lastTermRecordReadAt(); // the order was preceded by a read that showed this generation
    m_lease.restart(m_term->generation, isListed, replicaIds());
    m_lease.termRecordRead(m_term->generation, isListed, termRecordReadAt);
    m_isWritingTerm = true;
    m_lastTermWriteAt = now;
    m_effects.writeTerm(*m_term, m_termRevision);
    resumeFencedMembers(now);
    releaseHeld(now);
}

void GroupHome::abandonChange(std::string_view cause, TimePoint now)
{
    if (m_change.stage == ChangeStage::None) {
        return;
    }
    m_effects.report(
        {"primary-change-abandoned",
         true,
         {{"service", m_service.text()}, {"stage", std::string(changeStageName(m_change.stage))}, {"cause", std::string(cause)}}});
    m_change = {};
    m_change.startedAt = now;
    releaseHeld(now);
}

/// Begins a planned change if the primary is leaving or its registration has disappeared.
void GroupHome::considerPlannedChange(TimePoint now)
{
    const auto member = m_members.find(m_primary);
    if (member == m_members.end() || member->second.health != Health::Up || !m_term) {
        return;
    }
    const bool isRegistrationLapsed = !member->second.isRegistered && now - member->second.unregisteredAt > m_limits.registrationGrace;
    if (!member->second.record.isLeaving && !isRegistrationLapsed) {
        return;
    }
    const bool hasReplica = std::any_of(m_members.begin(), m_members.end(), [&](const auto &entry) {
        return entry.first != m_primary && entry.second.health == Health::Up && entry.second.isRegistered && !entry.second.record.isLeaving;
    });
    if (!hasReplica || now - m_change.startedAt < suspicionRetryDelay) {
        return;
    }
    m_change = {};
    m_change.isPlanned = true;
    m_change.oldPrimary = m_primary;
    m_change.oldPrimaryTerm = member == m_members.end() ? 0 : member->second.applied.term;
    m_change.startedAt = now;
    setStage(ChangeStage::Quiescing, now + m_limits.quiesceTimeout);
}

/// Without a change of primary under way: renews evidence, begins a change if there is a reason, and lifts fences that
/// replicas still have.
void GroupHome::superviseGroup(TimePoint now)
{
    ensureTermExists(now);
    renewEvidence(now);
    if (!isTermSettled()) {
        settleTerm(now);
        return;
    }
    const auto member = m_members.find(m_primary);
    const bool isDown = member == m_members.end() || member->second.health == Health::Down;
    const bool isChangeUnfinished = m_term && m_term->primary.isEmpty() && now - m_change.startedAt > unfinishedChangeTimeout;
    if (isChangeUnfinished) {
        m_change = {};
        m_change.oldPrimaryTerm = m_term->term;
        m_change.startedAt = now;
        beginTermWrite(now);
    } else if (isDown && !m_primary.isEmpty() && now - m_change.startedAt > suspicionRetryDelay && now >= m_redirectUntil
               && (m_isFirstHome || !m_held.empty())) {
        suspectPrimary(member == m_members.end() ? "gone" : "down", now);
    } else {
        considerPlannedChange(now);
    }
    if (m_change.stage != ChangeStage::None || !m_term || m_term->primary.isEmpty() || now - m_change.startedAt < resumeDelay) {
        return;
    }
    const bool hasFenced = std::any_of(m_members.begin(), m_members.end(), [&](const auto &entry) {
        return entry.first != m_primary && entry.second.health == Health::Up && entry.second.status && entry.second.status->fenceTerm != 0
               && !isFenceHeld(entry.first, now);
    });
    if (!hasFenced) {
        m_fencedSince = now;
        return;
    }
    // Only the home that created the current generation may lift its fences: those of other homes may belong to a change that
    // is under way.
    const bool isOwner = !m_term->homes.empty() && m_term->homes.front() == m_self;
    if (isOwner && now - m_lease.lastTermRecordReadAt() < maxOrderEvidenceAge) {
        resumeFencedMembers(now);
        m_change.startedAt = now;
    } else if (isOwner && now - m_lastTermReadAt > minTermReadInterval) {
        m_lastTermReadAt = now;
        m_effects.readTerm();
    } else if (!isOwner && m_isFirstHome && now - m_fencedSince > unfinishedChangeTimeout) {
        // The home that fenced the replica is gone. Creates a new generation, in which the current primary keeps its role.
        m_fencedSince = now;
        m_change = {};
        m_change.oldPrimaryTerm = m_term->term;
        m_change.startedAt = now;
        beginTermWrite(now);
    }
}

/// Takes the change of primary to its next stage, or abandons it, when a condition is met or the stage has timed out.
void GroupHome::advanceChange(TimePoint now)
{
    switch (m_change.stage) {
    case ChangeStage::None:
        refuseUnconfirmableAnswers(now);
        superviseGroup(now);
        break;
    case ChangeStage::AskingPeers:
        if (now >= m_change.stageDeadline + peerAnswerMargin) {
            abandonChange("peers-silent", now);
        }
        break;
    case ChangeStage::Quiescing: {
        const auto member = m_members.find(m_change.oldPrimary);
        const bool isBusy = std::any_of(m_transactions.begin(),
                                        m_transactions.end(),
                                        [&](const auto &entry) {
                                            return entry.second.member == m_change.oldPrimary;
                                        })
                            || (member != m_members.end() && member->second.queue.running() > 0);
        if (!isBusy || now >= m_change.stageDeadline) {
            beginTermWrite(now);
        }
        break;
    }
    case ChangeStage::WritingTerm:
        if (now >= m_change.stageDeadline) {
            redirectWhileStoreFails(now);
            abandonChange("term-write-silent", now);
            m_lastTermReadAt = now;
            m_effects.readTerm();
        }
        break;
    case ChangeStage::Fencing:
        advanceFencing(now);
        break;
    case ChangeStage::AwaitingLeases:
        advanceLeaseWait(now);
        break;
    case ChangeStage::Ordering:
        if (now >= m_change.stageDeadline) {
            abandonChange("promotion-not-accepted", now);
        } else if (now - m_change.lastOrderAt > orderRetryDelay) {
            orderPromotionIfNewest(now);
        }
        break;
    case ChangeStage::AwaitingLead: {
        const auto candidate = m_members.find(m_change.candidate);
        if (candidate == m_members.end() || candidate->second.health == Health::Down || now >= m_change.stageDeadline) {
            abandonChange("candidate-does-not-lead", now);
        } else if (now - candidate->second.statusAskedAt >= statusPollInterval) {
            askStatus(candidate->second, now);
        }
        break;
    }
    }
}

} // namespace rattanbeam::decisions::session
