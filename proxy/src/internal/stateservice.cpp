#include "rattanbeam/proxy/internal/stateservice.h"

#include "rattanbeam/kernel/logevent.h"
#include "rattanbeam/protocol/conversions.h"

#include <algorithm>

namespace rattanbeam::proxy::internal
{

using decisions::ConfigChanges;

namespace
{

constexpr std::size_t exchangeFanOut = 8; // peers asked in one interval
constexpr std::size_t objectsInMessage = 200;
constexpr std::chrono::seconds exchangeTimeout{1};

} // namespace

StateService::StateService(caf::actor_config &config, ServiceContextPtr context)
    : caf::event_based_actor(config), m_context(std::move(context)), m_membership(m_context->settings.peerSilence)
{
    if (m_context->settings.experiment.ownShare) {
        m_builder.setOnlyHome(m_context->settings.instance);
    }
}

caf::behavior StateService::make_behavior()
{
    send(this, TimerTick{});
    return {
        [this](const TimerTick &) {
            tick();
            delayed_send(this, m_context->settings.exchangeInterval, TimerTick{});
        },
        [this](const ConfigArrived &message) {
            mergeConfig(message.changes, true);
        },
        [this](const InstancesListed &message) {
            for (const auto &record : message.instances) {
                m_membership.listedByPlatform(record, currentTime());
            }
        },
        [this](const ExchangeArrived &message) {
            learn(message.message);
            message.responder->answer(composeMessage(message.message->complete_to()));
        },
        [this](const ExchangeAnswered &message) {
            m_exchangesUnderWay.erase(message.address);
            if (message.result == CallResult::Answered) {
                m_peerCompleteTo[message.address] = message.message->complete_to();
                learn(message.message);
            }
        },
        [this](const OwnReports &message) {
            m_ownMembers = message.members;
            m_ownSuspicions = message.suspicions;
            if (message.isUrgent) {
                for (const auto &record : m_membership.live(currentTime())) {
                    exchangeWith(record.address);
                }
            }
        },
        [this](const ShowArrived &message) {
            message.responder->answer(show(message.key));
        },
        [this](const DrainStarted &) {
            m_leaving = true;
            tick();
            for (const auto &record : m_membership.live(currentTime())) {
                exchangeWith(record.address);
            }
        },
    };
}

decisions::InstanceRecord StateService::self() const
{
    return {m_context->settings.instance, m_context->settings.domain, m_context->address, m_context->incarnation, m_heartbeat, m_leaving};
}

void StateService::tick()
{
    ++m_heartbeat;
    const auto at = currentTime();
    m_membership.heartbeatReceived(self(), at);
    m_membership.removeExpired(at);
    publishIfChanged(m_builder.setInstances(m_membership.liveAndLeaving(at)));
    for (const std::string &address : exchangeTargets()) {
        exchangeWith(address);
    }
}

std::vector<std::string> StateService::exchangeTargets()
{
    std::vector<std::string> all;
    for (const auto &record : m_membership.contacts(currentTime())) {
        if (record.id != m_context->settings.instance) {
            all.push_back(record.address);
        }
    }
    if (all.empty()) {
        all = m_context->settings.peers;
    }
    if (all.size() <= exchangeFanOut) {
        return all;
    }
    // A moving window over all contacts: each is asked in turn, and news spreads through those asked.
    std::vector<std::string> targets;
    for (std::size_t i = 0; i < exchangeFanOut; ++i) {
        targets.push_back(all[(m_nextTarget + i) % all.size()]);
    }
    m_nextTarget = (m_nextTarget + exchangeFanOut) % all.size();
    return targets;
}

void StateService::exchangeWith(const std::string &address)
{
    if (address == m_context->address || !m_exchangesUnderWay.insert(address).second) {
        return;
    }
    const auto known = m_peerCompleteTo.find(address);
    const auto message = composeMessage(known == m_peerCompleteTo.end() ? m_store.completeTo() : known->second);
    const caf::actor service(this);
    m_context->peers.exchange(
        address, message, currentTime() + exchangeTimeout, [service, address](CallResult result, const peer::v1::ExchangeMessage &reply) {
            caf::anon_send(service, ExchangeAnswered{address, result, std::make_shared<const peer::v1::ExchangeMessage>(reply)});
        });
}

void StateService::exchangeWithDomain()
{
    for (const auto &record : m_membership.live(currentTime())) {
        if (record.domain == m_context->settings.domain) {
            exchangeWith(record.address);
        }
    }
}

peer::v1::ExchangeMessage StateService::composeMessage(std::uint64_t peerCompleteTo) const
{
    peer::v1::ExchangeMessage message;
    message.set_sender(m_context->settings.instance.text());
    for (const auto &record : m_membership.liveAndLeaving(currentTime())) {
        *message.add_instances() = protocol::fromInstanceRecord(record.id == m_context->settings.instance ? self() : record);
    }
    message.mutable_members()->Add(m_ownMembers.begin(), m_ownMembers.end());
    message.mutable_suspicions()->Add(m_ownSuspicions.begin(), m_ownSuspicions.end());
    message.set_complete_to(m_store.completeTo());
    if (peerCompleteTo < m_store.completeTo()) {
        const ConfigChanges changes = m_store.changesAfter(peerCompleteTo, objectsInMessage);
        message.set_objects_after(changes.after);
        message.set_objects_complete_to(changes.completeTo);
        for (const auto &object : changes.objects) {
            *message.add_objects() = protocol::fromConfigObject(object);
        }
    }
    return message;
}

void StateService::learn(const std::shared_ptr<const peer::v1::ExchangeMessage> &message)
{
    const auto at = currentTime();
    for (const auto &report : message->instances()) {
        const auto record = protocol::toInstanceRecord(report);
        if (record.id != m_context->settings.instance) {
            m_membership.heartbeatReceived(record, at);
        }
    }
    publishIfChanged(m_builder.setInstances(m_membership.liveAndLeaving(at)));
    if (message->objects_size() > 0 || message->objects_complete_to() > m_store.completeTo()) {
        ConfigChanges changes;
        changes.after = message->objects_after();
        changes.completeTo = message->objects_complete_to();
        for (const auto &object : message->objects()) {
            changes.objects.push_back(protocol::toConfigObject(object));
        }
        mergeConfig(changes, false);
    }
    send(m_context->registry.find(observerServiceName), PeerReports{message, at});
}

void StateService::mergeConfig(const ConfigChanges &changes, bool tellDomain)
{
    const std::uint64_t before = m_store.completeTo();
    const auto changed = m_store.merge(changes);
    for (const auto &object : changed) {
        if (const auto error = m_builder.apply(object)) {
            kernel::LogEvent("object-invalid", kernel::LogLevel::Error)
                .with("key", object.key)
                .with("version", object.version)
                .with("reason", error->text(object.key));
        } else {
            kernel::LogEvent("object-in-force").with("key", object.key).with("version", object.version).with("deleted", object.deleted);
        }
    }
    publishIfChanged(!changed.empty() || m_store.completeTo() != before);
    if (tellDomain && !changed.empty()) {
        exchangeWithDomain();
    }
}

void StateService::publishIfChanged(bool changed)
{
    if (!changed) {
        return;
    }
    const FleetChanged message{m_builder.view(m_store.completeTo())};
    for (const char *service : {entryServiceName, homeServiceName, observerServiceName, relayServiceName}) {
        send(m_context->registry.find(service), message);
    }
}

peer::v1::ShowReply StateService::show(const std::string &key) const
{
    peer::v1::ShowReply reply;
    reply.set_instance(m_context->settings.instance.text());
    reply.set_domain(m_context->settings.domain.text());
    reply.set_complete_to(m_store.completeTo());
    reply.set_draining(m_leaving);
    const auto found = m_store.objects().find(key);
    if (found != m_store.objects().end()) {
        *reply.mutable_object() = protocol::fromConfigObject(found->second);
    }
    for (const auto &record : m_membership.liveAndLeaving(currentTime())) {
        *reply.add_instances() = protocol::fromInstanceRecord(record);
    }
    reply.mutable_members()->Add(m_ownMembers.begin(), m_ownMembers.end());
    for (const auto &counter : m_context->metrics.counters()) {
        auto *added = reply.add_counters();
        added->set_name(counter.name);
        added->set_value(counter.value);
    }
    for (const auto &latency : m_context->metrics.latencies()) {
        auto *added = reply.add_latencies();
        added->set_name(latency.name);
        added->set_count(latency.count);
        added->set_p50_us(static_cast<std::uint64_t>(latency.median.count()));
        added->set_p99_us(static_cast<std::uint64_t>(latency.p99.count()));
    }
    return reply;
}

} // namespace rattanbeam::proxy::internal
