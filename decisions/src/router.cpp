#include "rattanbeam/decisions/router.h"

namespace rattanbeam::decisions
{

namespace
{
constexpr std::chrono::milliseconds primaryRetryDelay{50};
}

std::optional<Route> routeToMember(const FleetView &fleet, const MemberId &member, const TriedRoutes &tried)
{
    const HomeOrder &homes = fleet.homes(member);
    for (const InstanceId &instance : homes) {
        if (!tried.unreachable.contains(instance)) {
            return Route{member, instance, instance != homes.front(), false};
        }
    }
    return std::nullopt;
}

RouteOrOutcome routeToPrimary(const FleetView &fleet, const DatabaseGroup &group, const TriedRoutes &tried, TimePoint now)
{
    if (!group.hasPrimary()) {
        return Outcome::refusal(ErrorCode::NoPrimary, now + primaryRetryDelay);
    }
    auto route = routeToMember(fleet, group.primary, tried);
    if (!route) {
        return Outcome::refusal(ErrorCode::PeerUnreachable, now + primaryRetryDelay);
    }
    route->isPrimary = true;
    return *route;
}

} // namespace rattanbeam::decisions
