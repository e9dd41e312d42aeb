#include "rattanbeam/sessions/internal/directory.h"

#include "rattanbeam/kernel/logevent.h"

#include <algorithm>
#include <set>
#include <utility>

namespace rattanbeam::sessions::internal
{

using kernel::LogEvent;
using kernel::LogLevel;
using namespace std::chrono_literals;

namespace
{

// A watch that went silent shows only when its time is up, so what has a bound is asked for more often.
constexpr std::chrono::milliseconds membersWatchWait = 4s;
constexpr std::chrono::milliseconds plainWatchWait = 15s;
constexpr std::chrono::milliseconds leastWatchWait = 500ms;
constexpr std::chrono::milliseconds applySlack = 300ms; // between the end of a silent watch and the new configuration
constexpr decisions::Duration relaySlack = 500ms; // beyond a relay's watch, before its knowledge counts as old
constexpr decisions::Duration firstPause = 1000ms; // from a list to its watch, which peers may make needless
constexpr decisions::Duration answerTime = 20ms; // a watch's answer may be this old when it comes
constexpr decisions::Duration leastBackoff = 100ms;
constexpr decisions::Duration mostBackoff = 800ms;

/// Changes that come close together are taken by one call.
decisions::Duration pauseAfterEvents(Collection collection, bool isRelay)
{
    switch (collection) {
    case Collection::Configuration:
        return {};
    case Collection::Members:
        return isRelay ? 20ms : 200ms;
    case Collection::Instances:
        return 400ms;
    case Collection::Terms:
        return isRelay ? 50ms : 400ms;
    }
    return {};
}

/// Half of the bound is left to the instances that hear of a change from a relay.
std::chrono::milliseconds relayWatchWait(std::chrono::milliseconds bound)
{
    return std::max(leastWatchWait, bound / 2 - applySlack);
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
    : m_loop(loop), m_store(store), m_trust(relayWatchWait(configurationBound) + relaySlack), m_configurationBound(configurationBound)
{}

std::chrono::milliseconds Directory::watchWait(Collection collection) const
{
    switch (collection) {
    case Collection::Configuration:
        return m_isRelay ? relayWatchWait(m_configurationBound) : std::max(leastWatchWait, m_configurationBound - applySlack);
    case Collection::Members:
        return membersWatchWait;
    case Collection::Instances:
    case Collection::Terms:
        break;
    }
    return plainWatchWait;
}

void Directory::setRelay(bool isRelay)
{
    if (std::exchange(m_isRelay, isRelay) != isRelay) {
        updateFollowing();
        if (isRelay && m_configurations.isWatching) {
            watch(m_configurations); // for a shorter time
        }
    }
}

void Directory::tick()
{
    updateFollowing();
}

void Directory::updateFollowing()
{
    const bool mustFollow = m_isRelay || !isReady() || !m_trust.hasEnoughFreshPeers(EventLoop::now());
    if (std::exchange(m_isFollowing, mustFollow) == mustFollow) {
        return;
    }
    LogEvent(mustFollow ? "store-followed" : "store-left-to-peers").with("relay", m_isRelay ? "true" : "false");
    if (mustFollow) {
        followAll();
    }
}

std::uint64_t Directory::digestOf(const Followed &followed)
{
    std::uint64_t digest = 0;
    for (const auto &[name, record] : followed.records) {
        digest ^= decisions::stableHash(name + '@' + std::to_string(record.revision));
    }
    return digest;
}

void Directory::registered(const Record &record)
{
    changed(m_instances, {record});
}

void Directory::start()
{
    for (Followed *followed : m_collections) {
        list(*followed);
    }
}

std::vector<MemberRecord> Directory::members() const
{
    return valuesOf<MemberRecord>(m_members.records);
}

std::vector<InstanceRecord> Directory::instances() const
{
    return valuesOf<InstanceRecord>(m_instances.records);
}

std::pair<std::optional<TermRecord>, std::uint64_t> Directory::term(const ServiceName &service) const
{
    const auto found = m_terms.records.find(service.text());
    if (found == m_terms.records.end()) {
        return {std::nullopt, 0};
    }
    return {std::get<TermRecord>(found->second.value), found->second.revision};
}

void Directory::list(Followed &followed)
{
    const TimePoint startedAt = EventLoop::now();
    m_store.list(followed.collection,
                 [this, &followed, startedAt](StoreOutcome outcome, const std::vector<Record> &records, std::uint64_t revision) {
                     if (outcome != StoreOutcome::Done) {
                         storeAnswered(outcome);
                         retry(followed, outcome);
                         return;
                     }
                     followed.backoff = {};
                     confirm(followed, startedAt);
                     listed(followed, records, revision, startedAt);
                     storeAnswered(outcome);
                     if (!followed.isWatching) {
                         watchAfter(followed,
                                    m_isRelay || followed.collection == Collection::Configuration ? decisions::Duration() : firstPause);
                     }
                 });
}

/// The store has shown all that it held at `asOf`.
void Directory::confirm(const Followed &followed, TimePoint asOf)
{
    if (followed.collection == Collection::Configuration) {
        m_storeConfirmedAt = std::max(m_storeConfirmedAt, asOf);
    }
}

void Directory::follow(Followed &followed)
{
    // A watch of a store that is away may hang for long; a list ends soon.
    if (!followed.isKnown || !m_isStoreReachable) {
        list(followed);
    } else {
        watch(followed);
    }
}

/// Watches that began before the store went away may never end, so all begin anew.
void Directory::followAll()
{
    for (Followed *followed : m_collections) {
        followed->isParked = false;
        follow(*followed);
    }
}

void Directory::watch(Followed &followed)
{
    if (!m_isFollowing) {
        followed.isWatching = false;
        return;
    }
    followed.isWatching = true;
    const std::uint64_t attempt = ++followed.attempt;
    m_store.watch(followed.collection,
                  followed.revision,
                  watchWait(followed.collection),
                  [this, &followed, attempt](StoreOutcome outcome, const std::vector<Record> &records, std::uint64_t revision) {
                      if (attempt != followed.attempt) {
                          return; // another watch took its place
                      }
                      followed.isWatching = false;
                      watchEnded(followed, outcome, records, revision);
                  });
}

void Directory::watchEnded(Followed &followed, StoreOutcome outcome, const std::vector<Record> &records, std::uint64_t revision)
{
    if (outcome != StoreOutcome::Done) {
        storeAnswered(outcome == StoreOutcome::HistoryLost ? StoreOutcome::Done : outcome);
        retry(followed, outcome);
        return;
    }
    followed.backoff = {};
    followed.revision = std::max(followed.revision, revision);
    confirm(followed, EventLoop::now() - answerTime);
    changed(followed, records);
    storeAnswered(outcome);
    if (followed.isWatching) {
        return; // the store is back, and all watches have begun anew
    }
    watchAfter(followed, records.empty() ? decisions::Duration() : pauseAfterEvents(followed.collection, m_isRelay));
}

void Directory::watchAfter(Followed &followed, decisions::Duration pause)
{
    if (pause == decisions::Duration::zero()) {
        watch(followed);
        return;
    }
    m_loop.after(pause, [this, &followed, attempt = followed.attempt] {
        if (attempt == followed.attempt) {
            watch(followed);
        }
    });
}

/// While the store is away one collection tries it for all.
void Directory::retry(Followed &followed, StoreOutcome outcome)
{
    if (outcome == StoreOutcome::HistoryLost) {
        LogEvent("history-lost").with("collection", collectionName(followed.collection)).with("revision", followed.revision);
        list(followed);
        return;
    }
    if (m_prober != nullptr && m_prober != &followed) {
        followed.isParked = true;
        return;
    }
    m_prober = &followed;
    followed.backoff = std::clamp<decisions::Duration>(followed.backoff * 2, leastBackoff, mostBackoff);
    m_loop.after(followed.backoff, [this, &followed] {
        if (m_prober != &followed) {
            return;
        }
        if (m_isFollowing || !followed.isKnown) {
            follow(followed);
        } else {
            m_prober = nullptr;
        }
    });
}

void Directory::storeAnswered(StoreOutcome outcome)
{
    const bool isReachable = outcome != StoreOutcome::Unavailable && outcome != StoreOutcome::Unknown;
    const bool isChanged = std::exchange(m_isStoreReachable, isReachable) != isReachable;
    if (isChanged) {
        LogEvent(isReachable ? "store-regained" : "store-lost", isReachable ? LogLevel::Info : LogLevel::Warning);
    }
    if (!isReachable) {
        return;
    }
    m_prober = nullptr;
    if (isChanged && m_isFollowing) {
        followAll();
        return;
    }
    for (Followed *followed : m_collections) {
        if (std::exchange(followed->isParked, false)) {
            follow(*followed);
        }
    }
}

void Directory::listed(Followed &followed, const std::vector<Record> &records, std::uint64_t revision, TimePoint startedAt)
{
    followed.revision = std::max(followed.revision, revision);
    followed.isKnown = true;
    std::set<std::string> names;
    bool isChanged = false;
    for (const Record &record : records) {
        names.insert(record.name);
        isChanged = apply(followed, record, startedAt) || isChanged;
    }
    for (auto each = followed.records.begin(); each != followed.records.end();) {
        const bool isGone = !names.contains(each->first) && each->second.revision <= revision;
        isChanged = isChanged || isGone;
        each = isGone ? followed.records.erase(each) : std::next(each);
    }
    followed.digest = digestOf(followed);
    if (followed.collection == Collection::Terms && m_termListener) {
        // Services without a record are told so, too: a home may then write the first one.
        m_termListener(ServiceName(), std::nullopt, revision, startedAt);
    }
    LogEvent("listed").with("collection", collectionName(followed.collection)).with("records", records.size()).with("revision", revision);
    if (isChanged && m_listener) {
        m_listener();
    }
}

/// Events are history: they show what was, so they are no evidence of the present.
void Directory::changed(Followed &followed, const std::vector<Record> &records)
{
    bool isChanged = false;
    for (const Record &record : records) {
        isChanged = apply(followed, record, decisions::distantPast) || isChanged;
    }
    followed.digest = digestOf(followed);
    if (isChanged && m_listener) {
        m_listener();
    }
}

bool Directory::apply(Followed &followed, const Record &record, TimePoint startedAt)
{
    const auto found = followed.records.find(record.name);
    if (found != followed.records.end() && found->second.revision > record.revision) {
        return false;
    }
    if (record.isRemoved) {
        followed.records.erase(record.name);
        return true;
    }
    if (std::holds_alternative<std::monostate>(record.value)) {
        LogEvent("record-skipped", LogLevel::Warning).with("collection", collectionName(followed.collection)).with("name", record.name);
        return followed.records.erase(record.name) > 0;
    }
    const bool isChanged = found == followed.records.end() || found->second.value != record.value;
    followed.records[record.name] = record;
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
        storeAnswered(outcome == StoreOutcome::Absent ? StoreOutcome::Done : outcome);
        if (outcome == StoreOutcome::Absent && m_termListener) {
            m_termListener(service, std::nullopt, 0, startedAt);
        }
        if (outcome == StoreOutcome::Done && record) {
            apply(m_terms, *record, startedAt);
        }
    });
}

} // namespace rattanbeam::sessions::internal
