#include "rattanbeam/decisions/session/grouphome.h"

#include "rattanbeam/decisions/session/storeepoch.h"

#include <algorithm>
#include <utility>

namespace rattanbeam::decisions::session
{

using namespace std::chrono_literals;

namespace
{

constexpr Duration minTermReadInterval = 150ms; // between reads of the term record
constexpr Duration minTermWriteInterval = 300ms; // between attempts to write the first term record, or to list this home in it
constexpr Duration activityGap = 1000ms; // without requests for this long, a home does not count as in use
constexpr Duration firstHomeSettleTime = 3000ms; // in which instances that start together get to know each other
// Without a registered primary for this long, a service that has no term record gets one. Members that start together with the instances
// register within seconds.
constexpr Duration primaryRegistrationTimeout = 6000ms;
constexpr Duration witnessCheckInterval = 1000ms; // between checks whether the term record names the right witnesses
constexpr Duration witnessReadInterval = 4000ms; // between reads of the term record that keep the witnesses' word valid
constexpr Duration redirectTime = 1000ms; // after the first failed write of the term record; doubles with each further one
constexpr Duration missingEvidenceGrace = 300ms; // added to the duration of the lease
constexpr Duration relianceReportInterval = 1s; // between log lines of answers that pass on the word of every replica
constexpr Duration evidenceRetryAfter = 5000ms; // without requests for this long, a home without evidence takes new ones

} // namespace

bool GroupHome::isPrimaryUsable() const
{
    const auto found = m_members.find(m_primary);
    return m_change.stage == ChangeStage::None && m_isTermKnown && found != m_members.end() && found->second.health == Health::Up;
}

/// The members that may have been promoted, so that the word of all of them is evidence for the primary.
std::set<MemberId> GroupHome::replicaIds() const
{
    std::set<MemberId> replicas;
    for (const auto &[id, member] : m_members) {
        if (member.isRegistered) {
            replicas.insert(id);
        }
    }
    for (const auto &[id, unregisteredAt] : m_unregisteredReplicas) {
        replicas.insert(id);
    }
    replicas.erase(m_primary);
    return replicas;
}

/// A change of primary chooses among registered members. A member is therefore no longer a possible primary once the term record, read some
/// time after its registration disappeared, names the primary still. A home that does not read the record drops it after as long as it
/// relies on a list of members.
void GroupHome::forgetUnregisteredReplicas(TimePoint now)
{
    const auto forgotten = std::erase_if(m_unregisteredReplicas, [&](const auto &entry) {
        return (!m_primary.isEmpty() && m_lease.lastTermRecordReadAt() > entry.second + m_limits.registrationGrace)
               || now - entry.second > PrimaryLease::memberListTerm + m_limits.leaseDuration;
    });
    if (forgotten > 0) {
        m_lease.setReplicas(replicaIds());
    }
}

void GroupHome::sampleWatermark(const LogPosition &position, TimePoint sentAt, TimePoint)
{
    // No later promotion had begun at the time of the evidence, so commits acknowledged by then are this primary's.
    const TimePoint coveredUntil = std::min(sentAt, m_lease.evidenceTime());
    if (coveredUntil > distantPast) {
        m_watermark.sample(position, coveredUntil);
    }
}

void GroupHome::deliverPrimaryAnswer(WorkNumber number, const HomeReply &reply, bool mayHaveWritten, TimePoint sentAt, TimePoint now)
{
    if (m_work.at(number).generation == m_lease.generation() && m_lease.covers(now, now)) {
        reportRelianceOnReplicas(number, now);
        finish(number, reply, now);
        return;
    }
    m_unconfirmedAnswers.push_back({number, reply, mayHaveWritten, now, sentAt, m_work.at(number).generation});
    if (m_work.at(number).generation != m_lease.generation()) {
        refuseUnconfirmableAnswers(now);
        return;
    }
    ensureListedInTerm(now);
    for (auto &[id, member] : m_members) {
        if (id != m_primary && member.health == Health::Up) {
            askStatus(member, now);
        }
    }
    if (now - m_lastTermReadAt > minTermReadInterval) {
        m_lastTermReadAt = now;
        m_effects.readTerm();
    }
}

/// The replicas whose word is evidence, each with its term and the age of that word.
std::string GroupHome::replicaEvidenceText(TimePoint now) const
{
    std::string text;
    for (const auto &[id, confirmedAt] : m_lease.replicaConfirmations()) {
        const auto member = m_members.find(id);
        const bool hasStatus = member != m_members.end() && member->second.status;
        text += (text.empty() ? "" : ",") + id.text() + ":term=" + (hasStatus ? std::to_string(member->second.status->term) : "unknown");
        text += ":age_ms=" + (confirmedAt == distantPast ? "none" : std::to_string(millisecondsUntil(now, confirmedAt)));
    }
    return text;
}

/// Reports an answer that is passed on by the word of every replica alone; at most one a second.
void GroupHome::reportRelianceOnReplicas(WorkNumber number, TimePoint now)
{
    if (m_lease.evidence() != PrimaryLease::Evidence::EveryReplica || now - m_relianceReportedAt < relianceReportInterval) {
        return;
    }
    m_relianceReportedAt = now;
    m_effects.report({"replicas-relied-on",
                      false,
                      {{"service", m_service.text()},
                       {"request", m_work.at(number).request.forwarded.statement.id},
                       {"primary", m_primary.text()},
                       {"term", std::to_string(termLedByPrimary())},
                       {"generation", std::to_string(m_lease.generation())},
                       {"listed", m_lease.isListed() ? "true" : "false"},
                       {"replicas", replicaEvidenceText(now)},
                       {"members_age_ms", std::to_string(millisecondsUntil(now, m_lease.memberListConfirmedAt()))}}});
}

void GroupHome::releaseConfirmedAnswers(TimePoint now)
{
    std::deque<UnconfirmedAnswer> kept;
    for (UnconfirmedAnswer &unconfirmed : std::exchange(m_unconfirmedAnswers, {})) {
        if (!m_work.contains(unconfirmed.work)) {
            continue;
        }
        if (unconfirmed.generation == m_lease.generation() && m_lease.covers(unconfirmed.answeredAt, now)) {
            m_effects.report({"answer-released",
                              false,
                              {{"service", m_service.text()},
                               {"request", m_work.at(unconfirmed.work).request.forwarded.statement.id},
                               {"generation", std::to_string(unconfirmed.generation)},
                               {"listed", m_lease.isListed() ? "true" : "false"},
                               {"evidence", std::string(evidenceName(m_lease.evidence()))},
                               {"replicas", replicaEvidenceText(now)},
                               {"evidence_age_ms", std::to_string(millisecondsUntil(now, m_lease.evidenceTime()))},
                               {"waited_ms", std::to_string(millisecondsUntil(now, unconfirmed.answeredAt))}}});
            finish(unconfirmed.work, unconfirmed.reply, now);
        } else {
            kept.push_back(std::move(unconfirmed));
        }
    }
    m_unconfirmedAnswers.insert(m_unconfirmedAnswers.end(), kept.begin(), kept.end());
}

/// Refuses answers that can no longer be shown to come from the true primary, and those whose deadline has passed.
void GroupHome::refuseUnconfirmableAnswers(TimePoint now)
{
    std::deque<UnconfirmedAnswer> kept;
    for (UnconfirmedAnswer &unconfirmed : std::exchange(m_unconfirmedAnswers, {})) {
        const auto found = m_work.find(unconfirmed.work);
        if (found == m_work.end()) {
            continue;
        }
        // A read that cannot be shown to be fresh is refused early, so that it may be repeated at another home.
        const bool isGivenUp = !unconfirmed.mayHaveWritten && isEvidenceMissing(now);
        const bool isExpired = unconfirmed.generation != m_lease.generation() || now >= found->second.request.deadline || isGivenUp;
        if (!isExpired) {
            kept.push_back(std::move(unconfirmed));
        } else if (unconfirmed.mayHaveWritten) {
            refuse(unconfirmed.work, StatementError::InDoubt, "no-evidence-of-the-term", now);
        } else {
            refuse(unconfirmed.work,
                   found->second.request.transaction.isNone() ? StatementError::Busy : StatementError::Aborted,
                   "no-evidence-of-the-term",
                   now);
        }
    }
    m_unconfirmedAnswers.insert(m_unconfirmedAnswers.end(), kept.begin(), kept.end());
}

/// Without a term record the service has no primary. Reads and writes the record until there is one, whether or not requests are
/// dispatched: a home that redirects or refuses them all must find its way back too.
void GroupHome::ensureTermExists(TimePoint now)
{
    if (!m_isFirstHome || m_firstHomeSince == distantPast) {
        m_firstHomeSince = now;
    }
    if (m_withoutPrimarySince == distantPast || m_term || registeredPrimary() != m_members.end()) {
        m_withoutPrimarySince = now;
    }
    if (!m_term && (isSettledFirstHome(now) || isInUse(now))) {
        ensureListedInTerm(now);
    }
}

/// The first member that is registered as primary, or the end.
std::map<MemberId, GroupHome::Member>::const_iterator GroupHome::registeredPrimary() const
{
    return std::find_if(m_members.begin(), m_members.end(), [](const auto &entry) {
        return entry.second.isRegistered && entry.second.record.isRegisteredAsPrimary;
    });
}

/// Whether a service without a term record has lost its primary: none has been registered for a while, but a replica is reachable.
bool GroupHome::hasLostUnrecordedPrimary(TimePoint now) const
{
    return m_withoutPrimarySince != distantPast && now - m_withoutPrimarySince > primaryRegistrationTimeout && !reachableReplicas().empty();
}

bool GroupHome::isSettledFirstHome(TimePoint now) const
{
    return m_isFirstHome && now - m_firstHomeSince > firstHomeSettleTime;
}

/// Writes this home into the term record, so that a change of primary waits for its lease.
void GroupHome::ensureListedInTerm(TimePoint now)
{
    if (m_isWritingTerm || m_change.stage != ChangeStage::None || now - m_lastTermWriteAt < minTermWriteInterval) {
        return;
    }
    if (!m_isTermReadInEpoch) {
        if (now - m_lastTermReadAt > minTermReadInterval) {
            m_lastTermReadAt = now;
            m_effects.readTerm();
        }
        return;
    }
    if (!isTermSettled()) {
        return; // settleTerm() writes the record
    }
    TermRecord record;
    if (m_term) {
        if (m_term->primary.isEmpty() || (m_lease.isListed() && now - m_witnessesCheckedAt < witnessCheckInterval)) {
            return;
        }
        m_witnessesCheckedAt = now;
        if (m_lease.isListed() && updatedWitnesses(*m_term) == m_term->witnesses) {
            return;
        }
        record = *m_term;
        // Earlier processes of this instance have ended. The first home keeps its place, which marks the creator of the generation.
        std::erase_if(record.homes, [&](const std::string &home) {
            return instanceNameOf(home) == instanceNameOf(m_self) && home != m_self;
        });
    } else {
        const auto first = registeredPrimary();
        if (first == m_members.end() && !hasLostUnrecordedPrimary(now)) {
            return;
        }
        record.service = m_service;
        record.generation = 1;
        if (first != m_members.end()) {
            record.primary = first->first;
        } else {
            record.term = m_highestLedTerm; // a record without a primary begins a change of primary
        }
    }
    record.term = std::max(record.term, latestKnownTerm(record.primary));
    if (std::find(record.homes.begin(), record.homes.end(), m_self) == record.homes.end()) {
        record.homes.push_back(m_self);
    }
    const std::vector<MemberId> witnesses = updatedWitnesses(record);
    for (const MemberId &witness : record.witnesses) {
        if (std::find(witnesses.begin(), witnesses.end(), witness) == witnesses.end()) {
            m_droppedWitnesses[witness] = m_termRevision; // at once, since the write may take effect without an answer
        }
    }
    record.witnesses = witnesses;
    if (m_term) {
        setLeaseWitnesses();
    }
    m_isWritingTerm = true;
    m_lastTermWriteAt = now;
    m_effects.writeTerm(record, m_termRevision);
}

/// The registered replicas that this home reaches, whose word can be evidence. A member that is down would make a later change of primary
/// wait, since it cannot be fenced.
std::vector<MemberId> GroupHome::reachableReplicas() const
{
    std::vector<MemberId> replicas;
    for (const auto &[id, member] : m_members) {
        const bool isReplica = id != m_primary && member.isRegistered && !member.record.isLeaving;
        if (isReplica && member.health == Health::Up && member.status && !member.status->isPrimary) {
            replicas.push_back(id);
        }
    }
    return replicas;
}

/// The witnesses that the record should name: those that it names, the replicas that are reachable now, and the members that have left but
/// may hold acknowledged commits. If no other home is listed, so that none relies on them, others that have left the group are left out.
std::vector<MemberId> GroupHome::updatedWitnesses(const TermRecord &record) const
{
    const bool isOnlyHolder = std::all_of(record.homes.begin(), record.homes.end(), [&](const std::string &home) {
        return instanceNameOf(home) == instanceNameOf(m_self);
    });
    std::vector<MemberId> witnesses = record.witnesses;
    std::erase_if(witnesses, [&](const MemberId &witness) {
        return isOnlyHolder && !m_members.contains(witness) && mayForgetWitness(witness);
    });
    std::vector<MemberId> added = reachableReplicas();
    for (const MemberRun &run : m_departedRuns.awaited()) {
        added.push_back(run.member);
    }
    for (const MemberId &member : added) {
        if (member != record.primary && std::find(witnesses.begin(), witnesses.end(), member) == witnesses.end()) {
            witnesses.push_back(member);
        }
    }
    return witnesses;
}

/// Whether a change of primary need not wait for a witness that has left the group.
bool GroupHome::mayForgetWitness(const MemberId &witness) const
{
    return m_limits.synchronousReplicas == 0 || (m_departedRuns.contains(witness) && !m_departedRuns.isAwaited(witness));
}

void GroupHome::setLeaseWitnesses()
{
    std::vector<MemberId> witnesses = m_term->witnesses;
    std::erase_if(m_droppedWitnesses, [&](const auto &dropped) {
        return m_termRevision > dropped.second;
    });
    std::erase_if(witnesses, [&](const MemberId &witness) {
        return m_droppedWitnesses.contains(witness);
    });
    m_lease.setWitnesses(witnesses);
}

void GroupHome::termSeen(const std::optional<TermRecord> &record, std::uint64_t revision, TimePoint startedAt, TimePoint now)
{
    storeEpochChanged(storeEpochOf(revision), now, now);
    const bool isOfEarlierEpoch = storeEpochOf(revision) < m_storeEpoch;
    if (isOfEarlierEpoch && (m_term || !record)) {
        return;
    }
    m_isTermKnown = true;
    m_isTermReadInEpoch = m_isTermReadInEpoch || !isOfEarlierEpoch;
    if (!record) {
        releaseHeld(now);
        return;
    }
    if (revision < m_termRevision) {
        return;
    }
    if (!recordStoredTerm(*record, revision, now)) {
        startedAt = distantPast; // the record may be older than a promotion, so that reading it is no evidence
        if (m_term && record->generation <= m_term->generation) {
            releaseHeld(now);
            return; // this home knows a later state
        }
    }
    m_failedTermWrites = startedAt == distantPast ? m_failedTermWrites : 0; // the store has answered a read
    const bool isListed = std::find(record->homes.begin(), record->homes.end(), m_self) != record->homes.end();
    if (isListed) {
        m_isWritingTerm = false;
    }
    const bool isNewer = !m_term || record->generation > m_term->generation;
    const bool isPrimaryNamed = m_term && record->generation == m_term->generation && record->primary != m_term->primary;
    // An earlier unfinished change of this home may still be read while its next generation is being written.
    const bool isOwnChange = m_change.stage == ChangeStage::WritingTerm && record->generation == m_change.generation
                             && record->primary.isEmpty() && !record->homes.empty() && record->homes.front() == m_self;
    // Another home has ended the change that this home is about to replace. Its own write fails, since it expects the earlier record.
    const bool isChangeUnwritten = m_change.stage == ChangeStage::AskingPeers || m_change.stage == ChangeStage::Quiescing
                                   || m_change.stage == ChangeStage::WritingTerm;
    if (isPrimaryNamed && isChangeUnwritten && !record->primary.isEmpty()) {
        abandonChange("another-home-named-the-primary", now);
    }
    if (isNewer && isSameReign(*record)) {
        continueReign(*record);
    } else if (isNewer || (isPrimaryNamed && m_change.stage == ChangeStage::None)) {
        adoptTerm(*record, now);
        m_lease.restart(record->generation, isListed, replicaIds());
        refuseUnconfirmableAnswers(now);
        dropSupersededWork(now);
    } else {
        m_term = record;
    }
    setLeaseWitnesses();
    m_lease.termRecordRead(record->generation, isListed, startedAt);
    // A write of this home that was given up on took effect after all: continues its change of primary.
    const bool isOwnLateWrite = m_change.stage == ChangeStage::None && isNewer && isTermSettled() && record->primary.isEmpty()
                                && !record->homes.empty() && record->homes.front() == m_self;
    if (isOwnLateWrite) {
        m_change = {};
        m_change.startedAt = now;
        m_change.generation = record->generation;
        m_change.witnesses = record->witnesses;
        m_change.leaseHolders.insert(std::next(record->homes.begin()), record->homes.end());
    }
    if (isOwnChange || isOwnLateWrite) {
        ownGenerationWritten(*record, revision, now);
    } else if (m_change.stage != ChangeStage::None && isNewer) {
        abandonChange("another-home-changes-the-primary", now);
    }
    releaseConfirmedAnswers(now);
    if (m_change.stage == ChangeStage::AwaitingLeases) {
        advanceChange(now);
    }
    releaseHeld(now);
}

/// The store holds the generation that this home's change of primary began.
void GroupHome::ownGenerationWritten(const TermRecord &record, std::uint64_t revision, TimePoint now)
{
    m_change.oldPrimaryTerm = std::max<Term>(m_change.oldPrimaryTerm, record.term);
    m_change.fencingToken = revision;
    addPossibleWitnesses(now);
    beginFencing(now);
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
    if (!m_term || m_term->generation != record.generation) {
        m_droppedWitnesses.clear();
    }
    if (!m_term) {
        m_redirectUntil = distantPast; // the store has the first record, which this home could not write
    }
    m_term = record;
    m_primary = record.primary;
    if (!m_primary.isEmpty()) {
        primaryNamed();
        m_leaderlessSince = distantPast;
    } else if (m_leaderlessSince == distantPast) {
        m_leaderlessSince = now;
    }
    if (m_change.stage == ChangeStage::None) {
        m_change.startedAt = now;
    }
    const auto member = m_members.find(m_primary);
    if (member != m_members.end()) {
        member->second.statusAskedAt = distantPast;
    }
}

/// The term record names m_primary.
void GroupHome::primaryNamed()
{
    if (m_primary != m_lastNamedPrimary) {
        m_departedRuns.primaryChanged();
        m_primaryPosition = {};
    }
    m_lastNamedPrimary = m_primary;
}

/// Ends or retries work sent to the primary of an earlier generation, since its answers can no longer be confirmed.
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
    m_lastTermWriteAt = now;
    const bool isWritingChange = m_change.stage == ChangeStage::WritingTerm;
    if ((isWritingChange || !m_term) && failure == TermWriteFailure::StoreUnavailable) {
        redirectWhileStoreFails(now);
    }
    if (isWritingChange) {
        abandonChange("term-not-written", now);
    }
    m_lastTermReadAt = now;
    m_effects.readTerm();
}

