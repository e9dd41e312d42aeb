#pragma once

#include "rattanbeam/kernel/settings.h"

#include <chrono>
#include <memory>
#include <string>

namespace rattanbeam::proxy
{

/// One running instance: its services and its server.
///
///     Instance instance(settings);
///     if (!instance.start()) { return 1; }
///     waitForSignal();
///     instance.drain();
class Instance
{
public:
    explicit Instance(const kernel::Settings &settings);
    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;
    /// Stops at once what drain() has not stopped.
    ~Instance();

    /// Listens and starts all services. False when the address cannot be bound.
    bool start();

    /// Address with the bound port.
    const std::string &address() const;

    /// Leaves gracefully: says so to peers and platform, finishes what is in flight, then stops. False when the drain
    /// limit cut something.
    bool drain();

private:
    class Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace rattanbeam::proxy
