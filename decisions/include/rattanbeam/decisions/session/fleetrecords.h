#pragma once

#include "rattanbeam/decisions/identifiers.h"
#include "rattanbeam/decisions/rank.h"
#include "rattanbeam/decisions/timepoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// The fleet's records in the platform's store, as plain values.
namespace rattanbeam::decisions::session
{

using ServiceName = Identifier<struct ServiceTag>;
/// Name of a workspace; an empty name stands for none.
using WorkspaceName = Identifier<struct WorkspaceTag>;

/// Which commits a read on a route must see.
enum class Consistency {
    Latest, ///< Every acknowledged commit; such reads run at the primary.
    BoundedAge, ///< Every commit older than the route's `stalenessLimitMs`.
    ReadYourWrites, ///< As BoundedAge, and all commits of the session.
};

/// Settings for the statements of one database.
struct Route {
    DatabaseName database;
    ServiceName service;
    Consistency consistency = Consistency::Latest;
    Rank rank = Rank::Batch;
    /// Timeout of one statement.
    std::uint32_t timeoutMs = 1000;
    /// Latency objective of a whole operation.
    std::uint32_t objectiveMs = 1000;
    /// Maximum age of the data that a read may return, unless its consistency is Latest.
    std::uint32_t stalenessLimitMs = 0;
    /// Whether clients need no key for this database.
    bool isAuthenticationExempt = false;

    auto operator<=>(const Route &) const = default;
};

struct ServiceLimits {
    ServiceName service;
    /// Connections that each member accepts, from all callers together.
    std::uint32_t maxConnections = 16;
    /// Number of replicas that have received a commit before the primary acknowledges it.
    std::uint32_t synchronousReplicas = 0;

    auto operator<=>(const ServiceLimits &) const = default;
};

/// A group of callers that share keys and a quota.
struct Workspace {
    WorkspaceName name;
    /// Each client of the workspace presents one of these keys.
    std::vector<std::string> keys;
    /// Operations per second that the workspace may run on all instances together; 0 sets no limit.
    double ratePerSecond = 0;
    /// Operations that the workspace may run at once after it was idle.
    double burst = 0;

    auto operator<=>(const Workspace &) const = default;
};

/// One version of the fleet's configuration.
struct FleetConfiguration {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceLimits> services;
    std::uint32_t transactionIdleMs = 3000;
    /// Without a value, clients are not identified.
    std::optional<std::vector<Workspace>> workspaces{};

    /// The database's route, or null if there is none.
    const Route *route(const DatabaseName &database) const;
    /// The connection limit of each of the service's members, or a default if none is configured.
    std::uint32_t maxConnections(const ServiceName &service) const;
    /// The service's limits, or defaults if none are configured.
    ServiceLimits limitsOf(const ServiceName &service) const;
    auto operator<=>(const FleetConfiguration &) const = default;
};

/// A backend server's registration of itself.
struct MemberRecord {
    MemberId id;
    ServiceName service;
    std::string address;
    FailureDomain domain;
    std::uint32_t slots = 1;
    bool isLeaving = false;
    bool isRegisteredAsPrimary = false;
    /// Start time of its current process, which tells apart the runs of one member.
    std::uint64_t incarnation = 0;
    /// When this instance first saw the registration; distantPast if it was there before the instance was.
    TimePoint knownSince = distantPast;

    auto operator<=>(const MemberRecord &) const = default;
};

/// An instance's registration of itself.
struct InstanceRecord {
    InstanceId id;
    std::string address;
    FailureDomain domain;
    std::uint64_t incarnation = 0;
    bool isLeaving = false;
    /// Processor share times the relative speed of the core, in thousandths of a core.
    std::uint32_t processorMilli = 1000;

    auto operator<=>(const InstanceRecord &) const = default;
};

/// The primary of a service, and the instances that may use it under a lease.
struct TermRecord {
    ServiceName service;
    /// Increases with each change of primary.
    std::uint64_t generation = 0;
    MemberId primary;
    /// The instances that hold leases, each as `name/incarnation`.
    std::vector<std::string> homes;
    /// Term in which the primary leads; the previous term while a change of primary is in progress. A member that leads an
    /// earlier term was replaced.
    std::uint64_t term = 0;
    /// Replicas of which one that is not fenced is enough evidence for a lease holder. A change of primary fences them all, or waits until
    /// such evidence has expired. Only grows within a generation.
    std::vector<MemberId> witnesses{};

    auto operator<=>(const TermRecord &) const = default;
};

/// The instance of a lease holder that is given as `name/incarnation`.
std::string instanceNameOf(const std::string &home);

using RecordValue = std::variant<std::monostate, FleetConfiguration, MemberRecord, InstanceRecord, TermRecord>;

/// The collections of records that instances watch.
enum class Collection {
    Configuration,
    Members,
    Instances,
    Terms,
};

/// One record and the store revision that wrote it.
struct Record {
    std::string name;
    std::uint64_t revision = 0;
    bool isRemoved = false;
    /// Empty if the record was removed or cannot be parsed.
    RecordValue value;
};

} // namespace rattanbeam::decisions::session
