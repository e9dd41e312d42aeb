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

/// What a peer says of its own knowledge.
struct PeerKnowledge {
    std::string address;
    /// In the same failure domain, where bytes cost nothing.
    bool isNear = false;
    std::uint64_t configurationVersion = 0;
    std::uint64_t membersDigest = 0;
    std::uint64_t instancesDigest = 0;
    std::uint64_t termsDigest = 0;
    /// When the store confirmed to it what it knows; none when it does not follow the store.
    std::optional<TimePoint> confirmedAt;
};

/// What this instance knows of the fleet: configuration, members, instances and terms. Homes and relays follow the store; the
/// others take changes from these while two of them hear from the store, and follow it by themselves otherwise. A
/// configuration version never goes back; a record never goes back to an earlier revision.
class Directory
{
public:
    using SnapshotAsker = std::function<void(const std::string &address, const link::v1::SnapshotRequest &request)>;
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
    /// Called when parts of a peer's knowledge are wanted.
    void onSnapshotNeeded(SnapshotAsker asker)
    {
        m_askForSnapshot = std::move(asker);
    }
    /// Takes in what a peer knows.
    void merge(const link::v1::Snapshot &snapshot);
    /// The parts that are asked for; all when none is named.
    link::v1::Snapshot snapshot(const link::v1::SnapshotRequest &request) const;
    void peerKnows(const PeerKnowledge &peer);
    /// The peer cannot be reached.
    void peerLost(const std::string &address)
    {
        m_trust.removePeer(address);
    }
    /// What this instance tells peers of its knowledge.
    void describe(link::v1::Pong &pong) const;
    /// A relay follows the store for others, with short watches that find a silent connection soon.
    void setRelay(bool isRelay);
    /// This instance's own registration, as the store has just taken it.
    void registered(const Record &record);
    /// To be called often: follows the store again when peers no longer hear from it.
    void tick();
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
        /// Waits until another collection finds the store back.
        bool isParked = false;
        /// Of names and revisions; equal for equal records.
        std::uint64_t digest = 0;
    };

    void list(Followed &followed);
    void watch(Followed &followed);
    void watchEnded(Followed &followed, StoreOutcome outcome, const std::vector<Record> &records, std::uint64_t revision);
    void watchAfter(Followed &followed, decisions::Duration pause);
    void confirm(const Followed &followed, TimePoint asOf);
    void follow(Followed &followed);
    void followAll();
    void listed(Followed &followed, const std::vector<Record> &records, std::uint64_t revision, TimePoint startedAt);
    void changed(Followed &followed, const std::vector<Record> &records);
    bool apply(Followed &followed, const Record &record, TimePoint startedAt);
    void retry(Followed &followed, StoreOutcome outcome);
    void updateFollowing();
    void lookAgain(const PeerKnowledge &peer);
    void takeFrom(const PeerKnowledge &peer);
    static std::uint64_t digestOf(const Followed &followed);
    void storeAnswered(StoreOutcome outcome);
    std::chrono::milliseconds watchWait(Collection collection) const;
    void adoptConfiguration(const FleetConfiguration &configuration, const char *source);

    EventLoop &m_loop;
    RecordStore &m_store;
    std::optional<FleetConfiguration> m_configuration;
    Followed m_configurations{.collection = Collection::Configuration};
    Followed m_members{.collection = Collection::Members};
    Followed m_instances{.collection = Collection::Instances};
    Followed m_terms{.collection = Collection::Terms};
    std::array<Followed *, 4> m_collections{&m_configurations, &m_members, &m_instances, &m_terms};
    /// The collection that tries the store while it is away.
    Followed *m_prober = nullptr;
    decisions::session::RelayTrust m_trust;
    bool m_isRelay = false;
    bool m_isFollowing = true;
    TimePoint m_storeConfirmedAt = decisions::distantPast;
    bool m_isStoreReachable = true;
    std::chrono::milliseconds m_configurationBound;
    std::uint64_t m_peerDigest = 0;
    TimePoint m_peerLookAt = decisions::distantPast;
    TimePoint m_agreedAt = decisions::distantPast;
    TimePoint m_askedAt = decisions::distantPast;
    /// Digests that were asked for last, by peer.
    std::map<std::string, std::uint64_t> m_askedDigests;
    SnapshotAsker m_askForSnapshot;
    std::function<void()> m_listener;
    TermListener m_termListener;
};

} // namespace rattanbeam::sessions::internal
