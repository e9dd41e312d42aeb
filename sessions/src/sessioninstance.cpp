#include "rattanbeam/sessions/sessioninstance.h"

#include "rattanbeam/decisions/session/lagmeter.h"
#include "rattanbeam/decisions/session/storeepoch.h"
#include "rattanbeam/kernel/logevent.h"
#include "rattanbeam/kernel/metrics.h"
#include "rattanbeam/sessions/internal/directory.h"
#include "rattanbeam/sessions/internal/entryservice.h"
#include "rattanbeam/sessions/internal/fleetmonitor.h"
#include "rattanbeam/sessions/internal/homeservice.h"
#include "rattanbeam/sessions/internal/instancelink.h"
#include "rattanbeam/sessions/internal/peerlinks.h"
#include "rattanbeam/sessions/internal/quotaservice.h"

#include <algorithm>
#include <set>
#include <sstream>
#include <utility>

namespace rattanbeam::sessions
{

using kernel::LogEvent;
using kernel::LogLevel;
using namespace std::chrono_literals;

namespace
{

constexpr decisions::Duration tickInterval = 10ms;
constexpr decisions::Duration idleTickInterval = 30ms; // while no home runs here: the wake-ups are most of what an idle instance costs
constexpr decisions::Duration drainPollInterval = 50ms;
constexpr decisions::Duration rotationExitDelay = 2200ms; // until the load balancer has taken the instance out of rotation
constexpr decisions::Duration drainEndMargin = 900ms; // a drain is cut off this long before the grace period ends
constexpr decisions::Duration registrationRetryDelay = 300ms;
constexpr decisions::Duration snapshotRequestDelay = 700ms; // a start without the store asks peers after this delay, repeatedly

std::uint64_t millisecondsSinceEpoch()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

/// The text as the value of a metric's label.
std::string labelText(const std::string &text)
{
    std::string escaped;
    for (const char character : text) {
        if (character == '\n') {
            escaped += "\\n";
            continue;
        }
        if (character == '"' || character == '\\') {
            escaped += '\\';
        }
        escaped += character;
    }
    return escaped;
}

} // namespace

class SessionInstance::Implementation
{
public:
    Implementation(EventLoop &eventLoop, const SessionSettings &instanceSettings, Ports instancePorts)
        : loop(eventLoop)
        , settings(instanceSettings)
        , ports(std::move(instancePorts))
        , incarnation(millisecondsSinceEpoch())
        , directory(loop, *ports.store, settings.configurationBound)
        , peerLinks(
              loop,
              {.frameArrived =
                   [this](const std::string &address, internal::PeerLinks::StreamNumber stream, const link::v1::Frame &frame) {
                       handlePeerReply({address, stream}, frame);
                   },
               .linkLost =
                   [this](const std::string &address, internal::PeerLinks::StreamNumber stream, const std::deque<link::v1::Frame> &unsent) {
                       directory.peerLost(address);
                       entry.linkLost({address, stream}, unsent);
                   },
               .linkSilent =
                   [this](const std::string &address, internal::PeerLinks::StreamNumber stream) {
                       directory.peerLost(address);
                       entry.linkSilent({address, stream});
                   },
               .pongArrived =
                   [this](const std::string &address, const link::v1::Pong &pong, TimePoint pingSentAt) {
                       pongArrived(address, pong, pingSentAt);
                   }})
        , quotas(settings, directory, peerLinks, metrics)
        , homes(loop, settings, incarnation, directory, peerLinks, quotas, ports)
        , entry(loop, settings, directory, peerLinks, homes, metrics)
        , fleetMonitor(loop, settings, *ports.store, directory, peerLinks, homes, entry)
    {}

    bool start();
    void drain(std::function<void()> closeFront, const std::function<void()> &drained);
    void registerSelf();
    void storeEpochChanged(std::uint64_t epoch, TimePoint seenAt);
    void scheduleTick();
    void measureLag();
    bool isLeavingOrOverloaded() const;
    InstanceRecord ownRecord() const;
    void pongArrived(const std::string &address, const link::v1::Pong &pong, TimePoint pingSentAt);
    void fleetChanged();
    void updatePersistentPeers();
    void announceAvailability();
    void requestSnapshot();
    internal::FrameEvents acceptPeer(const std::shared_ptr<internal::FrameStream> &stream);
    void handlePeerRequest(const std::string &peerName, const std::shared_ptr<internal::FrameStream> &stream, const link::v1::Frame &frame);
    void withholdRows(const std::string &peerName, const link::v1::TransactionEnd &transaction, link::v1::StatementReply &reply);
    void handlePeerReply(const internal::HomeStream &home, const link::v1::Frame &frame);
    void pollDrain(const std::function<void()> &drained);

