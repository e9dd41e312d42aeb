#include "rattanbeam/sessions/internal/directory.h"

#include "rattanbeam/decisions/session/storeepoch.h"
#include "rattanbeam/kernel/logevent.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace rattanbeam::sessions::internal
{

using kernel::LogEvent;
using kernel::LogLevel;
using namespace std::chrono_literals;

namespace
{

// A watch whose connection has gone silent is detected only when its wait is over, so collections whose changes have a time limit
// have shorter waits.
constexpr std::chrono::milliseconds membersWatchWait = 4s;
constexpr std::chrono::milliseconds defaultWatchWait = 15s;
constexpr std::chrono::milliseconds minWatchWait = 500ms;
constexpr std::chrono::milliseconds configurationApplyMargin = 300ms; // from a silent watch's end until the new configuration applies
constexpr decisions::Duration relayTrustMargin = 500ms; // added to a relay's watch wait before its confirmation expires
constexpr decisions::Duration firstWatchDelay = 1000ms; // from a list to its watch, which is not needed if peers report in this time
constexpr decisions::Duration watchAnswerLatency = 20ms; // maximum age of a watch's answer on arrival
constexpr decisions::Duration eventBurstGap = 500ms; // events that follow others within this time belong to a burst
constexpr decisions::Duration minBackoff = 100ms;
constexpr decisions::Duration maxBackoff = 800ms;
// In which members and instances that an older copy of the store lacks have to register again.
constexpr decisions::Duration registrationRetention = 5s;

/// Delay before the next watch after events, so that one call receives several changes that occur close together. `isBurst`: the events
/// followed others closely.
decisions::Duration eventBatchDelay(Collection collection, bool isRelay, bool isBurst)
{
    switch (collection) {
    case Collection::Configuration:
        return {};
    case Collection::Members:
        return isRelay ? (isBurst ? 150ms : 20ms) : 200ms;
    case Collection::Instances:
        return 400ms;
    case Collection::Terms:
        return isRelay ? 50ms : 400ms;
    }
    return {};
}

/// Uses half of the bound; the other half is left for passing a change on from the relay to other instances.
std::chrono::milliseconds relayWatchWait(std::chrono::milliseconds bound)
{
    return std::max(minWatchWait, bound / 2 - configurationApplyMargin);
}

const char *collectionName(Collection collection)
{
    switch (collection) {
    case Collection::Configuration:
        return "configuration";
    case Collection::Members:
        return "members";
    case Collection::Instances:
        return "instances";
    case Collection::Terms:
        return "terms";
    }
    return "unknown";
}

template<typename Value>
std::vector<Value> valuesOf(const std::map<std::string, Record> &records)
{
    std::vector<Value> values;
    for (const auto &[name, record] : records) {
        if (const auto *value = std::get_if<Value>(&record.value)) {
            values.push_back(*value);
        }
    }
    return values;
}

} // namespace

Directory::Directory(EventLoop &loop, RecordStore &store, std::chrono::milliseconds configurationBound)
    : m_loop(loop)
    , m_store(store)
    , m_relayTrust(relayWatchWait(configurationBound) + relayTrustMargin)
    , m_configurationBound(configurationBound)
{
    m_store.onEpoch([this](std::uint64_t epoch) {
        storeEpochSeen(epoch, EventLoop::now(), "store");
    });
}

std::chrono::milliseconds Directory::watchWait(Collection collection) const
{
    switch (collection) {
    case Collection::Configuration:
        return m_isRelay ? relayWatchWait(m_configurationBound) : std::max(minWatchWait, m_configurationBound - configurationApplyMargin);
    case Collection::Members:
        return membersWatchWait;
    case Collection::Instances:
    case Collection::Terms:
        break;
    }
    return defaultWatchWait;
}

void Directory::setRelay(bool isRelay)
{
    if (std::exchange(m_isRelay, isRelay) != isRelay) {
        updateStoreWatching();
        if (isRelay && m_configurationCollection.isWatching) {
            watch(m_configurationCollection); // with the shorter wait of a relay
        }
    }
}

void Directory::tick()
{
    updateStoreWatching();
}

void Directory::updateStoreWatching()
{
    const bool mustWatchStore = m_isRelay || !isReady() || !m_relayTrust.hasEnoughFreshPeers(EventLoop::now());
    if (std::exchange(m_isWatchingStore, mustWatchStore) == mustWatchStore) {
        return;
    }
    LogEvent(mustWatchStore ? "store-followed" : "store-left-to-peers").with("relay", m_isRelay ? "true" : "false");
    if (mustWatchStore) {
        resyncAll();
    }
}

std::uint64_t Directory::computeDigest(const CollectionState &state)
{
    std::uint64_t digest = 0;
    for (const auto &[name, record] : state.records) {
        digest ^= decisions::stableHash(name + '@' + std::to_string(record.revision));
    }
    return digest;
}

void Directory::applyOwnRegistration(const Record &record)
{
    applyEvents(m_instances, {record});
}

void Directory::start()
{
    for (CollectionState *state : m_collections) {
        list(*state);
    }
}

std::vector<MemberRecord> Directory::members() const
{
    std::vector<MemberRecord> members = valuesOf<MemberRecord>(m_members.records);
    for (MemberRecord &member : members) {
        const auto appearedAt = m_members.appearedAt.find(member.id.text());
        member.knownSince = appearedAt == m_members.appearedAt.end() ? decisions::distantPast : appearedAt->second;
    }
    return members;
}

std::vector<InstanceRecord> Directory::instances() const
{
    return valuesOf<InstanceRecord>(m_instances.records);
}

std::pair<std::optional<TermRecord>, std::uint64_t> Directory::term(const ServiceName &service) const
{
    const auto found = m_terms.records.find(service.text());
    if (found == m_terms.records.end()) {
        return {std::nullopt, m_terms.revision};
    }
    return {std::get<TermRecord>(found->second.value), found->second.revision};
}

void Directory::list(CollectionState &state)
{
    const TimePoint startedAt = EventLoop::now();
    m_store.list(
        state.collection, [this, &state, startedAt](StoreOutcome outcome, const std::vector<Record> &records, std::uint64_t revision) {
            if (outcome != StoreOutcome::Done) {
                updateStoreReachability(outcome);
                retry(state, outcome);
                return;
            }
            state.backoff = {};
            recordStoreConfirmation(state, startedAt);
            state.confirmedAt = std::max(state.confirmedAt, startedAt);
            applyList(state, records, revision, startedAt);
            updateStoreReachability(outcome);
            if (!state.isWatching) {
                scheduleWatch(state, m_isRelay || state.collection == Collection::Configuration ? decisions::Duration() : firstWatchDelay);
            }
        });
}

/// Called when the store has returned its state as of `confirmedAt`.
void Directory::recordStoreConfirmation(const CollectionState &state, TimePoint confirmedAt)
{
    if (state.collection == Collection::Configuration) {
        m_storeConfirmedAt = std::max(m_storeConfirmedAt, confirmedAt);
    }
}

void Directory::resync(CollectionState &state)
{
    // A watch of an unreachable store may hang for long, whereas a list fails soon.
    if (!state.isLoaded || !m_isStoreReachable) {
        list(state);
    } else {
        watch(state);
    }
}

/// Restarts all collections, since watches that began before the store became unreachable may never end.
void Directory::resyncAll()
{
    for (CollectionState *state : m_collections) {
        state->isWaitingForStore = false;
        resync(*state);
    }
}

void Directory::watch(CollectionState &state)
{
    if (!m_isWatchingStore) {
        state.isWatching = false;
        return;
    }
    state.isWatching = true;
    const std::uint64_t watchNumber = ++state.watchNumber;
    const TimePoint startedAt = EventLoop::now();
    m_store.watch(state.collection,
                  state.revision,
                  watchWait(state.collection),
                  [this, &state, watchNumber, startedAt](StoreOutcome outcome, const std::vector<Record> &records, std::uint64_t revision) {
                      if (watchNumber != state.watchNumber) {
                          replacedWatchEnded(state, outcome, records, revision);
                          return;
                      }
                      state.isWatching = false;
                      watchEnded(state, outcome, records, revision, startedAt);
                  });
}

void Directory::watchEnded(
    CollectionState &state, StoreOutcome outcome, const std::vector<Record> &records, std::uint64_t revision, TimePoint startedAt)
{
    if (outcome != StoreOutcome::Done) {
        updateStoreReachability(outcome == StoreOutcome::HistoryLost ? StoreOutcome::Done : outcome);
        retry(state, outcome);
        return;
    }
    state.backoff = {};
    state.revision = std::max(state.revision, revision);
    recordStoreConfirmation(state, EventLoop::now() - watchAnswerLatency);
    state.confirmedAt = std::max(state.confirmedAt, startedAt);
    applyEvents(state, records);
    updateStoreReachability(outcome);
    if (state.isWatching) {
        return; // the store became reachable again, and all watches were restarted
    }
    if (records.empty()) {
        scheduleWatch(state, decisions::Duration());
        return;
    }
    const TimePoint now = EventLoop::now();
    const bool isBurst = now - std::exchange(state.lastEventAt, now) < eventBurstGap;
    scheduleWatch(state, eventBatchDelay(state.collection, m_isRelay, isBurst));
}

/// A watch is replaced because its connection may have gone silent. If it was only slow, its answer is applied as far as it is news, so
/// that replacing watches again and again cannot keep an instance behind.
void Directory::replacedWatchEnded(CollectionState &state, StoreOutcome outcome, const std::vector<Record> &records, std::uint64_t revision)
{
    if (outcome != StoreOutcome::Done || revision <= state.revision) {
        return;
    }
    std::vector<Record> news;
    std::copy_if(records.begin(), records.end(), std::back_inserter(news), [&](const Record &record) {
        return record.revision > state.revision;
    });
    state.revision = revision;
    applyEvents(state, news);
}

void Directory::scheduleWatch(CollectionState &state, decisions::Duration delay)
{
    if (delay == decisions::Duration::zero()) {
        watch(state);
        return;
    }
    m_loop.after(delay, [this, &state, watchNumber = state.watchNumber] {
        if (watchNumber == state.watchNumber) {
            watch(state);
        }
    });
}

/// While the store is unreachable, one collection retries on behalf of all.
void Directory::retry(CollectionState &state, StoreOutcome outcome)
{
    if (outcome == StoreOutcome::HistoryLost) {
        LogEvent("history-lost").with("collection", collectionName(state.collection)).with("revision", state.revision);
        list(state);
        return;
    }
    if (m_storeProber != nullptr && m_storeProber != &state) {
        state.isWaitingForStore = true;
        return;
    }
    m_storeProber = &state;
    state.backoff = std::clamp<decisions::Duration>(state.backoff * 2, minBackoff, maxBackoff);
    m_loop.after(state.backoff, [this, &state] {
        if (m_storeProber != &state) {
            return;
        }
        if (m_isWatchingStore || !state.isLoaded) {
            resync(state);
        } else {
            m_storeProber = nullptr;
        }
    });
}

void Directory::updateStoreReachability(StoreOutcome outcome)
{
    const bool isReachable = outcome != StoreOutcome::Unavailable && outcome != StoreOutcome::Unknown;
    const bool isChanged = std::exchange(m_isStoreReachable, isReachable) != isReachable;
    if (isChanged) {
        LogEvent(isReachable ? "store-regained" : "store-lost", isReachable ? LogLevel::Info : LogLevel::Warning);
    }
    if (!isReachable) {
        return;
    }
    m_storeProber = nullptr;
    if (isChanged && m_isWatchingStore) {
        resyncAll();
        return;
    }
    for (CollectionState *state : m_collections) {
        if (std::exchange(state->isWaitingForStore, false)) {
            resync(*state);
        }
    }
}

/// The store has come back from an older copy. Nothing that is known by a revision of it counts any more: watches end, and all collections
/// are listed again. An instance that takes changes from relays receives the lists from them.
void Directory::storeEpochSeen(std::uint64_t epoch, TimePoint seenAt, const char *source)
{
    if (epoch == m_storeEpoch && seenAt < m_storeEpochSeenAt) {
        m_storeEpochSeenAt = seenAt;
        if (m_storeEpochListener) {
            m_storeEpochListener(epoch, seenAt);
        }
    }
    if (epoch <= m_storeEpoch) {
        return;
    }
    const bool isChange = m_storeEpoch != 0 || m_members.isLoaded; // otherwise this process has just started
    LogEvent("store-epoch-changed", isChange ? LogLevel::Warning : LogLevel::Info)
        .with("epoch", epoch)
        .with("previous", m_storeEpoch)
        .with("source", source);
    m_storeEpoch = epoch;
    m_storeEpochSeenAt = seenAt;
    m_storeEpochLearntAt = EventLoop::now();
    m_store.advanceEpoch(epoch);
    m_requestedDigests.clear();
    for (CollectionState *state : m_collections) {
        if (m_isWatchingStore && state->isLoaded) {
            ++state->watchNumber;
            state->isWatching = false;
            list(*state);
        }
    }
    m_loop.after(registrationRetention, [this] {
        removeRetained();
    });
    if (m_storeEpochListener) {
        m_storeEpochListener(epoch, seenAt);
    }
}

/// Whether the record is kept although the store's copy lacks it: its owner writes it again.
bool Directory::isRetained(const CollectionState &state, const Record &record) const
{
    const bool isRegistration = state.collection == Collection::Members || state.collection == Collection::Instances;
    return isRegistration && storeEpochOf(record.revision) < m_storeEpoch
           && EventLoop::now() - m_storeEpochLearntAt < registrationRetention;
}

void Directory::removeRetained()
{
    for (CollectionState *state : {&m_members, &m_instances}) {
        if (storeEpochOf(state->revision) < m_storeEpoch) {
            continue; // not listed in this epoch yet
        }
        const auto removed = std::erase_if(state->records, [&](const auto &entry) {
            return storeEpochOf(entry.second.revision) < m_storeEpoch && !isRetained(*state, entry.second);
        });
        if (removed > 0) {
            state->digest = computeDigest(*state);
            reportChange();
        }
    }
}

void Directory::applyList(CollectionState &state, const std::vector<Record> &records, std::uint64_t revision, TimePoint startedAt)
{
    // A list older than this directory, such as that of a peer that is behind, may hold records that have been removed since.
    const std::uint64_t knownRevision = state.isLoaded ? state.revision : 0;
    const bool isFirstList = !state.isLoaded;
    state.revision = std::max(state.revision, revision);
    std::set<std::string> listedNames;
    bool isChanged = false;
    for (const Record &record : records) {
        listedNames.insert(record.name);
        if (record.revision <= knownRevision && revision < knownRevision && !state.records.contains(record.name)) {
            continue;
        }
        isChanged = applyRecord(state, record, startedAt) || isChanged;
    }
    for (auto entry = state.records.begin(); entry != state.records.end();) {
        const bool isDeleted
            = !listedNames.contains(entry->first) && entry->second.revision <= revision && !isRetained(state, entry->second);
        isChanged = isChanged || isDeleted;
        entry = isDeleted ? state.records.erase(entry) : std::next(entry);
    }
    state.isLoaded = true;
    dropAppearances(state);
    state.digest = computeDigest(state);
    if (state.collection == Collection::Terms && m_termListener) {
        // Also reports that the services without a record have none: a home may then write the first one.
        m_termListener(ServiceName(), std::nullopt, revision, startedAt);
    }
    LogEvent("listed").with("collection", collectionName(state.collection)).with("records", records.size()).with("revision", revision);
    if (isChanged || isFirstList) {
        reportChange();
    }
}

/// Forgets when records appeared that are gone.
void Directory::dropAppearances(CollectionState &state)
{
    std::erase_if(state.appearedAt, [&](const auto &entry) {
        return !state.records.contains(entry.first);
    });
}

void Directory::reportChange()
{
    if (std::exchange(m_isChangeReportPending, true)) {
        return;
    }
    m_loop.post([this] {
        m_isChangeReportPending = false;
        if (m_changeListener) {
            m_changeListener();
        }
    });
}

/// Events of a watch describe past changes, so they are no evidence of the present state.
void Directory::applyEvents(CollectionState &state, const std::vector<Record> &records)
{
    bool isChanged = false;
    for (const Record &record : records) {
        isChanged = applyRecord(state, record, decisions::distantPast) || isChanged;
    }
    dropAppearances(state);
    state.digest = computeDigest(state);
    if (isChanged) {
        reportChange();
    }
}

bool Directory::applyRecord(CollectionState &state, const Record &record, TimePoint startedAt)
{
    const auto found = state.records.find(record.name);
    if (found != state.records.end() && found->second.revision > record.revision) {
        return false;
    }
    if (record.isRemoved) {
        state.records.erase(record.name);
        return true;
    }
    if (std::holds_alternative<std::monostate>(record.value)) {
        LogEvent("record-skipped", LogLevel::Warning).with("collection", collectionName(state.collection)).with("name", record.name);
        return state.records.erase(record.name) > 0;
    }
    const bool isChanged = found == state.records.end() || found->second.value != record.value;
    if (found == state.records.end() && state.isLoaded) {
        state.appearedAt[record.name] = EventLoop::now();
    }
    state.records[record.name] = record;
    if (const auto *configuration = std::get_if<FleetConfiguration>(&record.value)) {
        adoptConfiguration(*configuration, "store");
    }
    if (const auto *term = std::get_if<TermRecord>(&record.value)) {
        if (m_termListener) {
            m_termListener(term->service, *term, record.revision, startedAt);
        }
    }
    return isChanged;
}

void Directory::adoptConfiguration(const FleetConfiguration &configuration, const char *source)
{
    if (m_configuration && m_configuration->version >= configuration.version) {
        return;
    }
    LogEvent("configuration-adopted")
        .with("version", configuration.version)
        .with("previous", m_configuration ? m_configuration->version : 0)
        .with("routes", configuration.routes.size())
        .with("source", source);
    m_configuration = configuration;
}

void Directory::readTerm(const ServiceName &service)
{
    const TimePoint startedAt = EventLoop::now();
    m_store.read(Collection::Terms, service.text(), [this, service, startedAt](StoreOutcome outcome, const std::optional<Record> &record) {
        updateStoreReachability(outcome == StoreOutcome::Absent ? StoreOutcome::Done : outcome);
        if (outcome == StoreOutcome::Absent && m_termListener) {
            m_termListener(service, std::nullopt, firstOfStoreEpoch(m_storeEpoch), startedAt);
        }
        if (outcome == StoreOutcome::Done && record) {
            applyRecord(m_terms, *record, startedAt);
        }
    });
}

} // namespace rattanbeam::sessions::internal
