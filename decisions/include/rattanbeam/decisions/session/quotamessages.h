#pragma once

#include "rattanbeam/decisions/identifiers.h"
#include "rattanbeam/decisions/session/fleetrecords.h"
#include "rattanbeam/decisions/timepoint.h"

#include <cstdint>
#include <map>
#include <vector>

/// Messages and limits of workspace quotas; docs/design/13-quotas.md explains them.
namespace rattanbeam::decisions::session
{

/// A delegation counts at its pool for this long after the pool sent the stamp that the delegating instance returned.
inline constexpr Duration delegationPeriod = std::chrono::milliseconds(1200);
/// Tokens are valid for this long after they were asked for.
inline constexpr Duration grantValidity = std::chrono::milliseconds(250);

/// Limit of a workspace's operations over all instances.
struct QuotaLimit {
    double ratePerSecond = 0;
    double burst = 0;

    auto operator<=>(const QuotaLimit &) const = default;
};

using QuotaLimits = std::map<WorkspaceName, QuotaLimit>;

/// The limits of all workspaces that have one. A burst below one operation counts as one, since it would admit nothing.
QuotaLimits quotaLimitsOf(const FleetConfiguration &configuration);

/// The bound that quotas must keep: in any window, a workspace's operations are at most
/// (rate x window + burst) x (1 + tolerance) + slack.
struct QuotaBound {
    Duration window = std::chrono::seconds(5);
    double tolerance = 0;
    double slack = 0;

    auto operator<=>(const QuotaBound &) const = default;
};

struct QuotaAsk {
    WorkspaceName workspace;
    /// Tokens for operations that wait or were admitted in advance.
    std::uint32_t needed = 0;
    /// Tokens for operations that are expected soon.
    std::uint32_t ahead = 0;
    /// Tokens of earlier grants that the sender keeps, and those that it gives back. All others were spent.
    std::uint32_t held = 0;
    std::uint32_t returned = 0;
};

struct QuotaRequest {
    std::uint64_t number = 0;
    /// Stamp of the pool's last reply, 0 if there was none.
    std::uint64_t echo = 0;
    bool delegates = false;
    /// Number of instances that the sender knows.
    std::uint32_t instances = 0;
    std::vector<QuotaAsk> asks;
    /// Tells apart the runs of the sender.
    std::uint64_t run = 0;
};

struct QuotaGrant {
    WorkspaceName workspace;
    std::uint32_t tokens = 0;
    /// Not zero if the bucket is nearly empty: when to ask again. Until then, operations without a token are refused.
    Duration retryAfter{};
};

struct QuotaReply {
    std::uint64_t number = 0;
    /// Increases with each reply of the pool.
    std::uint64_t stamp = 0;
    /// Whether the pool counted a share of the sender when the request arrived. If not, it ignores delegations of other runs with older
    /// echoes.
    bool holdsShare = false;
    std::vector<QuotaGrant> grants;
};

} // namespace rattanbeam::decisions::session
