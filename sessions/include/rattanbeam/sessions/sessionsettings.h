#pragma once

#include "rattanbeam/decisions/identifiers.h"
#include "rattanbeam/decisions/result.h"
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
    /// Where clients connect, where readiness is asked for, and where other instances connect.
    std::string frontAddress;
    std::string readinessAddress;
    std::string peerAddress;
    std::string metricsAddress;
    std::vector<std::string> seeds;
    /// The platform's services.
    std::string storeAddress;
    std::string promotionAddress;
    /// How soon an accepted configuration has to be in force.
    std::chrono::milliseconds configurationBound{};
    /// Time from the request to stop until the process is killed.
    std::chrono::milliseconds grace{};
    /// This process's share of the processor, in thousandths of a core.
    std::uint32_t processorMilli = 1000;
    kernel::LogLevel logLevel = kernel::LogLevel::Info;
    /// Lines a second that the log may take, and as many again for warnings; requests that succeed take a tenth.
    std::uint32_t logLinesPerSecond = 0;

    auto operator<=>(const SessionSettings &) const = default;
};

decisions::Result<SessionSettings> parseSessionSettings(const std::string &text);

/// Whether the text asks for the sessions interface.
bool asksForSessions(const std::string &text);

} // namespace rattanbeam::sessions
