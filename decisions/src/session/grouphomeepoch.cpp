#include "rattanbeam/decisions/session/grouphome.h"

#include "rattanbeam/decisions/session/storeepoch.h"

#include <algorithm>
#include <utility>

/// The term record after the store has come back from an older copy (docs/design/15-store-era.md).
namespace rattanbeam::decisions::session
{

using namespace std::chrono_literals;

namespace
{

constexpr Duration minTermWriteInterval = 300ms; // between attempts to write the record again
// An order of promotion follows a read of the record by at most this (maxOrderEvidenceAge), so that later there are no orders that rest
// on a record of the epoch before.
constexpr Duration lastOrderDelay = 400ms;
// In which a home that can confirm the primary writes the record again. Longer than lastOrderDelay and the time that an order needs to take
// effect.
constexpr Duration holderGrace = 3000ms;
constexpr Duration settleRetryDelay = 1000ms; // between changes of primary that are to settle the record

void addMissing(std::vector<MemberId> &members, const std::vector<MemberId> &added)
{
    for (const MemberId &id : added) {
        if (std::find(members.begin(), members.end(), id) == members.end()) {
            members.push_back(id);
        }
    }
}

} // namespace

void GroupHome::storeEpochChanged(std::uint64_t epoch, TimePoint seenAt, TimePoint now)
{
    if (epoch == m_storeEpoch) {
        m_storeEpochSeenAt = std::min(m_storeEpochSeenAt, seenAt);
    }
    if (epoch <= m_storeEpoch) {
        return;
    }
    m_storeEpoch = epoch;
    m_storeEpochSeenAt = seenAt;
    m_isTermReadInEpoch = false;
    m_isTermOfEpoch = false;
    m_restoredTerm.reset();
    m_termRevision = 0;
    m_lease.limitListing();
    abandonChange("store-epoch-changed", now);
}

/// Notes what the store shows. Returns whether the record's generation was begun in the store's present epoch; a record of an earlier one
/// ends a change of primary.
bool GroupHome::recordStoredTerm(const TermRecord &record, std::uint64_t revision, TimePoint now)
{
    const bool isOfEarlierEpoch = storeEpochOf(revision) < m_storeEpoch;
    const bool isNewRevision = !isOfEarlierEpoch && std::exchange(m_termRevision, revision) != revision;
    m_isTermOfEpoch = storeEpochOf(record.generation) >= m_storeEpoch;
    if (!m_isTermOfEpoch) {
        m_restoredTerm = isOfEarlierEpoch ? std::nullopt : std::optional(record);
        m_restoredSeenAt = isNewRevision ? now : m_restoredSeenAt;
        abandonChange("term-of-earlier-epoch", now);
    }
    return m_isTermOfEpoch;
}

/// Whether the store has been read in its present epoch, and shows a record that was begun in it. In epoch 0 there may also be none.
bool GroupHome::isTermSettled() const
{
    return m_isTermReadInEpoch && (m_storeEpoch == 0 || m_isTermOfEpoch);
}

/// Above all known generations, and in the store's present epoch.
std::uint64_t GroupHome::nextGeneration() const
{
    const std::uint64_t known = m_term ? m_term->generation : 0;
    const std::uint64_t restored = m_restoredTerm ? m_restoredTerm->generation : 0;
    return std::max({known, restored, firstOfStoreEpoch(m_storeEpoch)}) + 1;
}

/// Adds the holders and witnesses of the record that the store came back with to a record that replaces it.
void GroupHome::addRestoredHolders(TermRecord &record) const
{
    if (!m_restoredTerm) {
        return;
    }
    record.term = std::max(record.term, m_restoredTerm->term);
    for (const std::string &home : m_restoredTerm->homes) {
        const bool isOwn = instanceNameOf(home) == instanceNameOf(m_self);
        if (!isOwn && std::find(record.homes.begin(), record.homes.end(), home) == record.homes.end()) {
            record.homes.push_back(home);
        }
    }
    addMissing(record.witnesses, m_restoredTerm->witnesses);
}

/// Whether a home that the present record does not list may still pass on answers under a lease that the store has lost. Its last read of
/// the record was before any instance knew of the epoch.
bool GroupHome::mayHaveUnlistedHolders(TimePoint now) const
{
    return m_storeEpoch > 0 && now - m_storeEpochSeenAt < PrimaryLease::witnessTerm + m_limits.leaseDuration + m_limits.leaseMargin;
}

/// The witnesses of a lost record are not known, so that every member counts as one, except the primary of the last known reign: if it had
/// been replaced, another member would lead.
void GroupHome::addPossibleWitnesses(TimePoint now)
{
    if (!mayHaveUnlistedHolders(now)) {
        return;
    }
    for (const auto &[id, member] : m_members) {
        if (id != m_lastNamedPrimary && id != m_change.oldPrimary) {
            addMissing(m_change.witnesses, {id});
        }
    }
}

/// The known primary, or the registered one of a service of which nothing is known, if it leads by its own word and no promotion can be
/// under way; empty otherwise. A change of primary shows in a fence or in another leader from before its order until it is complete, so
/// that the word of all other members is enough, or that of a witness while this home holds a lease. The word must be so late that no order
/// can follow that rests on a record of an earlier epoch.
MemberId GroupHome::confirmedLeader(TimePoint now) const
{
    const TimePoint confirmedSince = std::max(m_storeEpochSeenAt, m_restoredSeenAt) + lastOrderDelay;
    const auto leader = std::find_if(m_members.begin(), m_members.end(), [&](const auto &entry) {
        return m_term ? entry.first == m_primary && entry.first == m_term->primary
                      : entry.second.isRegistered && entry.second.record.isRegisteredAsPrimary;
    });
    if (leader == m_members.end() || leader->second.health != Health::Up || !leader->second.status || !leader->second.status->isPrimary
        || leader->second.statusSentAt < confirmedSince
        || leader->second.status->term < std::max<Term>(m_highestLedTerm, m_term ? m_term->term : 0)) {
        return {};
    }
    const bool isHolder = m_term && m_lease.isListed() && m_lease.generation() == m_term->generation && m_lease.covers(now, now)
                          && m_lease.replicaEvidenceTime() >= confirmedSince;
    const std::set<MemberId> replicas = replicaIds();
    const bool areAllUnfenced = std::all_of(replicas.begin(), replicas.end(), [&](const MemberId &id) {
        const auto found = m_members.find(id);
        if (found == m_members.end()) {
            return false;
        }
        const Member &member = found->second;
        return id == leader->first
               || (member.status && member.statusSentAt >= confirmedSince && !member.status->isPrimary && member.status->fenceTerm == 0);
    });
    return isHolder || areAllUnfenced ? leader->first : MemberId();
}

/// The record to write again if this home can show that its primary still leads.
std::optional<TermRecord> GroupHome::confirmedTerm(TimePoint now) const
{
    const MemberId leader = confirmedLeader(now);
    if (leader.isEmpty()) {
        return std::nullopt;
    }
    TermRecord record;
    record.service = m_service;
    record.generation = nextGeneration();
    record.primary = leader;
    record.term = m_members.at(leader).status->term;
    record.homes.push_back(m_self);
    if (m_term) {
        record.witnesses = m_term->witnesses;
        std::copy_if(m_term->homes.begin(), m_term->homes.end(), std::back_inserter(record.homes), [&](const std::string &home) {
            return instanceNameOf(home) != instanceNameOf(m_self);
        });
    }
    addRestoredHolders(record);
    addMissing(record.witnesses, reachableReplicas());
    std::erase(record.witnesses, leader);
    return record;
}

/// Writes the record in the store's new epoch: again, if its primary is confirmed; otherwise by a change of primary, in which a member that
/// leads the latest term keeps its role.
void GroupHome::settleTerm(TimePoint now)
{
    const bool isResponsible = isSettledFirstHome(now) || isInUse(now) || m_lease.isListed();
    if (m_storeEpoch == 0 || !isResponsible || m_isWritingTerm) {
        return;
    }
    if (!m_isTermReadInEpoch) {
        if (now - m_lastTermReadAt > m_limits.statusInterval) {
            m_lastTermReadAt = now;
            m_effects.readTerm();
        }
        return;
    }
    if (now - m_lastTermWriteAt < minTermWriteInterval) {
        return;
    }
    if (const auto record = confirmedTerm(now)) {
        m_isWritingTerm = true;
        m_lastTermWriteAt = now;
        m_effects.writeTerm(*record, m_termRevision);
        return;
    }
    const bool hasPrimary = m_term || std::any_of(m_members.begin(), m_members.end(), [](const auto &entry) {
                                return entry.second.isRegistered && entry.second.record.isRegisteredAsPrimary;
                            });
    const bool isOrderly
        = now - std::max(m_storeEpochSeenAt, m_restoredSeenAt) > holderGrace && now - m_change.startedAt > settleRetryDelay;
    if (!hasPrimary || !isOrderly || now < m_redirectUntil || !(isSettledFirstHome(now) || isInUse(now))) {
        return;
    }
    m_change = {};
    m_change.oldPrimaryTerm = m_term && m_term->term != 0 ? m_term->term : m_highestLedTerm;
    m_change.haveEarlierOrdersExpired = true; // they rest on records that were read before the epoch, see lastOrderDelay
    m_change.startedAt = now;
    beginTermWrite(now);
}

/// Whether the record continues the reign that this home knows, with a generation of a later epoch.
bool GroupHome::isSameReign(const TermRecord &record) const
{
    if (!m_term || m_change.stage != ChangeStage::None || m_primary.isEmpty() || record.primary != m_primary || m_term->primary != m_primary
        || m_lease.generation() != m_term->generation) {
        return false;
    }
    const auto found = m_members.find(m_primary);
    const bool isLeading = found != m_members.end() && found->second.status && found->second.status->isPrimary;
    const Term knownTerm = std::max<Term>(latestKnownTerm(m_primary), isLeading ? found->second.status->term : 0);
    return storeEpochOf(record.generation) > storeEpochOf(m_term->generation) && record.term != 0 && record.term == knownTerm;
}

/// Work at the primary goes on under the new generation.
void GroupHome::continueReign(const TermRecord &record)
{
    const std::uint64_t previous = m_term->generation;
    for (auto &[number, work] : m_work) {
        work.generation = work.generation == previous ? record.generation : work.generation;
    }
    for (auto &[key, transaction] : m_transactions) {
        transaction.generation = transaction.generation == previous ? record.generation : transaction.generation;
    }
    for (UnconfirmedAnswer &unconfirmed : m_unconfirmedAnswers) {
        unconfirmed.generation = unconfirmed.generation == previous ? record.generation : unconfirmed.generation;
    }
    m_term = record;
    m_droppedWitnesses.clear();
    m_lease.continueReign(record.generation, std::find(record.homes.begin(), record.homes.end(), m_self) != record.homes.end());
    m_effects.report({"term-continued",
                      false,
                      {{"service", m_service.text()},
                       {"generation", std::to_string(record.generation)},
                       {"primary", record.primary.text()},
                       {"previous", std::to_string(previous)}}});
}

} // namespace rattanbeam::decisions::session
