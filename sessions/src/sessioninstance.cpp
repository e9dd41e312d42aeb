#include "rattanbeam/sessions/sessioninstance.h"

#include "rattanbeam/decisions/session/lagmeter.h"
#include "rattanbeam/kernel/logevent.h"
#include "rattanbeam/kernel/metrics.h"
#include "rattanbeam/sessions/internal/directory.h"
#include "rattanbeam/sessions/internal/entryservice.h"
#include "rattanbeam/sessions/internal/fleetmonitor.h"
#include "rattanbeam/sessions/internal/homeservice.h"
#include "rattanbeam/sessions/internal/instancelink.h"
#include "rattanbeam/sessions/internal/peerlinks.h"

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
constexpr decisions::Duration drainPoll = 50ms;
constexpr decisions::Duration rotationDelay = 2200ms; // until the balancer sends no more connections
constexpr decisions::Duration exitSlack = 900ms; // before the grace ends
constexpr decisions::Duration registerRetry = 300ms;
constexpr decisions::Duration snapshotDelay = 700ms; // a start without the store asks peers after this

std::uint64_t startTimeMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

} // namespace

class SessionInstance::Parts
{
public:
    Parts(EventLoop &eventLoop, const SessionSettings &instanceSettings, Ports instancePorts)
        : loop(eventLoop)
        , settings(instanceSettings)
        , ports(std::move(instancePorts))
        , incarnation(startTimeMs())
        , directory(loop, *ports.store, settings.configurationBound)
        , links(
              loop,
              [this](const std::string &address, const link::v1::Frame &frame) {
                  peerAnswered(address, frame);
              },
              [this](const std::string &address, const std::deque<link::v1::Frame> &unsent) {
                  directory.peerLost(address);
                  entry.linkLost(address, unsent);
              },
              [this](const std::string &address, const link::v1::Pong &pong, TimePoint askedAt) {
                  peerKnows(address, pong, askedAt);
              })
        , homes(loop, settings, incarnation, directory, links, ports)
        , entry(loop, settings, directory, links, homes, metrics)
        , watch(loop, settings, *ports.store, directory, links, homes, entry)
    {}

    bool start();
    void drain(std::function<void()> closeFront, const std::function<void()> &stopped);
    void registerSelf();
    void scheduleTick();
    void measureLag();
    bool isAway() const;
    InstanceRecord self() const;
    void peerKnows(const std::string &address, const link::v1::Pong &pong, TimePoint askedAt);
    void fleetChanged();
    void keepRelays();
    void announceAway();
    void askForSnapshot();
    internal::FrameEvents acceptPeer(const std::shared_ptr<internal::FrameStream> &stream);
    void peerAsked(const std::string &name, const std::shared_ptr<internal::FrameStream> &stream, const link::v1::Frame &frame);
    void peerAnswered(const std::string &address, const link::v1::Frame &frame);
    void pollDrain(const std::function<void()> &stopped);

    EventLoop &loop;
    SessionSettings settings;
    Ports ports;
    std::uint64_t incarnation;
    kernel::Metrics metrics;
    internal::Directory directory;
    internal::PeerLinks links;
    internal::HomeService homes;
    internal::EntryService entry;
    internal::FleetMonitor watch;
    std::unique_ptr<internal::InstanceServer> server;
    std::set<std::shared_ptr<internal::FrameStream>> peerStreams;
    std::uint64_t lastPeer = 0;
    decisions::session::LagMeter lagMeter{tickInterval};
    std::uint64_t ownRevision = 0;
    bool isRegistering = false;
    bool isLeaving = false;
    bool isReadyReported = false;
    TimePoint drainStartedAt = decisions::distantPast;
};

SessionInstance::SessionInstance(EventLoop &loop, const SessionSettings &settings, Ports ports)
    : m_parts(std::make_unique<Parts>(loop, settings, std::move(ports)))
{}

SessionInstance::~SessionInstance() = default;

bool SessionInstance::start()
{
    return m_parts->start();
}

FrontHandler &SessionInstance::front()
{
    return m_parts->entry;
}

bool SessionInstance::isReady() const
{
    return m_parts->directory.isReady() && !m_parts->isLeaving && !m_parts->watch.isIsolated();
}

void SessionInstance::drain(std::function<void()> closeFront, const std::function<void()> &stopped)
{
    m_parts->drain(std::move(closeFront), stopped);
}

