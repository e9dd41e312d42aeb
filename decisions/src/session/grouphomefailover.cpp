#include "rattanbeam/decisions/session/grouphome.h"

#include <algorithm>
#include <utility>

namespace rattanbeam::decisions::session
{

using namespace std::chrono_literals;

namespace
{

constexpr Duration termReadPause = 150ms; // between reads of the term record
constexpr Duration suspicionPause = 300ms; // before peers are asked again
constexpr Duration unfitFor = 1000ms;
constexpr Duration orderRetry = 250ms;
constexpr Duration orderEvidence = 400ms; // oldest sight of the own term that allows an order
constexpr Duration leadPoll = 40ms;
constexpr Duration resumePause = 500ms;
constexpr Duration foreignChangeLimit = 4500ms; // after this another home's change of primary is taken over

std::string nameOf(const std::string &home)
{
    return home.substr(0, home.rfind('/'));
}

} // namespace

std::string_view GroupHome::changeName(Change stage)
{
    switch (stage) {
    case Change::None:
        return "none";
    case Change::AskingPeers:
        return "asking-peers";
    case Change::Quiescing:
        return "quiescing";
    case Change::WritingTerm:
        return "writing-term";
    case Change::Fencing:
        return "fencing";
    case Change::AwaitingLeases:
        return "awaiting-leases";
    case Change::Ordering:
        return "ordering";
    case Change::AwaitingLead:
        return "awaiting-lead";
    }
    return "unknown";
}

void GroupHome::setStage(Change stage, TimePoint until)
{
    m_effects.report({"primary-change",
                      false,
                      {{"service", m_service.text()},
                       {"stage", std::string(changeName(stage))},
                       {"planned", m_change.isPlanned ? "true" : "false"},
                       {"from", m_change.from.text()},
                       {"candidate", m_change.candidate.text()},
                       {"generation", std::to_string(m_term ? m_term->generation : 0)},
                       {"token", std::to_string(m_change.token)}}});
    m_change.stage = stage;
    m_change.stageUntil = until;
}

void GroupHome::suspectPrimary(std::string_view cause, TimePoint now)
{
    if (m_change.stage != Change::None || !m_isTermKnown || !m_term || m_primary.isEmpty()) {
        return;
    }
    const auto member = m_members.find(m_primary);
    m_effects.report(
        {"primary-suspected", true, {{"service", m_service.text()}, {"member", m_primary.text()}, {"cause", std::string(cause)}}});
    m_change = {};
    m_change.from = m_primary;
    m_change.fromTerm = knownTerm(m_primary);
    m_change.startedAt = now;
    setStage(Change::AskingPeers, now + m_limits.peersTimeout);
    if (cause == "says-replica" || cause == "read-only" || cause == "gone") {
        m_effects.readTerm();
        beginTermWrite(now);
        return;
    }
    if (member != m_members.end() && now - member->second.peersAskedAt < m_limits.peersTimeout + m_limits.connectTimeout) {
        if (const auto verdict = member->second.peerVerdict) {
            judgePeers(verdict->first, verdict->second, now);
        }
        return; // they were asked when the silence began
    }
    if (member != m_members.end()) {
        member->second.peersAskedAt = now;
    }
    m_effects.askPeers(m_primary);
}

/// Peers look while this home tries a new connection, so that both answers come together.
void GroupHome::askPeersAhead(Member &member, TimePoint now)
{
    if (now - member.peersAskedAt < m_limits.peersTimeout) {
        return;
    }
    member.peersAskedAt = now;
    member.peerVerdict.reset();
    m_effects.askPeers(member.record.id);
}

void GroupHome::peersAnswered(const MemberId &id, std::size_t reachable, std::size_t unreachable, TimePoint now)
{
    const auto member = m_members.find(id);
    if (member != m_members.end() && member->second.health != Health::Up) {
        member->second.peerVerdict = {reachable, unreachable};
    }
    if (m_change.stage == Change::AskingPeers && id == m_change.from) {
        judgePeers(reachable, unreachable, now);
    }
}

void GroupHome::judgePeers(std::size_t reachable, std::size_t unreachable, TimePoint now)
{
    m_effects.report({"peers-answered",
                      false,
                      {{"service", m_service.text()},
                       {"member", m_change.from.text()},
                       {"reachable", std::to_string(reachable)},
                       {"unreachable", std::to_string(unreachable)}}});
    if (reachable > 0) {
        m_unfitUntil = now + unfitFor;
        abandonChange("peers-reach-the-primary", now);
    } else if (unreachable == 0) {
        abandonChange("no-peer-answered", now);
    } else {
        beginTermWrite(now);
    }
}

void GroupHome::beginTermWrite(TimePoint now)
{
    TermRecord record;
    record.service = m_service;
    record.generation = m_term ? m_term->generation + 1 : 1;
    record.homes.push_back(m_self);
    record.term = std::max<Term>(m_change.fromTerm, m_term ? m_term->term : 0);
    m_change.awaitedHomes.clear();
    if (m_term) {
        for (const std::string &home : m_term->homes) {
            if (nameOf(home) != nameOf(m_self)) {
                m_change.awaitedHomes.insert(home);
            }
        }
    }
    setStage(Change::WritingTerm, now + 2s);
    m_termWriteAt = now;
    m_effects.writeTerm(record, m_termRevision);
}

void GroupHome::homeYielded(const std::string &home, std::uint64_t generation, TimePoint now)
{
    if (m_term && generation >= m_term->generation) {
        m_change.awaitedHomes.erase(home);
        advanceChange(now);
    }
}

/// An order with an outdated token must never follow one with a later token.
void GroupHome::orderIfNewest(TimePoint now)
{
    if (now - m_lease.lastStoreRead() > orderEvidence) {
        if (now - m_termReadAt > termReadPause) {
            m_termReadAt = now;
            m_effects.readTerm();
        }
        if (now >= m_change.leasesUntil + m_limits.promotionTimeout) {
            abandonChange("store-silent", now);
        }
        return;
    }
    m_change.lastOrderAt = now;
    if (m_change.stage != Change::Ordering) {
        setStage(Change::Ordering, now + m_limits.promotionTimeout);
    }
    m_effects.orderPromotion(m_change.candidate, m_change.token);
}

void GroupHome::promotionAnswered(const MemberId &member, PromotionResult result, TimePoint now)
{
    if (m_change.stage != Change::Ordering || member != m_change.candidate) {
        return;
    }
    switch (result) {
    case PromotionResult::Accepted:
        setStage(Change::AwaitingLead, now + m_limits.promotionTimeout);
        break;
    case PromotionResult::Rejected:
        m_change.fenced.erase(member);
        chooseCandidate(now);
        break;
    case PromotionResult::Unavailable:
        m_change.lastOrderAt = now; // asked again after a pause
        break;
    }
}

void GroupHome::primaryLeads(TimePoint now)
{
    m_primary = m_change.candidate;
    m_noCandidateSince = longAgo;
    m_term->primary = m_primary;
    m_term->term = m_members.at(m_primary).status->term;
    m_effects.report({"primary-changed",
                      false,
                      {{"service", m_service.text()},
                       {"primary", m_primary.text()},
                       {"previous", m_change.from.text()},
                       {"planned", m_change.isPlanned ? "true" : "false"},
                       {"took_ms", std::to_string(millisecondsUntil(now, m_change.startedAt))}}});
    m_change = {};
    const bool isListed = std::find(m_term->homes.begin(), m_term->homes.end(), m_self) != m_term->homes.end();
    m_lease.restart(m_term->generation, isListed, replicaIds());
    m_lease.storeRead(m_term->generation, isListed, m_termReadAt);
    m_isWritingTerm = true;
    m_termWriteAt = now;
    m_effects.writeTerm(*m_term, m_termRevision);
    resumeFenced(now);
    releaseHeld(now);
}

void GroupHome::abandonChange(std::string_view cause, TimePoint now)
{
    if (m_change.stage == Change::None) {
        return;
    }
    m_effects.report({"primary-change-abandoned",
                      true,
                      {{"service", m_service.text()}, {"stage", std::string(changeName(m_change.stage))}, {"cause", std::string(cause)}}});
    m_change = {};
    m_change.startedAt = now;
    releaseHeld(now);
}

void GroupHome::considerPlanned(TimePoint now)
{
    const auto member = m_members.find(m_primary);
    if (member == m_members.end() || member->second.health != Health::Up || !m_term) {
        return;
    }
    const bool isLapsed = !member->second.isRegistered && now - member->second.unregisteredAt > m_limits.lapseGrace;
    if (!member->second.record.isLeaving && !isLapsed) {
        return;
    }
    const bool hasReplica = std::any_of(m_members.begin(), m_members.end(), [&](const auto &entry) {
        return entry.first != m_primary && entry.second.health == Health::Up && entry.second.isRegistered && !entry.second.record.isLeaving;
    });
    if (!hasReplica || now - m_change.startedAt < suspicionPause) {
        return;
    }
    m_change = {};
    m_change.isPlanned = true;
    m_change.from = m_primary;
    m_change.fromTerm = member == m_members.end() ? 0 : member->second.applied.term;
    m_change.startedAt = now;
    setStage(Change::Quiescing, now + m_limits.quiesceLimit);
}

/// No change of primary is under way: looks for a reason to begin one.
void GroupHome::superviseIdle(TimePoint now)
{
    renewEvidence(now);
    const auto member = m_members.find(m_primary);
    const bool isDown = member == m_members.end() || member->second.health == Health::Down;
    const bool isForeignStuck = m_term && m_term->primary.isEmpty() && now - m_change.startedAt > foreignChangeLimit;
    if (isForeignStuck) {
        m_change = {};
        m_change.fromTerm = m_term->term;
        m_change.startedAt = now;
        beginTermWrite(now);
    } else if (isDown && !m_primary.isEmpty() && now - m_change.startedAt > suspicionPause && now >= m_unfitUntil
               && (m_isFirst || !m_held.empty())) {
        suspectPrimary(member == m_members.end() ? "gone" : "down", now);
    } else {
        considerPlanned(now);
    }
    if (m_change.stage != Change::None || !m_term || m_term->primary.isEmpty() || now - m_change.startedAt < resumePause) {
        return;
    }
    const bool hasFenced = std::any_of(m_members.begin(), m_members.end(), [&](const auto &entry) {
        return entry.first != m_primary && entry.second.health == Health::Up && entry.second.status && entry.second.status->fenceTerm != 0;
    });
    if (!hasFenced) {
        m_fencedSince = now;
        return;
    }
    // Only the home that made the present generation may lift its fences: another's may belong to a change under way.
    const bool isOwner = !m_term->homes.empty() && m_term->homes.front() == m_self;
    if (isOwner && now - m_lease.lastStoreRead() < orderEvidence) {
        resumeFenced(now);
        m_change.startedAt = now;
    } else if (isOwner && now - m_termReadAt > termReadPause) {
        m_termReadAt = now;
        m_effects.readTerm();
    } else if (!isOwner && m_isFirst && now - m_fencedSince > foreignChangeLimit) {
        // Whoever fenced it is gone: a generation of its own, in which the present primary stays.
        m_fencedSince = now;
        m_change = {};
        m_change.fromTerm = m_term->term;
        m_change.startedAt = now;
        beginTermWrite(now);
    }
}

void GroupHome::advanceChange(TimePoint now)
{
    switch (m_change.stage) {
    case Change::None:
        failAwaiting(now);
        superviseIdle(now);
        break;
    case Change::AskingPeers:
        if (now >= m_change.stageUntil + 200ms) {
            abandonChange("peers-silent", now);
        }
        break;
    case Change::Quiescing: {
        const auto member = m_members.find(m_change.from);
        const bool isBusy = std::any_of(m_transactions.begin(),
                                        m_transactions.end(),
                                        [&](const auto &entry) {
                                            return entry.second.member == m_change.from;
                                        })
                            || (member != m_members.end() && member->second.queue.running() > 0);
        if (!isBusy || now >= m_change.stageUntil) {
            beginTermWrite(now);
        }
        break;
    }
    case Change::WritingTerm:
        if (now >= m_change.stageUntil) {
            leaveToOthers(now);
            abandonChange("term-write-silent", now);
            m_termReadAt = now;
            m_effects.readTerm();
        }
        break;
    case Change::Fencing:
        advanceFencing(now);
        break;
    case Change::AwaitingLeases:
        if (m_change.awaitedHomes.empty() || now >= m_change.leasesUntil) {
            orderIfNewest(now);
        }
        break;
    case Change::Ordering:
        if (now >= m_change.stageUntil) {
            abandonChange("promotion-not-accepted", now);
        } else if (now - m_change.lastOrderAt > orderRetry * 2) {
            orderIfNewest(now);
        }
        break;
    case Change::AwaitingLead: {
        const auto candidate = m_members.find(m_change.candidate);
        if (candidate == m_members.end() || candidate->second.health == Health::Down || now >= m_change.stageUntil) {
            abandonChange("candidate-does-not-lead", now);
        } else if (now - candidate->second.statusSentAt >= leadPoll) {
            askStatus(candidate->second, now);
        }
        break;
    }
    }
}

} // namespace rattanbeam::decisions::session
