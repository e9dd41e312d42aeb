#pragma once

#include "rattanbeam/decisions/identifiers.h"
#include "rattanbeam/decisions/timepoint.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace rattanbeam::decisions::session
{

/// A home's lease on a service's primary. It holds evidence that no later promotion had begun, without which answers of the
/// primary must not be passed on.
///
/// The term record lists the homes that hold a lease, and a change of primary waits until they yield it or it expires. For a
/// listed home, evidence is therefore valid for the lease's duration. An unlisted home needs evidence from after the answer
/// itself.
///
/// Evidence is a read of the term record, or the word of every replica, since a change of primary fences its candidate. The word of every
/// replica counts for `memberListTerm` after the list of members was known to be complete: a member that has joined since may have been
/// promoted, and would not be asked. For a listed home and for `witnessTerm` after a read, the word of one witness suffices, so that the
/// loss of a replica does not stop the group while the store is away: a change of primary keeps every witness fenced for longer than the
/// lease, or waits for the end of that term. A witness counts while its answers show without a gap of the lease's duration that it is not
/// fenced, and come from the process that was running at the time of the read, since a fence does not survive a restart.
///
///     lease.replicaConfirmed(replica, {sentAt, connectionOpenedAt, now});
///     if (lease.covers(answeredAt, now)) { passOn(answer); }
class PrimaryLease
{
public:
    explicit PrimaryLease(Duration duration);

    /// Discards all evidence and starts with another generation.
    void restart(std::uint64_t generation, bool isListed, const std::set<MemberId> &replicas);
    /// Replaces the set of replicas within a generation; those that stay keep their evidence.
    void setReplicas(const std::set<MemberId> &replicas);
    /// The list of members, from which the replicas are taken, held every member that was registered by `asOf`.
    void memberListConfirmed(TimePoint asOf)
    {
        m_memberListConfirmedAt = std::max(m_memberListConfirmedAt, asOf);
    }
    /// Sets the witnesses that the term record names. One that is new counts from the next read of the record.
    void setWitnesses(const std::vector<MemberId> &witnesses);

    /// Counts a record's list of holders for `witnessTerm` after a read of it only: the store may come back from a copy of the record
    /// that does not list this home.
    void limitListing()
    {
        m_isListingLimited = true;
    }
    /// The term record was written again with a higher generation, and its primary has led throughout: keeps all evidence.
    void continueReign(std::uint64_t generation, bool isListed)
    {
        m_generation = generation;
        m_isListed = isListed;
    }

    /// A linearizable read of the term record that began at `startedAt` showed `generation`. Ignored unless that is the
    /// lease's generation.
    void termRecordRead(std::uint64_t generation, bool isListed, TimePoint startedAt);
    /// When a status request was sent and answered, and since when its connection was open.
    struct Confirmation {
        TimePoint sentAt;
        TimePoint connectionOpenedAt;
        TimePoint answeredAt;
    };
    /// A replica that is not fenced has answered.
    void replicaConfirmed(const MemberId &replica, const Confirmation &confirmation);
    /// A replica is fenced or leads: discards its evidence and that of the term record, so that only another read of the
    /// record, or new answers of all replicas, count.
    void replicaRevoked(const MemberId &replica);

    /// Whether an answer received at `answeredAt` may be passed on at `now`.
    bool covers(TimePoint answeredAt, TimePoint now) const;
    /// Latest time at which it is known that no later promotion had begun: when every replica or, for a listed home, a witness was last
    /// known unfenced, or when the term record was last read. distantPast without evidence.
    TimePoint evidenceTime() const;
    /// The same by the word of replicas alone.
    TimePoint replicaEvidenceTime() const;
    /// What evidenceTime() rests on.
    enum class Evidence {
        None,
        TermRecord,
        Witness,
        EveryReplica,
    };
    Evidence evidence() const;
    /// When each replica of the group was last known unfenced; distantPast for one that was not, or not since the start of the generation.
    const std::map<MemberId, TimePoint> &replicaConfirmations() const
    {
        return m_replicaConfirmedAt;
    }
    TimePoint memberListConfirmedAt() const
    {
        return m_memberListConfirmedAt;
    }
    /// Start of the last read of the term record that showed the lease's generation.
    TimePoint lastTermRecordReadAt() const
    {
        return m_termRecordReadAt;
    }
    /// Whether the term record lists this home as a lease holder.
    bool isListed() const
    {
        return m_isListed;
    }
    std::uint64_t generation() const
    {
        return m_generation;
    }

    /// How long after a read of the term record the word of one witness counts.
    static constexpr Duration witnessTerm = std::chrono::seconds(12);
    /// How long after a confirmation of the list of members the word of every replica counts.
    static constexpr Duration memberListTerm = std::chrono::seconds(18);

private:
    TimePoint witnessEvidenceTime() const;
    TimePoint everyReplicaEvidenceTime() const;

    Duration m_duration;
    std::uint64_t m_generation = 0;
    bool m_isListed = false;
    bool m_isListingLimited = false;
    TimePoint m_termRecordReadAt = distantPast;
    TimePoint m_memberListConfirmedAt = distantPast;
    std::map<MemberId, TimePoint> m_replicaConfirmedAt;
    /// When each witness was last known unfenced; distantPast until a read of the record, and after a gap.
    std::map<MemberId, TimePoint> m_witnessConfirmedAt;
};

std::string_view evidenceName(PrimaryLease::Evidence evidence);

} // namespace rattanbeam::decisions::session
