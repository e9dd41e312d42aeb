#pragma once

#include "rattanbeam/sessions/eventloop.h"
#include "rattanbeam/sessions/ports.h"

#include "link.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rattanbeam::sessions::internal
{

/// What this instance knows of the fleet: configuration, members, instances and terms, followed in the store. A
/// configuration version never goes back; a record never goes back to an earlier revision.
class Directory
{
public:
    using TermListener
        = std::function<void(const ServiceName &, const std::optional<TermRecord> &, std::uint64_t revision, TimePoint startedAt)>;

    /// `configurationBound`: how soon an accepted configuration has to be in force.
    Directory(EventLoop &loop, RecordStore &store, std::chrono::milliseconds configurationBound);

    void start();
    /// Called after each change of configuration, members or instances.
    void onChange(std::function<void()> listener)
    {
        m_listener = std::move(listener);
    }
    void onTerm(TermListener listener)
    {
        m_termListener = std::move(listener);
    }
    /// Takes in what a peer knows, while the store cannot be reached.
    void merge(const link::v1::Snapshot &snapshot);
    link::v1::Snapshot snapshot() const;
    /// A peer knows another configuration or other members: looks into the store if this instance may be behind.
    void peerKnows(std::uint64_t configurationVersion, std::uint64_t membersDigest);
    /// Short watches find a silent connection sooner; homes keep them, and the others learn from homes.
    void setWatchesShort(bool isShort);
    /// Equal for equal members.
    std::uint64_t membersDigest() const;
    /// Reads the term record of one service now.
    void readTerm(const ServiceName &service);

    const std::optional<FleetConfiguration> &configuration() const
    {
        return m_configuration;
    }
    std::vector<MemberRecord> members() const;
    std::vector<InstanceRecord> instances() const;
    const std::map<std::string, Record> &instanceRecords() const
    {
        return m_instances.records;
    }
    /// The term record as last seen; the revision is 0 when there is none.
    std::pair<std::optional<TermRecord>, std::uint64_t> term(const ServiceName &service) const;
    bool areTermsKnown() const
    {
        return m_terms.isKnown;
    }
    bool isReady() const
    {
        return m_configuration.has_value() && m_members.isKnown && m_instances.isKnown;
    }
    bool isStoreReachable() const
    {
        return m_isStoreReachable;
    }

private:
    struct Followed {
        Collection collection;
        std::map<std::string, Record> records;
        std::uint64_t revision = 0;
        bool isKnown = false;
        decisions::Duration backoff{};
        /// Counts watches; only the latest one's answer is used.
        std::uint64_t attempt = 0;
        bool isWatching = false;
    };

    void list(Followed &followed);
    void watch(Followed &followed);
    void restartWatches();
    void listed(Followed &followed, const std::vector<Record> &records, std::uint64_t revision, TimePoint startedAt);
    void changed(Followed &followed, const std::vector<Record> &records);
    bool apply(Followed &followed, const Record &record, TimePoint startedAt);
    void retry(Followed &followed, StoreOutcome outcome, bool isWatch);
    void storeAnswered(StoreOutcome outcome);
    std::chrono::milliseconds watchWait(Collection collection) const;
    void adoptConfiguration(const FleetConfiguration &configuration, const char *source);

    EventLoop &m_loop;
    RecordStore &m_store;
    std::optional<FleetConfiguration> m_configuration;
    Followed m_configurations{Collection::Configuration, {}, 0, false, {}, 0, false};
    Followed m_members{Collection::Members, {}, 0, false, {}, 0, false};
    Followed m_instances{Collection::Instances, {}, 0, false, {}, 0, false};
    Followed m_terms{Collection::Terms, {}, 0, false, {}, 0, false};
    bool m_isStoreReachable = true;
    std::chrono::milliseconds m_configurationBound;
    bool m_areWatchesShort = true;
    std::uint64_t m_peerDigest = 0;
    TimePoint m_peerLookAt = decisions::longAgo;
    std::function<void()> m_listener;
    TermListener m_termListener;
};

} // namespace rattanbeam::sessions::internal
