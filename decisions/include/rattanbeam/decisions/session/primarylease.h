#pragma once

#include "rattanbeam/decisions/identifiers.h"
#include "rattanbeam/decisions/timepoint.h"

#include <map>
#include <optional>
#include <set>

namespace rattanbeam::decisions::session
{

/// The right to pass on answers of a service's primary: evidence that no later promotion had begun.
///
/// A listed home stands in the term record, so a promoter waits for it: evidence counts for the lease time. An unlisted
/// one needs evidence from after the answer itself.
///
///     lease.replicaSeen(replica, sentAt);
///     if (lease.covers(answeredAt, now)) { passOn(answer); }
class PrimaryLease
{
public:
    explicit PrimaryLease(Duration length);

    /// Starts over for another generation or another set of replicas.
    void restart(std::uint64_t generation, bool isListed, const std::set<MemberId> &replicas);
    /// Replicas may come and go within a generation.
    void setReplicas(const std::set<MemberId> &replicas);

    /// A linearizable read that began at `startedAt` showed this generation as the newest.
    void storeRead(std::uint64_t generation, bool isListed, TimePoint startedAt);
    /// An unfenced replica answered a request that was sent at `sentAt`.
    void replicaSeen(const MemberId &replica, TimePoint sentAt);
    /// A replica is fenced or leads: nothing counts until the term record is read anew.
    void replicaLost(const MemberId &replica);

    /// Whether an answer received at `answeredAt` may be passed on at `now`.
    bool covers(TimePoint answeredAt, TimePoint now) const;
    /// Time as of which no later promotion had begun.
    TimePoint evidence() const;
    /// Start of the last read of the term record that showed this generation.
    TimePoint lastStoreRead() const
    {
        return m_storeRead;
    }
    bool isListed() const
    {
        return m_isListed;
    }
    std::uint64_t generation() const
    {
        return m_generation;
    }

private:
    Duration m_length;
    std::uint64_t m_generation = 0;
    bool m_isListed = false;
    TimePoint m_storeRead = distantPast;
    std::map<MemberId, TimePoint> m_replicas;
};

} // namespace rattanbeam::decisions::session
