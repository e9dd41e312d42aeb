#include "rattanbeam/kernel/serviceregistry.h"

#include <utility>

namespace rattanbeam::kernel
{

void ServiceRegistry::add(const std::string &name, const caf::actor &service)
{
    const std::lock_guard lock(m_mutex);
    m_services[name] = service;
}

caf::actor ServiceRegistry::find(const std::string &name) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_services.find(name);
    return found == m_services.end() ? caf::actor() : found->second;
}

std::map<std::string, caf::actor> ServiceRegistry::takeAll()
{
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_services, {});
}

} // namespace rattanbeam::kernel
