#pragma once

#include "rattanbeam/decisions/homeassignment.h"
#include "rattanbeam/decisions/identifiers.h"
#include "rattanbeam/decisions/timepoint.h"

#include <cstdint>
#include <map>
#include <vector>

namespace rattanbeam::decisions
{

/// An instance as it describes itself. A restart has a higher incarnation; heartbeats grow within one.
struct InstanceRecord {
    InstanceId id;
    FailureDomain domain;
    std::string address;
    std::uint64_t incarnation = 0;
    std::uint64_t heartbeat = 0;
    bool leaving = false;

    auto operator<=>(const InstanceRecord &) const = default;
};

/// Which instances are alive: the platform's list, which lags, joined with heartbeats that instances pass on to each
/// other (the gossip failure detector of van Renesse, Minsky and Hayden). An instance is live while its heartbeat has
/// grown within the silence limit. Leaving is final for an incarnation.
///
///     membership.heard(record, now);
///     for (const auto &instance : membership.live(now)) { ... }
class Membership
{
public:
    static constexpr std::size_t maxInstances = 8192;

    explicit Membership(Duration silenceLimit) : m_silenceLimit(silenceLimit)
    {}

    /// A record came from a peer, directly or passed on. True if it was news.
    bool heard(const InstanceRecord &record, TimePoint now);

    /// The platform lists this instance: worth contacting, but not alive until heard.
    void listed(const InstanceRecord &record, TimePoint now);

    /// The instances that were heard lately and are not leaving.
    std::vector<InstanceRecord> live(TimePoint now) const;

    /// Records worth passing on: those heard lately, leaving ones included.
    std::vector<InstanceRecord> recent(TimePoint now) const;

    /// All known instances that may answer: for exchanges, also with those not heard for long.
    std::vector<InstanceRecord> contacts(TimePoint now) const;

    /// Forgets instances that were silent and unlisted for long.
    void forgetOld(TimePoint now);

private:
    struct Entry {
        InstanceRecord record;
        TimePoint aliveUntil;
        TimePoint keepUntil;
    };

    Duration m_silenceLimit;
    std::map<InstanceId, Entry> m_entries;
};

} // namespace rattanbeam::decisions