std::string SessionInstance::metricsText() const
{
    std::ostringstream text;
    for (const auto &counter : m_parts->metrics.counters()) {
        text << "rattanbeam_" << counter.name << "_total " << counter.value << '\n';
    }
    for (const auto &latency : m_parts->metrics.latencies()) {
        text << "rattanbeam_" << latency.name << "_seconds_count " << latency.count << '\n';
        text << "rattanbeam_" << latency.name << "_seconds{quantile=\"0.5\"} " << static_cast<double>(latency.median.count()) / 1e6 << '\n';
        text << "rattanbeam_" << latency.name << "_seconds{quantile=\"0.99\"} " << static_cast<double>(latency.p99.count()) / 1e6 << '\n';
    }
    text << "rattanbeam_sessions " << m_parts->entry.sessions() << '\n';
    text << "rattanbeam_member_connections " << m_parts->homes.connections() << '\n';
    text << "rattanbeam_open_transactions " << m_parts->homes.openTransactions() << '\n';
    return text.str();
}

bool SessionInstance::Parts::start()
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
        links.send(address, frame);
    });
    directory.onTermRecord(
        [this](const ServiceName &service, const std::optional<TermRecord> &record, std::uint64_t revision, TimePoint startedAt) {
            homes.termSeen(service, record, revision, startedAt);
        });
    directory.start();
    registerSelf();
    scheduleTick();
    watch.start();
    loop.after(snapshotDelay, [this] {
        askForSnapshot();
    });
    return true;
}

void SessionInstance::Parts::scheduleTick()
{
    loop.every(tickInterval, [this] {
        measureLag();
        links.tick();
        directory.tick();
        homes.tick();
        entry.tick();
    });
}

void SessionInstance::Parts::measureLag()
{
    const bool wasOverloaded = lagMeter.isOverloaded();
    const decisions::Duration pause = lagMeter.recordTick(EventLoop::now());
    if (pause > decisions::Duration::zero()) {
        LogEvent("paused", LogLevel::Warning).with("ms", std::chrono::duration_cast<std::chrono::milliseconds>(pause).count());
        links.paused(pause);
        homes.paused(pause);
    }
    if (lagMeter.isOverloaded() != wasOverloaded) {
        LogEvent(wasOverloaded ? "overload-ended" : "overloaded", wasOverloaded ? LogLevel::Info : LogLevel::Warning)
            .with("lag_us", std::chrono::duration_cast<std::chrono::microseconds>(lagMeter.averageLag()).count());
        announceAway();
    }
}

void SessionInstance::Parts::fleetChanged()
{
    homes.fleetChanged();
    directory.setRelay(homes.isRelay());
    keepRelays();
    if (directory.isReady() && !std::exchange(isReadyReported, true)) {
        LogEvent("ready").with("version", directory.configuration()->version).with("members", directory.members().size());
    }
    if (!directory.instanceRecords().contains(settings.instance.text()) && ownRevision != 0) {
        registerSelf(); // removed by somebody who took this instance for dead
    }
}

InstanceRecord SessionInstance::Parts::self() const
{
    return {settings.instance, settings.peerAddress, settings.domain, incarnation, isLeaving, settings.processorMilli};
}

void SessionInstance::Parts::keepRelays()
{
    std::set<std::string> addresses;
    for (const InstanceRecord &relay : homes.isRelay() ? homes.relays() : decisions::session::relaysOf(self(), homes.relays())) {
        addresses.insert(relay.address);
    }
    addresses.erase(settings.peerAddress);
    links.keep(addresses);
}

void SessionInstance::Parts::peerKnows(const std::string &address, const link::v1::Pong &pong, TimePoint askedAt)
{
    internal::PeerDirectoryState peer;
    peer.address = address;
    const auto instances = directory.instances();
    peer.isSameDomain = std::any_of(instances.begin(), instances.end(), [&](const InstanceRecord &instance) {
        return instance.address == address && instance.domain == settings.domain;
    });
    peer.configurationVersion = pong.configuration_version();
    peer.membersDigest = pong.members_digest();
    peer.instancesDigest = pong.instances_digest();
    peer.termsDigest = pong.terms_digest();
    if (pong.follows_store()) {
        peer.confirmedAt = askedAt - std::chrono::milliseconds(pong.store_age_ms());
    }
    directory.peerReported(peer);
}

bool SessionInstance::Parts::isAway() const
{
    return isLeaving || lagMeter.isOverloaded();
}

/// Peers take new work elsewhere, or may bring it again.
void SessionInstance::Parts::announceAway()
{
    homes.setRedirecting(isAway());
    watch.setRedirecting(isAway());
    for (const auto &stream : peerStreams) {
        link::v1::Frame frame;
        frame.mutable_pong()->set_leaving(isAway());
        stream->write(frame);
    }
}