    EventLoop &loop;
    SessionSettings settings;
    Ports ports;
    std::uint64_t incarnation;
    kernel::Metrics metrics;
    internal::Directory directory;
    internal::PeerLinks peerLinks;
    internal::QuotaService quotas;
    internal::HomeService homes;
    internal::EntryService entry;
    internal::FleetMonitor fleetMonitor;
    std::unique_ptr<internal::InstanceServer> server;
    std::set<std::shared_ptr<internal::FrameStream>> peerStreams;
    std::uint64_t lastPeerNumber = 0;
    decisions::session::LagMeter lagMeter{tickInterval};
    std::uint64_t registrationRevision = 0;
    bool isRegistering = false;
    bool isLeaving = false;
    bool isReadyLogged = false;
    TimePoint drainStartedAt = decisions::distantPast;
};

SessionInstance::SessionInstance(EventLoop &loop, const SessionSettings &settings, Ports ports)
    : m_implementation(std::make_unique<Implementation>(loop, settings, std::move(ports)))
{}

SessionInstance::~SessionInstance() = default;

bool SessionInstance::start()
{
    return m_implementation->start();
}

FrontHandler &SessionInstance::front()
{
    return m_implementation->entry;
}

bool SessionInstance::isReady() const
{
    return m_implementation->directory.isReady() && !m_implementation->isLeaving && !m_implementation->fleetMonitor.isIsolated();
}

void SessionInstance::drain(std::function<void()> closeFront, const std::function<void()> &drained)
{
    m_implementation->drain(std::move(closeFront), drained);
}

kernel::Metrics &SessionInstance::metrics()
{
    return m_implementation->metrics;
}

std::string SessionInstance::metricsText() const
{
    std::ostringstream text;
    for (const auto &counter : m_implementation->metrics.counters()) {
        text << "rattanbeam_" << counter.name << "_total " << counter.value << '\n';
    }
    for (const auto &latency : m_implementation->metrics.latencies()) {
        text << "rattanbeam_" << latency.name << "_seconds_count " << latency.count << '\n';
        text << "rattanbeam_" << latency.name << "_seconds{quantile=\"0.5\"} " << static_cast<double>(latency.median.count()) / 1e6 << '\n';
        text << "rattanbeam_" << latency.name << "_seconds{quantile=\"0.99\"} " << static_cast<double>(latency.p99.count()) / 1e6 << '\n';
    }
    text << "rattanbeam_sessions " << m_implementation->entry.sessions() << '\n';
    text << "rattanbeam_member_connections " << m_implementation->homes.connections() << '\n';
    text << "rattanbeam_open_transactions " << m_implementation->homes.openTransactions() << '\n';
    for (const auto &[service, counters] : m_implementation->homes.connectionCounters()) {
        const std::string label = "{service=\"" + service.text() + "\"} ";
        text << "rattanbeam_member_connections_opened_total" << label << counters.opened << '\n';
        text << "rattanbeam_member_connections_closed_for_room_total" << label << counters.closedForRoom << '\n';
        text << "rattanbeam_member_connections_refused_total" << label << counters.refusedAsOverloaded << '\n';
    }
    text << "rattanbeam_quota_delegations " << m_implementation->quotas.delegations() << '\n';
    text << "rattanbeam_quota_waiting " << m_implementation->quotas.waiting() << '\n';
    for (const auto &[service, limits] : m_implementation->homes.memberLimits()) {
        for (const auto &[member, limit] : limits) {
            text << "rattanbeam_member_limit{service=\"" << labelText(service.text()) << "\",member=\"" << labelText(member.text())
                 << "\"} " << limit << '\n';
        }
    }
    text << "rattanbeam_forwarded_bytes " << m_implementation->entry.forwardedBytes() << '\n';
    text << "rattanbeam_accepted_bytes " << m_implementation->homes.acceptedBytes() << '\n';
    text << "rattanbeam_refused_for_memory_total " << m_implementation->homes.refusedForMemory() << '\n';
    text << "rattanbeam_store_epoch " << m_implementation->directory.storeEpoch() << '\n';
    return text.str();
}

bool SessionInstance::Implementation::start()
{
    server = std::make_unique<internal::InstanceServer>(
        loop, settings.peerAddress, [this](const std::shared_ptr<internal::FrameStream> &stream) {
            return acceptPeer(stream);
        });
    if (!server->isListening()) {
        LogEvent("bind-failed", LogLevel::Error).with("address", settings.peerAddress);
        return false;
    }
    directory.onChange([this] {
        fleetChanged();
    });
    directory.onSnapshotNeeded([this](const std::string &address, const link::v1::SnapshotRequest &request) {
        link::v1::Frame frame;
        *frame.mutable_snapshot_request() = request;
        peerLinks.send(address, frame);
    });
    directory.onTermRecord(
        [this](const ServiceName &service, const std::optional<TermRecord> &record, std::uint64_t revision, TimePoint startedAt) {
            homes.termSeen(service, record, revision, startedAt);
        });
    directory.onStoreEpoch([this](std::uint64_t epoch, TimePoint seenAt) {
        storeEpochChanged(epoch, seenAt);
    });
    directory.start();
    registerSelf();
    scheduleTick();
    fleetMonitor.start();
    loop.after(snapshotRequestDelay, [this] {
        requestSnapshot();
    });
    return true;
}

void SessionInstance::Implementation::scheduleTick()
{
    const auto nextInterval = [this] {
        const decisions::Duration interval = homes.isIdle() ? idleTickInterval : tickInterval;
        lagMeter.setInterval(interval);
        return interval;
    };
    loop.every(nextInterval, [this] {
        measureLag();
        peerLinks.tick();
        directory.tick();
        quotas.tick();
        homes.tick();
        entry.tick();
    });
}

void SessionInstance::Implementation::measureLag()
{
    const bool wasOverloaded = lagMeter.isOverloaded();
    const decisions::Duration pause = lagMeter.recordTick(EventLoop::now());
    if (pause > decisions::Duration::zero()) {
        LogEvent("paused", LogLevel::Warning).with("ms", std::chrono::duration_cast<std::chrono::milliseconds>(pause).count());
        peerLinks.paused(pause);
        homes.paused(pause);
    }
    if (lagMeter.isOverloaded() != wasOverloaded) {
        LogEvent(wasOverloaded ? "overload-ended" : "overloaded", wasOverloaded ? LogLevel::Info : LogLevel::Warning)
            .with("lag_us", std::chrono::duration_cast<std::chrono::microseconds>(lagMeter.averageLag()).count());
        announceAvailability();
    }
}

void SessionInstance::Implementation::fleetChanged()
{
    homes.fleetChanged();
    quotas.fleetChanged(homes.rankings());
    directory.setRelay(homes.isRelay());
    updatePersistentPeers();
    if (directory.isReady() && !std::exchange(isReadyLogged, true)) {
        LogEvent("ready").with("version", directory.configuration()->version).with("members", directory.members().size());
    }
    if (!directory.instanceRecords().contains(settings.instance.text()) && registrationRevision != 0) {
        registerSelf(); // another instance removed the record because it could not reach this one
    }
}

InstanceRecord SessionInstance::Implementation::ownRecord() const
{
    return {settings.instance, settings.peerAddress, settings.domain, incarnation, isLeaving, settings.processorMilli};
}

void SessionInstance::Implementation::updatePersistentPeers()
{
    std::set<std::string> addresses;
    for (const InstanceRecord &relay : homes.isRelay() ? homes.relays() : decisions::session::relaysOf(ownRecord(), homes.relays())) {
        addresses.insert(relay.address);
    }
    addresses.erase(settings.peerAddress);
    peerLinks.setPersistentPeers(addresses);
}

void SessionInstance::Implementation::pongArrived(const std::string &address, const link::v1::Pong &pong, TimePoint pingSentAt)
{
    internal::PeerDirectoryState peer;
    peer.address = address;
    const auto &records = directory.instanceRecords();
    peer.isSameDomain = std::any_of(records.begin(), records.end(), [&](const auto &record) {
        const auto &instance = std::get<InstanceRecord>(record.second.value);
        return instance.address == address && instance.domain == settings.domain;
    });
    peer.configurationVersion = pong.configuration_version();
    peer.membersDigest = pong.members_digest();
    peer.instancesDigest = pong.instances_digest();
    peer.termsDigest = pong.terms_digest();
    peer.storeEpoch = pong.store_epoch();
    peer.storeEpochSeenAt = EventLoop::now() - std::chrono::milliseconds(pong.store_epoch_age_ms());
    if (pong.has_members_age_ms()) {
        peer.membersConfirmedAt = pingSentAt - std::chrono::milliseconds(pong.members_age_ms());
    }
    if (pong.follows_store()) {
        peer.confirmedAt = pingSentAt - std::chrono::milliseconds(pong.store_age_ms());
    }
    directory.peerReported(peer);
}

bool SessionInstance::Implementation::isLeavingOrOverloaded() const
{
    return isLeaving || lagMeter.isOverloaded();
}

/// Tells homes, fleet monitor and peers whether this instance takes new work. While it takes none, peers
/// send their requests to other instances.
void SessionInstance::Implementation::announceAvailability()
{
    homes.setRedirecting(isLeavingOrOverloaded());
    fleetMonitor.setRedirecting(isLeavingOrOverloaded());
    for (const auto &stream : peerStreams) {
        link::v1::Frame frame;
        frame.mutable_pong()->set_leaving(isLeavingOrOverloaded());
        stream->write(frame);
    }
}

void SessionInstance::Implementation::registerSelf()
{
    if (std::exchange(isRegistering, true)) {
        return;
    }
    const InstanceRecord record = ownRecord();
    ports.store->write(
        Collection::Instances,
        settings.instance.text(),
        record,
        registrationRevision,
        [this, record](StoreOutcome outcome, const std::optional<Record> &current) {
            isRegistering = false;
            if (outcome == StoreOutcome::Done && current) {
                registrationRevision = current->revision;
                directory.applyOwnRegistration(*current);
                if (record.isLeaving != isLeaving) {
                    registerSelf();
                }
                return;
            }
            const bool isConflict = outcome == StoreOutcome::Conflict && current;
            registrationRevision = isConflict ? current->revision : outcome == StoreOutcome::Absent ? 0 : registrationRevision;
            if (isConflict && current->value == RecordValue(record)) {
                directory.applyOwnRegistration(*current);
                return; // an earlier write without an answer has succeeded, or the store's older copy holds it
            }
            loop.after(isConflict ? decisions::Duration(1ms) : registrationRetryDelay, [this] {
                registerSelf();
            });
        });
}

/// The store may have lost what this instance wrote: writes its registration again, and tells the homes.
void SessionInstance::Implementation::storeEpochChanged(std::uint64_t epoch, TimePoint seenAt)
{
    homes.storeEpochChanged(epoch, seenAt);
    const bool wasRegistered = storeEpochOf(registrationRevision) < epoch && std::exchange(registrationRevision, 0) != 0;
    if (wasRegistered) {
        // Not all instances in the same moment, in which the store has just come back.
        const auto delay = std::chrono::milliseconds(decisions::stableHash(settings.instance.text() + std::to_string(epoch)) % 300);
        loop.after(delay, [this] {
            if (registrationRevision == 0) {
                registerSelf();
            }
        });
    }
}

void SessionInstance::Implementation::requestSnapshot()
{
    if (directory.isReady()) {
        return;
    }
    for (const std::string &seed : settings.seeds) {
        if (seed != settings.peerAddress) {
            link::v1::Frame frame;
            frame.mutable_snapshot_request()->set_number(1);
            peerLinks.send(seed, frame);
        }
    }
    loop.after(snapshotRequestDelay, [this] {
        requestSnapshot();
    });
}

internal::FrameEvents SessionInstance::Implementation::acceptPeer(const std::shared_ptr<internal::FrameStream> &stream)
{
    const std::string peerName = "peer-" + std::to_string(++lastPeerNumber);
    peerStreams.insert(stream);
    internal::FrameEvents events;
    events.arrived = [this, peerName, stream](const link::v1::Frame &frame) {
        handlePeerRequest(peerName, stream, frame);
    };
    events.ended = [this, peerName, stream] {
        peerStreams.erase(stream);
        homes.entryLost(peerName);
    };
    return events;
}

void SessionInstance::Implementation::handlePeerRequest(const std::string &peerName,
                                                        const std::shared_ptr<internal::FrameStream> &stream,
                                                        const link::v1::Frame &frame)
{
    link::v1::Frame answer;
    link::v1::TransactionEnd key;
    key.set_session(frame.statement().session());
    key.set_transaction(frame.statement().transaction());
    switch (frame.body_case()) {
    case link::v1::Frame::kPing:
        answer.mutable_pong()->set_number(frame.ping().number());
        answer.mutable_pong()->set_leaving(isLeavingOrOverloaded());
        directory.fillPong(*answer.mutable_pong());
        stream->write(answer);
        break;
    case link::v1::Frame::kStatement:
        homes.handleStatement(peerName, frame.statement(), [this, peerName, stream, key](const link::v1::StatementReply &reply) {
            link::v1::Frame message;
            *message.mutable_reply() = reply;
            if (reply.rows_size() > 0 && stream->unwrittenBytes() > settings.clients.maxAcceptedBytes) {
                withholdRows(peerName, key, *message.mutable_reply());
            }
            stream->write(message);
        });
        break;
    case link::v1::Frame::kTransactionEnd:
        homes.endTransaction(peerName, frame.transaction_end());
        break;
    case link::v1::Frame::kProbe:
        homes.probe(frame.probe(), [stream, number = frame.probe().number()](bool isReachable) {
            link::v1::Frame message;
            message.mutable_probe_reply()->set_number(number);
            message.mutable_probe_reply()->set_reachable(isReachable);
            stream->write(message);
        });
        break;
    case link::v1::Frame::kFence:
        *answer.mutable_fence_reply() = homes.yieldLease(frame.fence());
        stream->write(answer);
        break;
    case link::v1::Frame::kQuotaRequest:
        *answer.mutable_quota_reply() = quotas.handleRequest(frame.quota_request());
        stream->write(answer);
        break;
    case link::v1::Frame::kSnapshotRequest:
        *answer.mutable_snapshot() = directory.snapshot(frame.snapshot_request());
        answer.mutable_snapshot()->set_number(frame.snapshot_request().number());
        stream->write(answer);
        break;
    default:
        break;
    }
}

/// Replaces the answer by an error that promises nothing, and ends the transaction, which failed for the client.
void SessionInstance::Implementation::withholdRows(const std::string &peerName,
                                                   const link::v1::TransactionEnd &transaction,
                                                   link::v1::StatementReply &reply)
{
    metrics.count("answers_withheld");
    reply.clear_rows();
    reply.clear_signature();
    reply.set_error(static_cast<std::uint32_t>(StatementError::TimedOut));
    reply.set_error_text("entry-reads-too-slowly");
    if (transaction.transaction() != 0) {
        reply.set_is_open(false);
        loop.post([this, peerName, transaction] {
            homes.endTransaction(peerName, transaction);
        });
    }
}

void SessionInstance::Implementation::handlePeerReply(const internal::HomeStream &home, const link::v1::Frame &frame)
{
    switch (frame.body_case()) {
    case link::v1::Frame::kReply:
        entry.replyArrived(home, frame.reply());
        break;
    case link::v1::Frame::kProbeReply:
        homes.probeAnswered(frame.probe_reply());
        break;
    case link::v1::Frame::kFenceReply:
        homes.yieldAnswered(frame.fence_reply());
        break;
    case link::v1::Frame::kQuotaReply:
        quotas.replyArrived(home.address, frame.quota_reply());
        break;
    case link::v1::Frame::kSnapshot:
        directory.merge(frame.snapshot());
        break;
    default:
        break;
    }
}

void SessionInstance::Implementation::drain(std::function<void()> closeFront, const std::function<void()> &drained)
{
    if (std::exchange(isLeaving, true)) {
        return;
    }
    drainStartedAt = EventLoop::now();
    LogEvent("drain-started").with("sessions", entry.sessions()).with("open_transactions", homes.openTransactions());
    announceAvailability();
    registerSelf();
    loop.after(rotationExitDelay, std::move(closeFront));
    pollDrain(drained);
}

void SessionInstance::Implementation::pollDrain(const std::function<void()> &drained)
{
    const TimePoint now = EventLoop::now();
    const bool isOutOfRotation = now - drainStartedAt >= rotationExitDelay + drainPollInterval; // the front listener is closed by then
    if (isOutOfRotation) {
        entry.closeIdleSessions();
    }
    const bool isDone = isOutOfRotation && entry.isQuiet() && homes.isQuiet();
    if (!isDone && now - drainStartedAt < settings.grace - drainEndMargin) {
        loop.after(drainPollInterval, [this, drained] {
            pollDrain(drained);
        });
        return;
    }
    LogEvent("drain-ended").with("complete", isDone).with("sessions", entry.sessions());
    entry.endPendingRequests();
    if (registrationRevision != 0) {
        ports.store->remove(
            Collection::Instances, settings.instance.text(), registrationRevision, [](StoreOutcome, const std::optional<Record> &) {});
    }
    loop.after(drainPollInterval, drained);
}

} // namespace rattanbeam::sessions
