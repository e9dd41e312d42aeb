#pragma once

#include "rattanbeam/decisions/timepoint.h"
#include "rattanbeam/kernel/metrics.h"
#include "rattanbeam/kernel/serviceregistry.h"
#include "rattanbeam/kernel/settings.h"
#include "rattanbeam/kernel/tracing.h"
#include "rattanbeam/proxy/internal/memberclient.h"
#include "rattanbeam/proxy/internal/peerclient.h"
#include "rattanbeam/proxy/internal/platformclient.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace rattanbeam::proxy::internal
{

/// Names under which services find each other.
inline constexpr const char *entryServiceName = "entry";
inline constexpr const char *homeServiceName = "home";
inline constexpr const char *observerServiceName = "observer";
inline constexpr const char *stateServiceName = "state";
inline constexpr const char *relayServiceName = "relay";

/// What all services of an instance share. Outlives them.
struct ServiceContext {
    kernel::Settings settings;
    /// Address that peers and callers reach this instance by, with the bound port.
    std::string address;
    /// Grows with each start of the instance.
    std::uint64_t incarnation = 0;

    kernel::ServiceRegistry registry;
    kernel::Metrics metrics;
    std::unique_ptr<kernel::Tracing> tracing;
    PeerClient peers;
    MemberClient members;
    std::unique_ptr<PlatformClient> platform;

    /// Requests that this instance still owes an answer to, as entry and as home.
    std::atomic<std::uint64_t> entryRequests{0};
    std::atomic<std::uint64_t> homeRequests{0};
    /// Transactions that are open at this instance's homes.
    std::atomic<std::uint64_t> openTransactions{0};
};

using ServiceContextPtr = std::shared_ptr<ServiceContext>;

inline decisions::TimePoint currentTime()
{
    return std::chrono::steady_clock::now();
}

} // namespace rattanbeam::proxy::internal
