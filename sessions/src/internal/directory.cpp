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
constexpr decisions::Duration peerLookPause = 1500ms;
constexpr decisions::Duration leastBackoff = 100ms;
constexpr decisions::Duration mostBackoff = 800ms;

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
    : m_loop(loop), m_store(store), m_configurationBound(configurationBound)
{}

std::chrono::milliseconds Directory::watchWait(Collection collection) const
{
    if (!m_areWatchesShort || collection == Collection::Instances || collection == Collection::Terms) {
        return plainWatchWait;
    }
    return collection == Collection::Members ? membersWatchWait : std::max(leastWatchWait, m_configurationBound - applySlack);
}

void Directory::setWatchesShort(bool isShort)
{
    if (std::exchange(m_areWatchesShort, isShort) == isShort || !isShort) {
        return;
    }
    for (Followed *followed : {&m_configurations, &m_members}) {
        if (followed->isWatching) {
            watch(*followed);
        }
    }
}

std::uint64_t Directory::membersDigest() const
{
    std::uint64_t digest = 0;
    for (const auto &[name, record] : m_members.records) {
        digest ^= decisions::stableHash(name + '@' + std::to_string(record.revision));
    }
    return digest;
}

void Directory::peerKnows(std::uint64_t configurationVersion, std::uint64_t membersDigest)
{
    if (!isReady()) {
        return;
    }
    const TimePoint now = EventLoop::now();
    const bool isBehind = configurationVersion > m_configuration->version;
    // A difference that lasts over two looks is more than an event on its way.
    const bool isDifferent = membersDigest != 0 && membersDigest != this->membersDigest() && membersDigest == m_peerDigest;
    m_peerDigest = membersDigest;
    if ((!isBehind && !isDifferent) || now - m_peerLookAt < peerLookPause) {
        return;
    }
    m_peerLookAt = now;
    LogEvent("behind-a-peer").with("version", m_configuration->version).with("peer_version", configurationVersion);
    for (Followed *followed : {&m_configurations, &m_members}) {
        if (followed->isWatching && (isBehind || followed == &m_members)) {
            watch(*followed);
        }
    }
}

void Directory::start()
{
    for (Followed *followed : {&m_configurations, &m_members, &m_instances, &m_terms}) {
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
                     storeAnswered(outcome);
                     if (outcome != StoreOutcome::Done) {
                         retry(followed, outcome, false);
                         return;
                     }
                     followed.backoff = {};
                     listed(followed, records, revision, startedAt);
                     watch(followed);
                 });
}

/// Watches that began before the store went away may never end.
void Directory::restartWatches()
{
    for (Followed *followed : {&m_configurations, &m_members, &m_instances, &m_terms}) {
        if (followed->isKnown && followed->isWatching) {
            watch(*followed);
        }
    }
}

void Directory::watch(Followed &followed)
{
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
                      storeAnswered(outcome == StoreOutcome::HistoryLost ? StoreOutcome::Done : outcome);
                      if (outcome != StoreOutcome::Done) {
                          retry(followed, outcome, true);
                          return;
                      }
                      followed.backoff = {};
                      followed.revision = std::max(followed.revision, revision);
                      changed(followed, records);
                      watch(followed);
                  });
}

void Directory::retry(Followed &followed, StoreOutcome outcome, bool isWatch)
{
    if (outcome == StoreOutcome::HistoryLost) {
        LogEvent("history-lost").with("collection", collectionName(followed.collection)).with("revision", followed.revision);
        list(followed);
        return;
    }
    followed.backoff = std::clamp<decisions::Duration>(followed.backoff * 2, leastBackoff, mostBackoff);
    m_loop.after(followed.backoff, [this, &followed, isWatch] {
        if (isWatch) {
            watch(followed);
        } else {
            list(followed);
        }
    });
}

