#pragma once

#include "rattanbeam/sessions/eventloop.h"
#include "rattanbeam/sessions/ports.h"
#include "rattanbeam/sessions/sessionsettings.h"

#include <functional>
#include <memory>
#include <string>

namespace rattanbeam::sessions
{

/// One instance that serves sessions: entry, homes and the directory on one event loop.
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

    /// False when an address could not be bound.
    bool start();
    FrontHandler &front();
    bool isReady() const;
    /// Finishes what is under way. `closeFront` is to stop new client connections once the balancer sends none; `stopped`
    /// comes last.
    void drain(std::function<void()> closeFront, const std::function<void()> &stopped);
    /// All counters and latencies, in the Prometheus text format.
    std::string metricsText() const;

private:
    class Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace rattanbeam::sessions
