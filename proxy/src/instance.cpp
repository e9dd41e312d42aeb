#include "rattanbeam/proxy/instance.h"

#include "internal/server.h"
#include "rattanbeam/kernel/logevent.h"
#include "rattanbeam/proxy/internal/entryservice.h"
#include "rattanbeam/proxy/internal/homeservice.h"
#include "rattanbeam/proxy/internal/observerservice.h"
#include "rattanbeam/proxy/internal/relayservice.h"
#include "rattanbeam/proxy/internal/stateservice.h"

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/send.hpp>

#include <thread>

namespace rattanbeam::proxy
{

using namespace std::chrono_literals;

namespace
{

constexpr auto leavingSpreads = 400ms; // time for peers and balancers to stop sending new work
constexpr auto quietFor = 200ms; // nothing owed for this long means that draining is done
constexpr auto drainPoll = 20ms;
constexpr auto serverGrace = 500ms;

std::string withPort(const std::string &address, int port)
{
    return address.substr(0, address.rfind(':') + 1) + std::to_string(port);
}

std::uint64_t startTimeMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

caf::actor_system_config &withThreads(caf::actor_system_config &config, std::uint32_t threads)
{
    config.set("scheduler.max-threads", static_cast<std::size_t>(threads));
    // Work stealing polls: idle workers would burn a tenth of a core and wake late.
    config.set("scheduler.policy", caf::atom("sharing"));
    return config;
}

} // namespace

class Instance::Parts
{
public:
    explicit Parts(const kernel::Settings &settings)
        : context(std::make_shared<internal::ServiceContext>()), system(withThreads(config, settings.threads)), server(context, settings)
    {}

    template<typename Service>
    void spawn(const char *name)
    {
        context->registry.add(name, system.spawn<Service>(context));
    }

    /// Puts the settings into the context before the server reads them.
    class ServerWithSettings : public internal::Server
    {
    public:
        ServerWithSettings(const internal::ServiceContextPtr &context, const kernel::Settings &settings)
            : Server(withSettings(context, settings))
        {}

    private:
        static internal::ServiceContextPtr withSettings(const internal::ServiceContextPtr &context, const kernel::Settings &settings)
        {
            context->settings = settings;
            return context;
        }
    };

    internal::ServiceContextPtr context;
    caf::actor_system_config config;
    caf::actor_system system;
    ServerWithSettings server;
};

Instance::Instance(const kernel::Settings &settings) : m_parts(std::make_unique<Parts>(settings))
{
    internal::ServiceContext &context = *m_parts->context;
    context.incarnation = startTimeMs();
    context.tracing = std::make_unique<kernel::Tracing>(settings.traceFile, settings.traceEvery, settings.instance.text());
    context.platform = std::make_unique<internal::PlatformClient>(settings.platformAddress);
}

Instance::~Instance()
{
    m_parts->server.stop(internal::currentTime());
    for (const auto &[name, service] : m_parts->context->registry.takeAll()) {
        caf::anon_send_exit(service, caf::exit_reason::user_shutdown);
    }
    m_parts->context->platform->stopWatch();
}

bool Instance::start()
{
    internal::ServiceContext &context = *m_parts->context;
    // Peers learn the address from the first exchange on, so the port is bound first.
    const int port = m_parts->server.bind();
    if (port == 0) {
        kernel::LogEvent("bind-failed", kernel::LogLevel::Error).with("address", context.settings.listenAddress);
        return false;
    }
    context.address = withPort(context.settings.listenAddress, port);
    m_parts->spawn<internal::EntryService>(internal::entryServiceName);
    m_parts->spawn<internal::HomeService>(internal::homeServiceName);
    m_parts->spawn<internal::ObserverService>(internal::observerServiceName);
    m_parts->spawn<internal::RelayService>(internal::relayServiceName);
    m_parts->spawn<internal::StateService>(internal::stateServiceName);
    kernel::LogEvent("listening").with("address", context.address).with("port", port).with("domain", context.settings.domain);
    return true;
}

const std::string &Instance::address() const
{
    return m_parts->context->address;
}

bool Instance::drain()
{
    internal::ServiceContext &context = *m_parts->context;
    const auto started = internal::currentTime();
    const auto limit = started + context.settings.drainLimit;
    kernel::LogEvent("drain-started").with("entry_requests", context.entryRequests).with("home_requests", context.homeRequests);
    for (const char *name :
         {internal::stateServiceName, internal::entryServiceName, internal::homeServiceName, internal::relayServiceName}) {
        caf::anon_send(context.registry.find(name), internal::DrainStarted{});
    }
    auto quietSince = started + leavingSpreads;
    while (internal::currentTime() < limit && internal::currentTime() - quietSince < quietFor) {
        std::this_thread::sleep_for(drainPoll);
        const bool isQuiet = context.entryRequests == 0 && context.homeRequests == 0 && context.openTransactions == 0;
        if (!isQuiet) {
            quietSince = internal::currentTime();
        }
    }
    const bool isComplete = context.entryRequests == 0 && context.homeRequests == 0 && context.openTransactions == 0;
    m_parts->server.stop(internal::currentTime() + serverGrace);
    kernel::LogEvent("drain-ended").with("complete", isComplete);
    return isComplete;
}

} // namespace rattanbeam::proxy