void Directory::storeAnswered(StoreOutcome outcome)
{
    const bool isReachable = outcome != StoreOutcome::Unavailable && outcome != StoreOutcome::Unknown;
    if (isReachable && !m_isStoreReachable) {
        restartWatches();
    }
    if (isReachable != m_isStoreReachable) {
        m_isStoreReachable = isReachable;
        LogEvent(isReachable ? "store-regained" : "store-lost", isReachable ? LogLevel::Info : LogLevel::Warning);
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
        isChanged = apply(followed, record, decisions::longAgo) || isChanged;
    }
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

link::v1::Snapshot Directory::snapshot() const
{
    link::v1::Snapshot snapshot;
    if (!isReady()) {
        return snapshot;
    }
    snapshot.set_known(true);
    auto *configuration = snapshot.mutable_configuration();
    configuration->set_version(m_configuration->version);
    configuration->set_transaction_idle_ms(m_configuration->transactionIdleMs);
    for (const Route &route : m_configuration->routes) {
        auto *each = configuration->add_routes();
        each->set_database(route.database.text());
        each->set_service(route.service.text());
        each->set_consistency(static_cast<std::uint32_t>(route.consistency));
        each->set_rank(static_cast<std::uint32_t>(route.rank));
        each->set_timeout_ms(route.timeoutMs);
        each->set_objective_ms(route.objectiveMs);
        each->set_max_staleness_ms(route.stalenessLimitMs);
    }
    for (const ServiceLimits &limits : m_configuration->services) {
        auto *each = configuration->add_services();
        each->set_service(limits.service.text());
        each->set_max_connections(limits.maxConnections);
    }
    for (const auto &[name, record] : m_members.records) {
        const auto &member = std::get<MemberRecord>(record.value);
        auto *each = snapshot.add_members();
        each->set_id(member.id.text());
        each->set_service(member.service.text());
        each->set_address(member.address);
        each->set_domain(member.domain.text());
        each->set_slots(member.slots);
        each->set_leaving(member.isLeaving);
        each->set_says_primary(member.saysPrimary);
        each->set_incarnation(member.incarnation);
        each->set_revision(record.revision);
    }
    for (const auto &[name, record] : m_instances.records) {
        const auto &instance = std::get<InstanceRecord>(record.value);
        auto *each = snapshot.add_instances();
        each->set_id(instance.id.text());
        each->set_address(instance.address);
        each->set_domain(instance.domain.text());
        each->set_incarnation(instance.incarnation);
        each->set_leaving(instance.isLeaving);
        each->set_revision(record.revision);
    }
    for (const auto &[name, record] : m_terms.records) {
        const auto &term = std::get<TermRecord>(record.value);
        auto *each = snapshot.add_terms();
        each->set_service(term.service.text());
        each->set_generation(term.generation);
        each->set_primary(term.primary.text());
        for (const std::string &home : term.homes) {
            each->add_homes(home);
        }
        each->set_term(term.term);
        each->set_revision(record.revision);
    }
    return snapshot;
}

void Directory::merge(const link::v1::Snapshot &snapshot)
{
    if (!snapshot.known()) {
        return;
    }
    FleetConfiguration configuration;
    configuration.version = snapshot.configuration().version();
    configuration.transactionIdleMs = snapshot.configuration().transaction_idle_ms();
    for (const auto &each : snapshot.configuration().routes()) {
        Route route;
        route.database = decisions::DatabaseName(each.database());
        route.service = ServiceName(each.service());
        route.consistency = static_cast<Consistency>(std::min(each.consistency(), 2U));
        route.rank = static_cast<decisions::Rank>(std::min(each.rank(), 2U));
        route.timeoutMs = each.timeout_ms();
        route.objectiveMs = each.objective_ms();
        route.stalenessLimitMs = each.max_staleness_ms();
        configuration.routes.push_back(route);
    }
    for (const auto &each : snapshot.configuration().services()) {
        configuration.services.push_back({ServiceName(each.service()), each.max_connections()});
    }
    adoptConfiguration(configuration, "peer");
    const TimePoint longBefore = decisions::longAgo; // a peer's word is no evidence of the present
    for (const auto &each : snapshot.members()) {
        const MemberRecord member{MemberId(each.id()),
                                  ServiceName(each.service()),
                                  each.address(),
                                  decisions::FailureDomain(each.domain()),
                                  each.slots(),
                                  each.leaving(),
                                  each.says_primary(),
                                  each.incarnation()};
        apply(m_members, {each.id(), each.revision(), false, member}, longBefore);
    }
    for (const auto &each : snapshot.instances()) {
        const InstanceRecord instance{
            decisions::InstanceId(each.id()), each.address(), decisions::FailureDomain(each.domain()), each.incarnation(), each.leaving()};
        apply(m_instances, {each.id(), each.revision(), false, instance}, longBefore);
    }
    for (const auto &each : snapshot.terms()) {
        const TermRecord term{ServiceName(each.service()),
                              each.generation(),
                              MemberId(each.primary()),
                              std::vector<std::string>(each.homes().begin(), each.homes().end()),
                              each.term()};
        apply(m_terms, {each.service(), each.revision(), false, term}, longBefore);
    }
    m_members.isKnown = true;
    m_instances.isKnown = true;
    LogEvent("snapshot-merged").with("version", configuration.version).with("members", snapshot.members_size());
    if (m_listener) {
        m_listener();
    }
}

} // namespace rattanbeam::sessions::internal
