#pragma once

#include "rattanbeam/decisions/identifiers.h"
#include "rattanbeam/decisions/result.h"
#include "rattanbeam/decisions/session/clientbudget.h"
#include "rattanbeam/decisions/session/quotamessages.h"
#include "rattanbeam/kernel/logevent.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace rattanbeam::sessions
{

/// Settings of an instance that serves sessions, from its INI file. docs/CONFIGURATION.md explains each key.
struct SessionSettings {
    decisions::InstanceId instance;
    decisions::FailureDomain domain;
    std::string ip;
    /// Listen addresses, as `IP:port`: for clients, for readiness probes, for other instances, and for metrics (empty if disabled).
    std::string frontAddress;
    std::string readinessAddress;
    std::string peerAddress;
    std::string metricsAddress;
    /// Peer addresses of other instances, which are asked for a snapshot at the start.
    std::vector<std::string> seeds;
    /// Addresses of the platform's services; the address for promotions may be empty.
    std::string storeAddress;
    std::string promotionAddress;
    /// Maximum time from the acceptance of a configuration until all instances apply it.
    std::chrono::milliseconds configurationBound{};
    /// Time from the request to stop until the process is killed; the instance has to drain within it.
    std::chrono::milliseconds grace{};
    /// Processor share times the relative speed of the core, in thousandths of a core.
    std::uint32_t processorMilli = 1000;
    /// The bound that the operations of workspaces with a limit must keep.
    decisions::session::QuotaBound quotaBound;
    /// Whether members that have started, recovered or failed are given their slots step by step.
    bool isPaceEnabled = true;
    /// Descriptors that the process may open.
    std::uint32_t descriptors = 0;
    /// Bytes kept for clients.
    std::size_t clientBytes = 0;
    decisions::session::ClientLimits clients;
    kernel::LogLevel logLevel = kernel::LogLevel::Info;
    /// Maximum number of log lines per second, and as many again for warnings. Successful requests may use a tenth of it.
    std::uint32_t logLinesPerSecond = 0;

    auto operator<=>(const SessionSettings &) const = default;
};

/// Parses and validates the INI text; the error names the section and the key.
/// `defaults` holds values for keys that the text does not set, each as `SECTION.KEY=VALUE`.
decisions::Result<SessionSettings> parseSessionSettings(const std::string &text, const std::vector<std::string> &defaults = {});

/// Whether the INI text selects the sessions interface, by `kind = sessions` in its `interface` section.
bool selectsSessionsInterface(const std::string &text);

} // namespace rattanbeam::sessions
