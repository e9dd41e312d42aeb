#include "rattanbeam/proxy/internal/relayservice.h"

#include "rattanbeam/kernel/logevent.h"

#include <algorithm>

namespace rattanbeam::proxy::internal
{

namespace
{

constexpr std::chrono::milliseconds tickInterval{100};
constexpr std::chrono::seconds listInterval{2};
constexpr std::chrono::seconds announceInterval{1};
constexpr std::chrono::seconds callTimeout{2};
constexpr std::chrono::milliseconds leastWatchBackoff{100};
constexpr std::chrono::seconds mostWatchBackoff{2};

} // namespace

RelayService::RelayService(caf::actor_config &config, ServiceContextPtr context)
    : caf::event_based_actor(config)
    , m_context(std::move(context))
    , m_random(static_cast<std::uint32_t>(decisions::stableHash(m_context->settings.instance.text())))
{}

caf::behavior RelayService::make_behavior()
{
    send(this, TimerTick{});
    return {
        [this](const TimerTick &) {
            tick();
            delayed_send(this, tickInterval, TimerTick{});
        },
        [this](const FleetChanged &message) {
            m_fleet = message.fleet;
        },
        [this](const WatchEnded &) {
            m_isWatching = false;
            m_watchBackoff = std::clamp<decisions::Duration>(m_watchBackoff * 2, leastWatchBackoff, mostWatchBackoff);
            // Spread, so that a platform that comes back is not met by all relays at once.
            const double spread = std::uniform_real_distribution<double>(0.5, 1.5)(m_random);
            m_nextWatch = currentTime() + std::chrono::duration_cast<decisions::Duration>(m_watchBackoff * spread);
            kernel::LogEvent("watch-ended", kernel::LogLevel::Warning).with("service", relayServiceName);
        },
        [this](const DrainStarted &) {
            m_isLeaving = true;
        },
    };
}

void RelayService::tick()
{
    const auto at = currentTime();
    if (m_nextAnnounce <= at) {
        m_nextAnnounce = at + announceInterval;
        decisions::InstanceRecord self;
        self.id = m_context->settings.instance;
        self.domain = m_context->settings.domain;
        self.address = m_context->address;
        self.isLeaving = m_isLeaving;
        m_context->platform->announce(self, at + callTimeout);
    }
    const bool relays = shouldRelay();
    if (relays && !m_isWatching && m_nextWatch <= at) {
        startWatch();
    } else if (!relays && m_isWatching) {
        m_context->platform->stopWatch();
    }
    if (relays && m_nextList <= at) {
        m_nextList = at + listInterval;
        listInstances();
    }
}

bool RelayService::shouldRelay() const
{
    if (!m_fleet) {
        return true;
    }
    std::vector<decisions::InstanceId> domain;
    for (const auto &[id, record] : m_fleet->instances()) {
        if (record.domain == m_context->settings.domain && !record.isLeaving) {
            domain.push_back(id);
        }
    }
    std::vector<decisions::InstanceId> order = decisions::rendezvousOrder("relay", domain);
    order.resize(std::min(order.size(), relaysInDomain));
    return order.empty() || std::find(order.begin(), order.end(), m_context->settings.instance) != order.end();
}

void RelayService::startWatch()
{
    m_isWatching = true;
    const std::uint64_t after = m_fleet ? m_fleet->completeTo() : 0;
    m_context->metrics.count("platform.watch");
    const caf::actor state = m_context->registry.find(stateServiceName);
    const caf::actor service(this);
    m_context->platform->watch(
        after,
        [state](const decisions::ConfigChanges &changes) {
            caf::anon_send(state, ConfigArrived{changes});
        },
        [service] {
            caf::anon_send(service, WatchEnded{});
        });
    kernel::LogEvent("watch-started").with("after", after);
}

void RelayService::listInstances()
{
    m_context->metrics.count("platform.instances");
    const caf::actor state = m_context->registry.find(stateServiceName);
    m_context->platform->instances(currentTime() + callTimeout,
                                   [state](const std::optional<std::vector<decisions::InstanceRecord>> &instances) {
                                       if (instances) {
                                           caf::anon_send(state, InstancesListed{*instances});
                                       }
                                   });
}

} // namespace rattanbeam::proxy::internal
