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
constexpr Duration unfitFor = 1000ms;
constexpr Duration blindAfter = 300ms; // beyond the lease
constexpr Duration blindMemory = 5000ms; // without requests, after which a home may be tried again

std::string nameOf(const std::string &home)
{
    return home.substr(0, home.rfind('/'));
}

} // namespace

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
            return entry.second.isRegistered && entry.second.record.isRegisteredAsPrimary;
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

/// The latest term that `member` is known to have led.
Term GroupHome::knownTerm(const MemberId &member) const
{
    const auto found = m_members.find(member);
    const Term applied = found == m_members.end() ? 0 : found->second.applied.term;
    return std::max<Term>(applied, m_term ? m_term->term : 0);
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
