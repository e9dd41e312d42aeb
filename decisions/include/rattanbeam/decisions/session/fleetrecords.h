#pragma once

#include "rattanbeam/decisions/identifiers.h"
#include "rattanbeam/decisions/rank.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// What the fleet keeps in the platform's store, as values.
namespace rattanbeam::decisions::session
{

using ServiceName = Identifier<struct ServiceTag>;

/// What a route's reads must include.
enum class Consistency {
    Latest, ///< Every acknowledged commit: the primary.
    BoundedAge, ///< Every commit older than the route's limit.
    ReadYourWrites, ///< The same, and all commits of the session.
};

/// How statements for one database are served.
struct Route {
    DatabaseName database;
    ServiceName service;
    Consistency consistency = Consistency::Latest;
    Rank rank = Rank::Batch;
    /// The limit for one statement.
    std::uint32_t timeoutMs = 1000;
    /// The aim for a whole operation.
    std::uint32_t objectiveMs = 1000;
    std::uint32_t stalenessLimitMs = 0;

    auto operator<=>(const Route &) const = default;
};

struct ServiceLimits {
    ServiceName service;
    /// Connections that each member accepts, from all callers together.
    std::uint32_t maxConnections = 16;

    auto operator<=>(const ServiceLimits &) const = default;
};

/// One version of the whole configuration.
struct FleetConfiguration {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceLimits> services;
    std::uint32_t transactionIdleMs = 3000;

    const Route *route(const DatabaseName &database) const;
    std::uint32_t maxConnections(const ServiceName &service) const;
    auto operator<=>(const FleetConfiguration &) const = default;
};

/// A backend server as it registers itself.
struct MemberRecord {
    MemberId id;
    ServiceName service;
    std::string address;
    FailureDomain domain;
    std::uint32_t slots = 1;
    bool isLeaving = false;
    bool saysPrimary = false;
    /// Start of its present life.
    std::uint64_t incarnation = 0;

    auto operator<=>(const MemberRecord &) const = default;
};

/// An instance as it registers itself.
struct InstanceRecord {
    InstanceId id;
    std::string address;
    FailureDomain domain;
    std::uint64_t incarnation = 0;
    bool isLeaving = false;
    /// Its share of the processor, in thousandths of a core.
    std::uint32_t processorMilli = 1000;

    auto operator<=>(const InstanceRecord &) const = default;
};

/// Who leads a service, and which instances may use the leader under a lease.
struct TermRecord {
    ServiceName service;
    /// Rises with each change of primary.
    std::uint64_t generation = 0;
    MemberId primary;
    /// Names and incarnations (`name/incarnation`) of the instances that hold leases.
    std::vector<std::string> homes;
    /// Term in which the primary leads; the one before it while a change is under way. A member that leads an earlier term
    /// was replaced.
    std::uint64_t term = 0;

    auto operator<=>(const TermRecord &) const = default;
};

using RecordValue = std::variant<std::monostate, FleetConfiguration, MemberRecord, InstanceRecord, TermRecord>;

/// The kinds of records that instances follow.
enum class Collection {
    Configuration,
    Members,
    Instances,
    Terms,
};

/// One record with its place in the store's history.
struct Record {
    std::string name;
    std::uint64_t revision = 0;
    bool isRemoved = false;
    /// Empty when the record was removed or cannot be read.
    RecordValue value;
};

} // namespace rattanbeam::decisions::session
