#pragma once

#include <caf/actor.hpp>

#include <map>
#include <mutex>
#include <string>

namespace rattanbeam::kernel
{

/// Where services find each other by name. A service looks its partners up when it starts; a missing one is an empty
/// handle, to which messages are dropped.
///
///     registry.add("membership", actor);
///     anon_send(registry.find("membership"), message);
class ServiceRegistry
{
public:
    void add(const std::string &name, const caf::actor &service);
    caf::actor find(const std::string &name) const;
    /// Removes and returns all services, so that they can be stopped.
    std::map<std::string, caf::actor> takeAll();

private:
    mutable std::mutex m_mutex;
    std::map<std::string, caf::actor> m_services;
};

} // namespace rattanbeam::kernel
