#pragma once

#include "rattanbeam/decisions/identifiers.h"
#include "rattanbeam/decisions/timepoint.h"

#include <map>
#include <optional>
#include <set>

namespace rattanbeam::decisions::session
{

/// A home's lease on a service's primary. It holds evidence that no later promotion had begun, without which answers of the
/// primary must not be passed on.
///
/// The term record lists the homes that hold a lease, and a change of primary waits until they yield it or it expires. For a
/// listed home, evidence is therefore valid for the lease's duration. An unlisted home needs evidence from after the answer
/// itself.
///
///     lease.replicaConfirmed(replica, sentAt);
///     if (lease.covers(answeredAt, now)) { passOn(answer); }
class PrimaryLease
{
public:
    explicit PrimaryLease(Duration duration);

    /// Discards all evidence and starts with another generation.
    void restart(std::uint64_t generation, bool isListed, const std::set<MemberId> &replicas);
    /// Replaces the set of replicas within a generation; those that stay keep their evidence.
    void setReplicas(const std::set<MemberId> &replicas);

    /// A linearizable read of the term record that began at `startedAt` showed `generation`. Ignored unless that is the
    /// lease's generation.
    void termRecordRead(std::uint64_t generation, bool isListed, TimePoint startedAt);
    /// A replica that is not fenced has answered a request sent at `sentAt`.
    void replicaConfirmed(const MemberId &replica, TimePoint sentAt);
    /// A replica is fenced or leads: discards its evidence and that of the term record, so that only another read of the
    /// record, or new answers of all replicas, count.
    void replicaRevoked(const MemberId &replica);

    /// Whether an answer received at `answeredAt` may be passed on at `now`.
    bool covers(TimePoint answeredAt, TimePoint now) const;
    /// Latest time at which it is known that no later promotion had begun: when every replica was last known unfenced, or when the
    /// term record was last read. distantPast without evidence.
    TimePoint evidenceTime() const;
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

private:
    Duration m_duration;
    std::uint64_t m_generation = 0;
    bool m_isListed = false;
    TimePoint m_termRecordReadAt = distantPast;
    std::map<MemberId, TimePoint> m_replicaConfirmedAt;
};

} // namespace rattanbeam::decisions::session
