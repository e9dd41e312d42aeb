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

/// Where an entry instance sends a request.
struct Route {
    MemberId member;
    InstanceId instance;
    /// The instance stands in for a home that could not be reached.
    bool isSubstitute = false;
    bool isPrimary = false;

    auto operator<=>(const Route &) const = default;
};

/// What has been tried for one request.
struct TriedRoutes {
    std::set<MemberId> replicas;
    std::set<InstanceId> unreachable;

    auto operator<=>(const TriedRoutes &) const = default;
};

/// Either a route, or why there is none now.
using RouteOrOutcome = std::variant<Route, Outcome>;

/// The instance that serves `member`: its home, or the first stand-in that has not failed for this request.
std::optional<Route> routeToMember(const FleetView &fleet, const MemberId &member, const TriedRoutes &tried);

RouteOrOutcome routeToPrimary(const FleetView &fleet, const DatabaseGroup &group, const TriedRoutes &tried, TimePoint now);

/// Chooses among the replicas that look fit for a read.
///
///     ReadRouter<PowerOfTwoChoices> router(seed);
///     const auto route = router.route(fleet, group, view, needs, domain, inFlight, tried, now);
template<ReplicaPolicy Policy>
class ReadRouter
{
public:
    explicit ReadRouter(std::uint32_t seed, Policy policy = {}) : m_random(seed), m_policy(policy)
    {}

    /// Nothing when no replica looks fit: the read then goes to the primary.
    std::optional<Route> route(const FleetView &fleet,
                               const DatabaseGroup &group,
                               const GroupView &view,
                               const ReadNeeds &needs,
                               const std::map<MemberId, std::uint32_t> &inFlight,
                               const TriedRoutes &tried,
                               TimePoint now)
    {
        std::vector<ReadCandidate> candidates;
        for (const auto &[member, place] : group.members) {
            const MemberObservation *sighting = view.find(member);
            if (member == group.primary || tried.replicas.contains(member)
                || !isWorthTrying(needs, sighting, view.applyRate(member), tried, now)) {
                continue;
            }
            ReadCandidate candidate{member, 0, 0, {}};
            const auto count = inFlight.find(member);
            candidate.inFlight = count == inFlight.end() ? 0 : count->second;
            candidate.queued = sighting == nullptr ? 0 : sighting->queued;
            candidate.latency = sighting == nullptr ? Duration{} : sighting->latency;
            candidates.push_back(candidate);
        }
        if (candidates.empty()) {
            return std::nullopt;
        }
        return routeToMember(fleet, candidates[m_policy.pick(candidates, m_random)].member, tried);
    }

private:
    /// A member that was never seen is worth a try: its home knows better.
    static bool
    isWorthTrying(const ReadNeeds &needs, const MemberObservation *sighting, double applyRate, const TriedRoutes &tried, TimePoint now)
    {
        if (needs.session && needs.session->primaryNext) {
            return false;
        }
        if (sighting == nullptr) {
            return !needs.session;
        }
        const ReadFitness fitness = judgeReplica(needs, *sighting, applyRate, now);
        if (fitness == ReadFitness::Fit || fitness == ReadFitness::FitAfterWait) {
            return true;
        }
        // What this entry knows is as old as its last answer from the group. A replica that looked unfit then is worth
        // one try: a wrong one costs a hop, a right one spares the primary.
        const bool mayHaveChanged = fitness == ReadFitness::Behind || fitness == ReadFitness::TooOld;
        return mayHaveChanged && tried.replicas.empty() && now - sighting->observedAt > oldSighting;
    }

    static constexpr std::chrono::milliseconds oldSighting{50};

    std::minstd_rand m_random;
    Policy m_policy;
};

} // namespace rattanbeam::decisions