void SessionInstance::Parts::registerSelf()
{
    if (std::exchange(isRegistering, true)) {
        return;
    }
    const InstanceRecord record = self();
    ports.store->write(Collection::Instances,
                       settings.instance.text(),
                       record,
                       ownRevision,
                       [this, record](StoreOutcome outcome, const std::optional<Record> &current) {
                           isRegistering = false;
                           if (outcome == StoreOutcome::Done && current) {
                               ownRevision = current->revision;
                               directory.applyOwnRegistration(*current);
                               if (record.isLeaving != isLeaving) {
                                   registerSelf();
                               }
                               return;
                           }
                           const bool isConflict = outcome == StoreOutcome::Conflict && current;
                           ownRevision = isConflict ? current->revision : outcome == StoreOutcome::Absent ? 0 : ownRevision;
                           if (isConflict && current->value == RecordValue(record)) {
                               return; // an earlier try was done after all
                           }
                           loop.after(isConflict ? decisions::Duration(1ms) : registerRetry, [this] {
                               registerSelf();
                           });
                       });
}

void SessionInstance::Parts::askForSnapshot()
{
    if (directory.isReady()) {
        return;
    }
    for (const std::string &seed : settings.seeds) {
        if (seed != settings.peerAddress) {
            link::v1::Frame frame;
            frame.mutable_snapshot_request()->set_number(1);
            links.send(seed, frame);
        }
    }
    loop.after(snapshotDelay, [this] {
        askForSnapshot();
    });
}

internal::FrameEvents SessionInstance::Parts::acceptPeer(const std::shared_ptr<internal::FrameStream> &stream)
{
    const std::string name = "peer-" + std::to_string(++lastPeer);
    peerStreams.insert(stream);
    internal::FrameEvents events;
    events.arrived = [this, name, stream](const link::v1::Frame &frame) {
        peerAsked(name, stream, frame);
    };
    events.ended = [this, name, stream] {
        peerStreams.erase(stream);
        homes.entryLost(name);
    };
    return events;
}

void SessionInstance::Parts::peerAsked(const std::string &name,
                                       const std::shared_ptr<internal::FrameStream> &stream,
                                       const link::v1::Frame &frame)
{
    link::v1::Frame answer;
    switch (frame.body_case()) {
    case link::v1::Frame::kPing:
        answer.mutable_pong()->set_number(frame.ping().number());
        answer.mutable_pong()->set_leaving(isAway());
        directory.fillPong(*answer.mutable_pong());
        stream->write(answer);
        break;
    case link::v1::Frame::kStatement:
        homes.handleStatement(name, frame.statement(), [stream](const link::v1::StatementReply &reply) {
            link::v1::Frame message;
            *message.mutable_reply() = reply;
            stream->write(message);
        });
        break;
    case link::v1::Frame::kTransactionEnd:
        homes.endTransaction(name, frame.transaction_end());
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
        homes.yieldLease(frame.fence());
        answer.mutable_fence_reply()->set_number(frame.fence().number());
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

void SessionInstance::Parts::peerAnswered(const std::string &, const link::v1::Frame &frame)
{
    switch (frame.body_case()) {
    case link::v1::Frame::kReply:
        entry.replyArrived(frame.reply());
        break;
    case link::v1::Frame::kProbeReply:
        homes.probeAnswered(frame.probe_reply());
        break;
    case link::v1::Frame::kFenceReply:
        homes.yieldAnswered(frame.fence_reply());
        break;
    case link::v1::Frame::kSnapshot:
        directory.merge(frame.snapshot());
        break;
    default:
        break;
    }
}

void SessionInstance::Parts::drain(std::function<void()> closeFront, const std::function<void()> &stopped)
{
    if (std::exchange(isLeaving, true)) {
        return;
    }
    drainStartedAt = EventLoop::now();
    LogEvent("drain-started").with("sessions", entry.sessions()).with("open_transactions", homes.openTransactions());
    announceAway();
    registerSelf();
    loop.after(rotationDelay, std::move(closeFront));
    pollDrain(stopped);
}

void SessionInstance::Parts::pollDrain(const std::function<void()> &stopped)
{
    const TimePoint now = EventLoop::now();
    const bool isOutOfRotation = now - drainStartedAt >= rotationDelay + drainPoll; // the front is closed by then
    if (isOutOfRotation) {
        entry.closeIdleSessions();
    }
    const bool isDone = isOutOfRotation && entry.isQuiet() && homes.isQuiet();
    if (!isDone && now - drainStartedAt < settings.grace - exitSlack) {
        loop.after(drainPoll, [this, stopped] {
            pollDrain(stopped);
        });
        return;
    }
    LogEvent("drain-ended").with("complete", isDone).with("sessions", entry.sessions());
    if (ownRevision != 0) {
        ports.store->remove(
            Collection::Instances, settings.instance.text(), ownRevision, [](StoreOutcome, const std::optional<Record> &) {});
    }
    loop.after(drainPoll, stopped);
}

} // namespace rattanbeam::sessions
