#include "rattanbeam/decisions/session/grouphome.h"

#include <algorithm>
#include <utility>

namespace rattanbeam::decisions::session
{

using namespace std::chrono_literals;

namespace
{

constexpr Duration termReadPause = 150ms; // between reads of the term record
constexpr Duration termWritePause = 300ms;
constexpr Duration suspicionPause = 300ms; // before peers are asked again
constexpr Duration unfitFor = 1000ms;
constexpr Duration blindAfter = 300ms; // beyond the lease
constexpr Duration blindMemory = 5000ms; // without requests, after which a home may be tried again
constexpr Duration fenceTimeout = 500ms;
constexpr Duration orderRetry = 250ms;
constexpr Duration orderEvidence = 400ms; // oldest sight of the own term that allows an order
constexpr Duration leadPoll = 40ms;
constexpr Duration resumePause = 500ms;
constexpr Duration settleTime = 2000ms; // longest call to the platform and the promotion that it may have begun
constexpr Duration lastResortAfter = 5000ms;
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

bool GroupHome::isPrimaryUsable() const
{
    const auto found = m_members.find(m_primary);
    return m_change.stage == Change::None && m_isTermKnown && found != m_members.end() && found->second.health == Health::Up;
}

std::set<MemberId> GroupHome::replicaIds() const
{
    std::set<MemberId> replicas;
    for (const auto &[id, member] : m_members) {
        if (id != m_primary && member.isRegistered) {
            replicas.insert(id);
        }
    }
    return replicas;
}

void GroupHome::samplePrimary(const LogPosition &position, TimePoint sentAt, TimePoint)
{
    // As of the evidence no later promotion had begun, so that commits acknowledged until then are this primary's.
    const TimePoint until = std::min(sentAt, m_lease.evidence());
    if (until > longAgo) {
        m_watermark.sample(position, until);
    }
}

void GroupHome::deliverFromPrimary(WorkNumber number, const HomeReply &reply, bool mayHaveWritten, TimePoint sentAt, TimePoint now)
{
    if (m_work.at(number).generation == m_lease.generation() && m_lease.covers(now, now)) {
        finish(number, reply, now);
        return;
    }
    m_awaiting.push_back({number, reply, mayHaveWritten, now, sentAt, m_work.at(number).generation});
    if (m_work.at(number).generation != m_lease.generation()) {
        failAwaiting(now);
        return;
    }
    ensureListed(now);
    for (auto &[id, member] : m_members) {
        if (id != m_primary && member.health == Health::Up) {
            askStatus(member, now);
        }
    }
    if (now - m_termReadAt > termReadPause) {
        m_termReadAt = now;
        m_effects.readTerm();
    }
}

void GroupHome::releaseEvidenced(TimePoint now)
{
    std::deque<AwaitingEvidence> kept;
    for (AwaitingEvidence &awaiting : std::exchange(m_awaiting, {})) {
        if (!m_work.contains(awaiting.work)) {
            continue;
        }
        if (awaiting.generation == m_lease.generation() && m_lease.covers(awaiting.answeredAt, now)) {
            m_effects.report({"answer-released",
                              false,
                              {{"service", m_service.text()},
                               {"request", m_work.at(awaiting.work).request.forwarded.statement.id},
                               {"generation", std::to_string(awaiting.generation)},
                               {"listed", m_lease.isListed() ? "true" : "false"},
                               {"evidence_age_ms", std::to_string(millisecondsUntil(now, m_lease.evidence()))},
                               {"waited_ms", std::to_string(millisecondsUntil(now, awaiting.answeredAt))}}});
            finish(awaiting.work, awaiting.reply, now);
        } else {
            kept.push_back(std::move(awaiting));
        }
    }
    m_awaiting.insert(m_awaiting.end(), kept.begin(), kept.end());
}

/// Answers that can no longer be shown to be the true primary's, or whose time is up.
void GroupHome::failAwaiting(TimePoint now)
{
    std::deque<AwaitingEvidence> kept;
    for (AwaitingEvidence &awaiting : std::exchange(m_awaiting, {})) {
        const auto found = m_work.find(awaiting.work);
        if (found == m_work.end()) {
            continue;
        }
        // A read that cannot be shown to be fresh is better asked elsewhere.
        const bool isGivenUp = !awaiting.mayHaveWritten && isBlind(now);
        const bool isOver = awaiting.generation != m_lease.generation() || now >= found->second.request.deadline || isGivenUp;
        if (!isOver) {
            kept.push_back(std::move(awaiting));
        } else if (awaiting.mayHaveWritten) {
            refuse(awaiting.work, StatementError::InDoubt, "no-evidence-of-the-term", now);
        } else {
            refuse(awaiting.work,
                   found->second.request.transaction.isNone() ? StatementError::Busy : StatementError::Aborted,
                   "no-evidence-of-the-term",
                   now);
        }
    }
    m_awaiting.insert(m_awaiting.end(), kept.begin(), kept.end());
}

/// Makes this home one of those that a promoter waits for.
void GroupHome::ensureListed(TimePoint now)
{
    if (m_isWritingTerm || m_change.stage != Change::None || now - m_termWriteAt < termWritePause) {
        return;
    }
    if (!m_isTermKnown) {
        if (now - m_termReadAt > termReadPause) {
            m_termReadAt = now;
            m_effects.readTerm();
        }
        return;
    }
    TermRecord record;
    if (m_term) {
        if (m_lease.isListed() || m_term->primary.isEmpty()) {
            return;
        }
        record = *m_term;
        record.homes.erase(std::remove_if(record.homes.begin(),
                                          record.homes.end(),
                                          [&](const std::string &home) {
                                              return nameOf(home) == nameOf(m_self);
                                          }),
                           record.homes.end());
    } else {
        const auto first = std::find_if(m_members.begin(), m_members.end(), [](const auto &entry) {
            return entry.second.isRegistered && entry.second.record.saysPrimary;
        });
        if (first == m_members.end()) {
            return;
        }
        record.service = m_service;
        record.generation = 1;
        record.primary = first->first;
    }
    record.term = std::max(record.term, knownTerm(record.primary));
    record.homes.push_back(m_self);
    m_isWritingTerm = true;
    m_termWriteAt = now;
    m_effects.writeTerm(record, m_termRevision);
}

void GroupHome::termSeen(const std::optional<TermRecord> &record, std::uint64_t revision, TimePoint startedAt, TimePoint now)
{
    m_isTermKnown = true;
    if (!record) {
        releaseHeld(now);
        return;
    }
    if (revision < m_termRevision) {
        return;
    }
    m_termRevision = revision;
    m_failedTermWrites = startedAt == longAgo ? m_failedTermWrites : 0; // the store answered
    const bool isListed = std::find(record->homes.begin(), record->homes.end(), m_self) != record->homes.end();
    if (isListed) {
        m_isWritingTerm = false;
    }
    const bool isNewer = !m_term || record->generation > m_term->generation;
    const bool isNamed = m_term && record->generation == m_term->generation && record->primary != m_term->primary;
    const bool isOwnChange
        = m_change.stage == Change::WritingTerm && record->primary.isEmpty() && !record->homes.empty() && record->homes.front() == m_self;
    if (isNewer || (isNamed && m_change.stage == Change::None)) {
        adoptTerm(*record, now);
        m_lease.restart(record->generation, isListed, replicaIds());
        failAwaiting(now);
        dropSupersededWork(now);
    } else {
        m_term = record;
    }
    m_lease.storeRead(record->generation, isListed, startedAt);
    const bool isOwnLateWrite = m_change.stage == Change::None && isNewer && record->primary.isEmpty() && !record->homes.empty()
                                && record->homes.front() == m_self;
    if (isOwnLateWrite) {
        m_change = {};
        m_change.startedAt = now;
    }
    if (isOwnChange || isOwnLateWrite) {
        m_change.fromTerm = std::max<Term>(m_change.fromTerm, record->term);
        m_change.token = revision;
        fenceReplicas(now);
    } else if (m_change.stage != Change::None && isNewer) {
        abandonChange("another-home-changes-the-primary", now);
    }
    releaseEvidenced(now);
    if (m_change.stage == Change::AwaitingLeases) {
        advanceChange(now);
    }
    releaseHeld(now);
}

void GroupHome::adoptTerm(const TermRecord &record, TimePoint now)
{
    m_effects.report({"term-adopted",
                      false,
                      {{"service", m_service.text()},
                       {"generation", std::to_string(record.generation)},
                       {"primary", record.primary.text()},
                       {"previous", m_primary.text()},
                       {"homes", std::to_string(record.homes.size())}}});
    m_term = record;
    m_primary = record.primary;
    if (m_change.stage == Change::None) {
        m_change.startedAt = now;
    }
    const auto member = m_members.find(m_primary);
    if (member != m_members.end()) {
        member->second.statusSentAt = longAgo;
    }
}

/// Work given to the primary of an earlier generation can no longer be answered with success.
void GroupHome::dropSupersededWork(TimePoint now)
{
    std::vector<std::pair<MemberId, ConnectionNumber>> superseded;
    for (const auto &[number, work] : m_work) {
        if (work.generation != 0 && work.generation != m_lease.generation() && work.connection) {
            superseded.emplace_back(work.member, *work.connection);
        }
    }
    for (const auto &[key, transaction] : m_transactions) {
        if (transaction.generation != 0 && transaction.generation != m_lease.generation()) {
            superseded.emplace_back(transaction.member, transaction.connection);
        }
    }
    for (const auto &[id, connection] : superseded) {
        const auto member = m_members.find(id);
        if (member != m_members.end()) {
            dropConnection(member->second, connection, false, StatementError::InDoubt, now);
        }
    }
    std::vector<WorkNumber> waiting;
    for (const auto &[number, work] : m_work) {
        const auto member = m_members.find(work.member);
        const bool isSuperseded = work.generation != 0 && work.generation != m_lease.generation() && !work.isSent;
        if (isSuperseded && member != m_members.end() && member->second.queue.cancel(number)) {
            waiting.push_back(number);
        }
    }
    for (const WorkNumber number : waiting) {
        if (m_work.contains(number)) {
            retry(number, StatementError::Busy, "primary-changes", now);
        }
    }
}

void GroupHome::termWriteFailed(TermWriteFailure failure, TimePoint now)
{
    m_isWritingTerm = false;
    m_termWriteAt = now;
    if (m_change.stage == Change::WritingTerm) {
        if (failure == TermWriteFailure::StoreAway) {
            leaveToOthers(now);
        }
        abandonChange("term-not-written", now);
    }
    m_termReadAt = now;
    m_effects.readTerm();
}

/// Another home may reach the store.
void GroupHome::leaveToOthers(TimePoint now)
{
    constexpr std::uint32_t mostDoublings = 3;
    m_unfitUntil = now + unfitFor * (1U << std::min(m_failedTermWrites, mostDoublings));
    ++m_failedTermWrites;
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

void GroupHome::fenceReplicas(TimePoint now)
{
    for (const std::string &home : m_change.awaitedHomes) {
        m_effects.askToYield(home, m_term->generation);
    }
    m_change.awaitedFences.clear();
    m_change.fenced.clear();
    setStage(Change::Fencing, now + fenceTimeout);
    m_change.finalPosition.reset();
    awaitFences();
    advanceChange(now);
}

void GroupHome::awaitFences()
{
    for (auto &[id, member] : m_members) {
        const bool isCandidate = id != m_change.from && member.isRegistered && !member.record.isLeaving && member.health != Health::Down;
        if (isCandidate) {
            m_change.awaitedFences.insert(id);
            member.statusSentAt = longAgo;
        }
    }
}

void GroupHome::memberSeenWhileFencing(const Member &member, const ReplicationStatus &status, TimePoint now)
{
    const MemberId id = member.record.id;
    if (id == m_change.from) {
        if (!status.isPrimary) {
            m_change.finalPosition = status.received;
        }
        return;
    }
    if (status.isPrimary && status.term >= m_change.fromTerm && m_change.from.isEmpty()) {
        // It leads already: an earlier promotion was not published, or none took effect. The latest term goes first.
        m_change.fenced[id] = {status.term, UINT64_MAX};
        m_change.awaitedFences.erase(id);
        if (m_change.awaitedFences.empty()) {
            chooseCandidate(now);
        }
        return;
    }
    const bool isReady = m_change.isPlanned ? m_change.finalPosition && status.received >= *m_change.finalPosition : status.fencedAt != 0;
    m_change.fenced[id] = status.received;
    if (m_change.isPlanned && isReady) {
        chooseCandidate(now);
        return;
    }
    if (isReady) {
        m_change.awaitedFences.erase(id);
    }
    if (m_change.awaitedFences.empty()) {
        chooseCandidate(now);
    }
}

/// The latest term that `member` is known to have led.
Term GroupHome::knownTerm(const MemberId &member) const
{
    const auto found = m_members.find(member);
    const Term applied = found == m_members.end() ? 0 : found->second.applied.term;
    return std::max<Term>(applied, m_term ? m_term->term : 0);
}

/// A member that leads an earlier term was replaced, and its word says nothing about a new promotion.
bool GroupHome::leadsAfterChange(const ReplicationStatus &status) const
{
    if (!status.isPrimary || status.term < m_highestLedTerm) {
        return false;
    }
    // A bound that is not known says nothing, so that the leader counts as one that stayed.
    const bool isNewTerm = m_change.fromTerm != 0 && status.term > m_change.fromTerm;
    return isNewTerm || (m_change.from.isEmpty() && m_change.isSettled && isWholeGroupSeen());
}

/// Whether no member can lead a later term without this change knowing it.
bool GroupHome::isWholeGroupSeen() const
{
    return std::all_of(m_members.begin(), m_members.end(), [&](const auto &entry) {
        return !entry.second.isRegistered || m_change.fenced.contains(entry.first);
    });
}

/// One that has not heard of the latest term lacks all of its commits: it is the last resort.
std::optional<MemberId> GroupHome::mostAdvanced(TimePoint now) const
{
    const bool isLastResort = m_noCandidateSince != longAgo && now - m_noCandidateSince > lastResortAfter;
    std::optional<MemberId> best;
    LogPosition highest;
    for (const auto &[id, received] : m_change.fenced) {
        const auto member = m_members.find(id);
        const bool isUp = member != m_members.end() && member->second.health == Health::Up && !member->second.record.isLeaving;
        const bool isKnown = isUp && member->second.status;
        const bool isStaying = isKnown && member->second.status->isPrimary && !leadsAfterChange(*member->second.status);
        const bool isFit = isKnown && !isStaying && (member->second.status->term >= m_change.fromTerm || isLastResort);
        if (isFit && (!best || received > highest)) {
            best = id;
            highest = received;
        }
    }
    return best;
}

void GroupHome::chooseCandidate(TimePoint now)
{
    if (m_change.from.isEmpty() && !m_change.isSettled) {
        // An order of whoever began the change before may still take effect: all members are looked at once more after that.
        m_change.isSettled = now - m_change.startedAt >= settleTime;
        m_change.fenced.clear();
        awaitFences();
        m_change.stageUntil = now + fenceTimeout;
        return;
    }
    const auto best = mostAdvanced(now);
    if (!best) {
        m_noCandidateSince = m_noCandidateSince == longAgo ? now : m_noCandidateSince;
        abandonChange("no-candidate", now);
        return;
    }
    m_change.candidate = *best;
    const auto from = m_members.find(m_change.from);
    const LogPosition received = m_change.fenced.at(*best);
    const LogPosition last = from == m_members.end() ? LogPosition{} : from->second.applied;
    m_effects.report({"candidate-chosen",
                      last > received,
                      {{"service", m_service.text()},
                       {"candidate", best->text()},
                       {"fenced", std::to_string(m_change.fenced.size())},
                       {"lost_at_most", std::to_string(last > received ? last.position - received.position : 0)}}});
    // A lease may rest on the candidate's own word until it was fenced.
    m_change.leasesUntil = now + m_limits.leaseLength + m_limits.leaseMargin;
    setStage(Change::AwaitingLeases, m_change.leasesUntil);
    advanceChange(now);
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

void GroupHome::resumeFenced(TimePoint now)
{
    for (auto &[id, member] : m_members) {
        const bool isFenced = member.status && member.status->fencedAt != 0 && id != m_primary;
        if (isFenced && member.health == Health::Up) {
            sendMaintenance(member, CommandKind::Resume, 0, now);
        }
    }
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

/// Whether evidence has been missing for so long that answers of the primary could not be passed on.
bool GroupHome::isBlind(TimePoint now) const
{
    const bool hasEvidence = now - m_lease.evidence() < m_limits.leaseLength;
    return !hasEvidence && m_sightedAt != longAgo && now - m_sightedAt > blindAfter;
}

void GroupHome::keepSight(TimePoint now)
{
    const bool hasEvidence = now - m_lease.evidence() < m_limits.leaseLength;
    const bool isUnused = isBlind(now) ? now - m_lastRequestAt > blindMemory : isQuiet();
    if (hasEvidence || isUnused || m_change.stage != Change::None || m_sightedAt == longAgo) {
        m_sightedAt = now;
    }
}

/// Evidence that replicas cannot give is read from the store.
void GroupHome::renewEvidence(TimePoint now)
{
    const bool isNeeded = m_isFirst || !isQuiet() || isBlind(now);
    if (isNeeded && isPrimaryUsable() && now - m_lease.evidence() > m_limits.leaseLength / 2
        && now - m_termReadAt > m_limits.statusInterval) {
        m_termReadAt = now;
        m_effects.readTerm();
    }
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
        return entry.first != m_primary && entry.second.health == Health::Up && entry.second.status && entry.second.status->fencedAt != 0;
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

void GroupHome::advanceFencing(TimePoint now)
{
    const auto from = m_members.find(m_change.from);
    if (m_change.isPlanned && !m_change.finalPosition && from != m_members.end() && now - from->second.statusSentAt >= leadPoll
        && sendMaintenance(from->second, CommandKind::Demote, m_highestTerm + 1, now)) {
        from->second.statusSentAt = now;
    }
    for (const MemberId &id : std::set<MemberId>(m_change.awaitedFences)) {
        const auto found = m_members.find(id);
        if (found == m_members.end() || now - found->second.statusSentAt < leadPoll) {
            continue;
        }
        const CommandKind kind = m_change.isPlanned ? CommandKind::Status : CommandKind::Suspend;
        if (sendMaintenance(found->second, kind, m_highestTerm + 1, now)) {
            found->second.statusSentAt = now;
        }
    }
    if (now >= m_change.stageUntil) {
        chooseCandidate(now);
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

void GroupHome::yield(std::uint64_t generation, TimePoint now)
{
    if (m_lease.generation() < generation) {
        m_lease.restart(generation, false, replicaIds());
        m_primary = MemberId();
        failAwaiting(now);
        dropSupersededWork(now);
    }
    m_termReadAt = now;
    m_effects.readTerm();
}

} // namespace rattanbeam::decisions::session