/// Redirects requests, since another home may reach the store. The time doubles with each failed write in a row.
void GroupHome::redirectWhileStoreFails(TimePoint now)
{
    constexpr std::uint32_t maxDoublings = 3;
    m_redirectUntil = now + redirectTime * (1U << std::min(m_failedTermWrites, maxDoublings));
    ++m_failedTermWrites;
}

/// The latest term that `member` is known to have led.
Term GroupHome::latestKnownTerm(const MemberId &member) const
{
    const auto found = m_members.find(member);
    const Term applied = found == m_members.end() ? 0 : found->second.applied.term;
    return std::max<Term>(applied, m_term ? m_term->term : 0);
}

/// Term that the present primary leads, by the term record or its own word; 0 if it is not known. The positions of its answers do not
/// count, since it shows those of a later primary once it follows that one.
Term GroupHome::termLedByPrimary() const
{
    const auto found = m_members.find(m_primary);
    const bool isLeading = found != m_members.end() && found->second.status && found->second.status->isPrimary;
    return std::max<Term>(m_term ? m_term->term : 0, isLeading ? found->second.status->term : 0);
}

/// Whether requests have come lately.
bool GroupHome::isInUse(TimePoint now) const
{
    return now - m_lastRequestAt <= activityGap;
}

/// Whether evidence has been missing for so long that answers of the primary could not be passed on.
bool GroupHome::isEvidenceMissing(TimePoint now) const
{
    const bool hasEvidence = now - m_lease.evidenceTime() < m_limits.leaseDuration;
    return !hasEvidence && m_lastEvidenceAt != distantPast && now - m_lastEvidenceAt > missingEvidenceGrace;
}

