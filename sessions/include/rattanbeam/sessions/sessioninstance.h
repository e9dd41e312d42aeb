#pragma once

#include "rattanbeam/kernel/metrics.h"
#include "rattanbeam/sessions/eventloop.h"
#include "rattanbeam/sessions/ports.h"
#include "rattanbeam/sessions/sessionsettings.h"

#include <functional>
#include <memory>
#include <string>

namespace rattanbeam::sessions
{

/// One instance of the sessions interface: accepts client sessions, is the home of services, and keeps a copy of the fleet's
/// records. Runs on one event loop.
///
///     EventLoop loop;
///     SessionInstance instance(loop, settings, std::move(ports));
///     instance.start();
///     front.listen(instance.front());
///     loop.run();
class SessionInstance
{
public:
    SessionInstance(EventLoop &loop, const SessionSettings &settings, Ports ports);
    ~SessionInstance();

    /// Returns false if the address for peers could not be bound.
    bool start();
    /// Handles the clients of the front listener.
    FrontHandler &front();
    /// Whether new sessions should be sent here: the fleet's records are loaded, and the instance is neither draining nor
    /// isolated from the other instances.
    bool isReady() const;
    /// Finishes the work in progress, at most until the configured grace period is nearly over. `closeFront` has to stop
    /// accepting client connections; it is called after the time that the load balancer needs to stop sending them. `drained`
    /// is called last.
    void drain(std::function<void()> closeFront, const std::function<void()> &drained);
    /// All counters and latencies, in the Prometheus text format.
    std::string metricsText() const;
    kernel::Metrics &metrics();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace rattanbeam::sessions
