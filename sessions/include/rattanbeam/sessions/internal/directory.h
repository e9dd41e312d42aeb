#pragma once

#include "rattanbeam/decisions/session/relaytrust.h"
#include "rattanbeam/sessions/eventloop.h"
#include "rattanbeam/sessions/ports.h"

#include "link.pb.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rattanbeam::sessions::internal
{

/// What a peer says in a pong about the contents of its directory.
struct PeerDirectoryState {
    std::string address;
    /// Whether the peer is in the same failure domain, where traffic is free of charge.
    bool isSameDomain = false;
    std::uint64_t configurationVersion = 0;
    std::uint64_t membersDigest = 0;
    std::uint64_t instancesDigest = 0;
    std::uint64_t termsDigest = 0;
    /// Time at which the store last confirmed that the peer's records were up to date; empty if the peer does not watch the store.
    std::optional<TimePoint> confirmedAt;
    /// Time as of which the peer's list of members was complete; empty if the peer does not know one.
    std::optional<TimePoint> membersConfirmedAt;
    std::uint64_t storeEpoch = 0;
    /// When some instance knew that epoch already.
    TimePoint storeEpochSeenAt{};
};

/// This instance's copy of the fleet's records: configuration, members, instances and terms. Relays, among them all first homes,
/// watch the store. Other instances fetch changes from relays while two of them have a recent confirmation by the store, and watch
/// the store themselves otherwise. Neither the version of the configuration nor the revision of a record ever decreases.
///
/// When the store comes back from an older copy, its revisions go on in a new epoch (RecordStore), above all earlier ones. The records of
/// the earlier epoch stay in use until those of the new one have been read; members and instances that the copy lacks stay for a moment
/// more, in which they register again.
class Directory
{
public:
    using SnapshotRequester = std::function<void(const std::string &address, const link::v1::SnapshotRequest &request)>;
    using TermListener
        = std::function<void(const ServiceName &, const std::optional<TermRecord> &, std::uint64_t revision, TimePoint startedAt)>;

    /// `configurationBound`: maximum time from the acceptance of a configuration until all instances apply it.
    Directory(EventLoop &loop, RecordStore &store, std::chrono::milliseconds configurationBound);

    /// Lists all collections, then watches them.
    void start();
    /// Called on the loop after changes of configuration, members or instances; once for all changes of one turn of the loop.
    void onChange(std::function<void()> listener)
    {
        m_changeListener = std::move(listener);
    }
    /// Called for each term record that is read, without a record if the service has none, and with an empty service name after each
    /// list of all terms. `startedAt` is when the read began, or distantPast if the record is no evidence of the present state.
    void onTermRecord(TermListener listener)
    {
        m_termListener = std::move(listener);
    }
    /// Called for each change of the store's epoch, and when it turns out that it has begun earlier than was known.
    void onStoreEpoch(std::function<void(std::uint64_t epoch, TimePoint seenAt)> listener)
    {
        m_storeEpochListener = std::move(listener);
    }
    /// Called to request parts of a peer's directory.
    void onSnapshotNeeded(SnapshotRequester requester)
    {
        m_requestSnapshot = std::move(requester);
    }
    /// Applies the records of a peer's directory.
    void merge(const link::v1::Snapshot &snapshot);
    /// The requested parts of this directory, or all parts if none is named.
    link::v1::Snapshot snapshot(const link::v1::SnapshotRequest &request) const;
    /// A peer answered a ping. Restarts own watches or requests a snapshot if the peer has newer or other records.
    void peerReported(const PeerDirectoryState &peer);
    /// The peer cannot be reached.
    void peerLost(const std::string &address)
    {
        m_relayTrust.removePeer(address);
    }
    /// Writes the state of this directory into the answer to a ping.
    void fillPong(link::v1::Pong &pong) const;
    /// A relay watches the store on behalf of other instances. Its watches are short, so that a connection that has gone silent is
    /// detected early.
    void setRelay(bool isRelay);
    /// Applies this instance's own registration, which the store has just accepted.
    void applyOwnRegistration(const Record &record);
    /// To be called often: watches the store again when too few peers have a recent confirmation by it.
    void tick();
    /// Reads the term record of one service from the store, without waiting for a watch.
    void readTerm(const ServiceName &service);

    const std::optional<FleetConfiguration> &configuration() const
    {
        return m_configuration;
    }
    std::vector<MemberRecord> members() const;
    /// members() holds every member that was registered by then.
    TimePoint membersConfirmedAt() const
    {
        return m_members.confirmedAt;
    }
    /// Whether a change is known that onChange() has not told yet.
    bool isChangeReportPending() const
    {
        return m_isChangeReportPending;
    }
    std::vector<InstanceRecord> instances() const;
    const std::map<std::string, Record> &instanceRecords() const
    {
        return m_instances.records;
    }
    /// The last known term record and its revision; if there is no record, the revision as of which there is none.
    std::pair<std::optional<TermRecord>, std::uint64_t> term(const ServiceName &service) const;
    /// Differs after each change of the instances' records.
    std::uint64_t instancesDigest() const
    {
        return m_instances.digest;
    }
    bool areTermsLoaded() const
    {
        return m_terms.isLoaded;
    }
    bool isReady() const
    {
        return m_configuration.has_value() && m_members.isLoaded && m_instances.isLoaded;
    }
    bool isStoreReachable() const
    {
        return m_isStoreReachable;
    }
    std::uint64_t storeEpoch() const
    {
        return m_storeEpoch;
    }
    /// The earliest known time at which an instance knew the epoch.
    TimePoint storeEpochSeenAt() const
    {
        return m_storeEpochSeenAt;
    }

private:
    /// Local copy of one collection, and the state of its watch.
    struct CollectionState {
        Collection collection;
        std::map<std::string, Record> records;
        /// When records appeared, without those of the first list.
        std::map<std::string, TimePoint> appearedAt;
        std::uint64_t revision = 0;
        /// Time as of which the records were complete, by a call to the store that began then.
        TimePoint confirmedAt = decisions::distantPast;
        /// Whether the records have been listed, from the store or from a peer.
        bool isLoaded = false;
        decisions::Duration backoff{};
        /// Number of the latest watch; answers to earlier ones neither begin another watch nor confirm this directory.
        std::uint64_t watchNumber = 0;
        bool isWatching = false;
        /// When a watch last ended with events.
        TimePoint lastEventAt = decisions::distantPast;
        /// Waits until the collection that probes the store reaches it again.
        bool isWaitingForStore = false;
        /// Digest of the names and revisions of all records, to compare directories.
        std::uint64_t digest = 0;
    };

    void list(CollectionState &state);
    void watch(CollectionState &state);
    void watchEnded(
        CollectionState &state, StoreOutcome outcome, const std::vector<Record> &records, std::uint64_t revision, TimePoint startedAt);
    void replacedWatchEnded(CollectionState &state, StoreOutcome outcome, const std::vector<Record> &records, std::uint64_t revision);
    void scheduleWatch(CollectionState &state, decisions::Duration delay);
    void recordStoreConfirmation(const CollectionState &state, TimePoint confirmedAt);
    void resync(CollectionState &state);
    void resyncAll();
    void applyList(CollectionState &state, const std::vector<Record> &records, std::uint64_t revision, TimePoint startedAt);
    void applyEvents(CollectionState &state, const std::vector<Record> &records);
    bool applyRecord(CollectionState &state, const Record &record, TimePoint startedAt);
    void retry(CollectionState &state, StoreOutcome outcome);
    void updateStoreWatching();
    void restartWatchesIfBehind(const PeerDirectoryState &peer);
    void requestDifferences(const PeerDirectoryState &peer);
    static std::uint64_t computeDigest(const CollectionState &state);
    void updateStoreReachability(StoreOutcome outcome);
    std::chrono::milliseconds watchWait(Collection collection) const;
    void adoptConfiguration(const FleetConfiguration &configuration, const char *source);
    void reportChange();
    void storeEpochSeen(std::uint64_t epoch, TimePoint seenAt, const char *source);
    static void dropAppearances(CollectionState &state);
    bool isRetained(const CollectionState &state, const Record &record) const;
    void removeRetained();

    EventLoop &m_loop;
    RecordStore &m_store;
    std::optional<FleetConfiguration> m_configuration;
    CollectionState m_configurationCollection{.collection = Collection::Configuration};
    CollectionState m_members{.collection = Collection::Members};
    CollectionState m_instances{.collection = Collection::Instances};
    CollectionState m_terms{.collection = Collection::Terms};
    std::array<CollectionState *, 4> m_collections{&m_configurationCollection, &m_members, &m_instances, &m_terms};
    /// The collection that retries while the store is unreachable; null when none does.
    CollectionState *m_storeProber = nullptr;
    decisions::session::RelayTrust m_relayTrust;
    bool m_isRelay = false;
    bool m_isWatchingStore = true;
    TimePoint m_storeConfirmedAt = decisions::distantPast;
    bool m_isStoreReachable = true;
    std::chrono::milliseconds m_configurationBound;
    std::uint64_t m_previousPeerMembersDigest = 0;
    TimePoint m_watchesRestartedAt = decisions::distantPast;
    TimePoint m_digestsMatchedAt = decisions::distantPast;
    TimePoint m_snapshotRequestedAt = decisions::distantPast;
    /// Combined digest of each peer at the last request to it, by address.
    std::map<std::string, std::uint64_t> m_requestedDigests;
    SnapshotRequester m_requestSnapshot;
    std::function<void()> m_changeListener;
    bool m_isChangeReportPending = false;
    TermListener m_termListener;
    std::uint64_t m_storeEpoch = 0;
    TimePoint m_storeEpochSeenAt = decisions::distantPast;
    TimePoint m_storeEpochLearntAt = decisions::distantPast;
    std::function<void(std::uint64_t epoch, TimePoint seenAt)> m_storeEpochListener;
};

} // namespace rattanbeam::sessions::internal