void GroupHome::updateEvidenceState(TimePoint now)
{
    const bool hasEvidence = now - m_lease.evidenceTime() < m_limits.leaseDuration;
    const bool isUnused = isEvidenceMissing(now) ? now - m_lastRequestAt > evidenceRetryAfter : isQuiet();
    const bool isWithoutRecord = m_isTermKnown && !m_term; // there is no term yet of which evidence could be missing
    if (hasEvidence || isUnused || isWithoutRecord || m_change.stage != ChangeStage::None || m_lastEvidenceAt == distantPast) {
        m_lastEvidenceAt = now;
    }
}

/// Reads the term record when the answers of replicas do not provide recent evidence.
void GroupHome::renewEvidence(TimePoint now)
{
    const bool isNeeded = m_isFirstHome || !isQuiet() || isEvidenceMissing(now);
    const bool isEvidenceOld = now - m_lease.evidenceTime() > m_limits.leaseDuration / 2;
    const bool isReadOld = m_lease.isListed() && now - m_lease.lastTermRecordReadAt() > witnessReadInterval;
    const Duration readInterval = isEvidenceOld ? m_limits.statusInterval : witnessReadInterval;
    if (isNeeded && isPrimaryUsable() && (isEvidenceOld || isReadOld) && now - m_lastTermReadAt > readInterval) {
        m_lastTermReadAt = now;
        m_effects.readTerm();
    }
}

bool GroupHome::yieldLease(std::uint64_t generation, TimePoint now)
{
    if (storeEpochOf(m_lease.generation()) > storeEpochOf(generation)) {
        return false;
    }
    if (m_lease.generation() < generation) {
        abandonChange("lease-yielded", now);
        m_lease.restart(generation, false, replicaIds());
        m_primary = MemberId();
        refuseUnconfirmableAnswers(now);
        dropSupersededWork(now);
    }
    m_lastTermReadAt = now;
    m_effects.readTerm();
    return true;
}

} // namespace rattanbeam::decisions::session
