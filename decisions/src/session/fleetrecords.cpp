#include "rattanbeam/decisions/session/fleetrecords.h"

#include <algorithm>

namespace rattanbeam::decisions::session
{

const Route *FleetConfiguration::route(const DatabaseName &database) const
{
    const auto found = std::find_if(routes.begin(), routes.end(), [&](const Route &route) {
        return route.database == database;
    });
    return found == routes.end() ? nullptr : &*found;
}

std::uint32_t FleetConfiguration::maxConnections(const ServiceName &service) const
{
    return limitsOf(service).maxConnections;
}

ServiceLimits FleetConfiguration::limitsOf(const ServiceName &service) const
{
    constexpr std::uint32_t defaultMaxConnections = 8;
    const auto found = std::find_if(services.begin(), services.end(), [&](const ServiceLimits &limits) {
        return limits.service == service;
    });
    return found == services.end() ? ServiceLimits{service, defaultMaxConnections} : *found;
}

std::string instanceNameOf(const std::string &home)
{
    return home.substr(0, home.rfind('/'));
}

} // namespace rattanbeam::decisions::session
