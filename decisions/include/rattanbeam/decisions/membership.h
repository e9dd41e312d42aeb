#pragma once

#include "rattanbeam/decisions/homeassignment.h"
#include "rattanbeam/decisions/identifiers.h"
#include "rattanbeam/decisions/timepoint.h"

#include <cstdint>
#include <map>
#include <vector>

namespace rattanbeam::decisions
{

/// An instance as it describes itself. Each restart has a higher incarnation; the heartbeat counter grows within one.
struct InstanceRecord {
    InstanceId id;
    FailureDomain domain;
    std::string address;
    std::uint64_t incarnation = 0;
    std::uint64_t heartbeat = 0;
    bool isLeaving = false;

    auto operator<=>(const InstanceRecord &) const = default;
};

/// Tracks which instances are live. Combines the platform's list, which lags, with heartbeats that instances forward to
/// each other (the gossip failure detector of van Renesse, Minsky and Hayden). An instance is live while its heartbeat has
/// grown within the heartbeat timeout. An instance that is leaving does not become live again in that incarnation.
///
///     membership.heartbeatReceived(record, now);
///     for (const auto &instance : membership.live(now)) { ... }
class Membership
{
public:
    /// Records of further instances are ignored.
    static constexpr std::size_t maxInstances = 8192;

    explicit Membership(Duration heartbeatTimeout) : m_heartbeatTimeout(heartbeatTimeout)
    {}

    /// A record has arrived, from the instance itself or forwarded by another. True if it changed what was known.
    bool heartbeatReceived(const InstanceRecord &record, TimePoint now);

    /// The platform lists this instance: it becomes a contact, but is not live before its first heartbeat arrives.
    void listedByPlatform(const InstanceRecord &record, TimePoint now);

    /// The instances whose heartbeat has not timed out and that are not leaving.
    std::vector<InstanceRecord> live(TimePoint now) const;

    /// The instances whose heartbeat has not timed out, leaving ones included. These are forwarded to other instances.
    std::vector<InstanceRecord> liveAndLeaving(TimePoint now) const;

    /// All known instances, also those whose heartbeat has timed out, since gossip exchanges try them too.
    std::vector<InstanceRecord> contacts(TimePoint now) const;

    /// Removes instances that were neither heard from nor listed for 10 minutes.
    void removeExpired(TimePoint now);

private:
    struct Entry {
        InstanceRecord record;
        /// When the heartbeat times out.
        TimePoint aliveUntil;
        /// When removeExpired() may remove the instance.
        TimePoint keepUntil;
    };

    Duration m_heartbeatTimeout;
    std::map<InstanceId, Entry> m_entries;
};

} // namespace rattanbeam::decisions
