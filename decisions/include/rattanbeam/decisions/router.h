#pragma once

#include "rattanbeam/decisions/fleetview.h"
#include "rattanbeam/decisions/groupview.h"
#include "rattanbeam/decisions/replicachoice.h"
#include "rattanbeam/decisions/verdict.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <variant>

namespace rattanbeam::decisions
{

/// The member that is to serve a request, and the instance to which the entry instance forwards it.
struct Route {
    MemberId member;
    InstanceId instance;
    /// The instance replaces a home that could not be reached.
    bool isSubstitute = false;
    bool isPrimary = false;

    auto operator<=>(const Route &) const = default;
};

/// Replicas already tried, and instances found unreachable, for one request.
struct TriedRoutes {
    std::set<MemberId> replicas;
    std::set<InstanceId> unreachable;

    auto operator<=>(const TriedRoutes &) const = default;
};

/// Either a route, or the refusal that says why there is none now.
using RouteOrOutcome = std::variant<Route, Outcome>;

/// The instance that serves `member`: its home, or the first substitute that has not failed for this request.
std::optional<Route> routeToMember(const FleetView &fleet, const MemberId &member, const TriedRoutes &tried);

RouteOrOutcome routeToPrimary(const FleetView &fleet, const DatabaseGroup &group, const TriedRoutes &tried, TimePoint now);

/// Chooses one of the replicas that are expected to be fit for a read.
///
///     ReadRouter<PowerOfTwoChoices> router(seed);
///     const auto route = router.route(fleet, group, view, requirements, inFlight, tried, now);
template<ReplicaPolicy Policy>
class ReadRouter
{
public:
    explicit ReadRouter(std::uint32_t seed, Policy policy = {}) : m_random(seed), m_policy(policy)
    {}

    /// Returns nothing if no replica is expected to be fit; the read then goes to the primary.
    std::optional<Route> route(const FleetView &fleet,
                               const DatabaseGroup &group,
                               const GroupView &view,
                               const ReadRequirements &requirements,
                               const std::map<MemberId, std::uint32_t> &inFlight,
                               const TriedRoutes &tried,
                               TimePoint now)
    {
        std::vector<ReadCandidate> candidates;
        for (const auto &[member, location] : group.members) {
            const MemberObservation *observation = view.find(member);
            if (member == group.primary || tried.replicas.contains(member)
                || !shouldTry(requirements, observation, view.applyRate(member), tried, now)) {
                continue;
            }
            ReadCandidate candidate{member, 0, 0, {}};
            const auto inFlightCount = inFlight.find(member);
            candidate.inFlight = inFlightCount == inFlight.end() ? 0 : inFlightCount->second;
            candidate.queued = observation == nullptr ? 0 : observation->queued;
            candidate.latency = observation == nullptr ? Duration{} : observation->latency;
            candidates.push_back(candidate);
        }
        if (candidates.empty()) {
            return std::nullopt;
        }
        return routeToMember(fleet, candidates[m_policy.pick(candidates, m_random)].member, tried);
    }

private:
    /// Whether to try a member. One that was never observed is tried if no session position is required, since its home knows
    /// its state.
    static bool shouldTry(const ReadRequirements &requirements,
                          const MemberObservation *observation,
                          double applyRate,
                          const TriedRoutes &tried,
                          TimePoint now)
    {
        if (requirements.session && requirements.session->requiresPrimary) {
            return false;
        }
        if (observation == nullptr) {
            return !requirements.session;
        }
        const ReadFitness fitness = evaluateReplica(requirements, *observation, applyRate, now);
        if (fitness == ReadFitness::Fit || fitness == ReadFitness::FitAfterWait) {
            return true;
        }
        // The observation is as old as this entry instance's last answer from the group. A replica that was unfit then is
        // tried once: if it is still unfit, the read takes one more hop; if not, the primary is spared the read.
        const bool mayHaveChanged = fitness == ReadFitness::Behind || fitness == ReadFitness::TooOld;
        return mayHaveChanged && tried.replicas.empty() && now - observation->observedAt > staleObservationAge;
    }

    static constexpr std::chrono::milliseconds staleObservationAge{50};

    std::minstd_rand m_random;
    Policy m_policy;
};

} // namespace rattanbeam::decisions
