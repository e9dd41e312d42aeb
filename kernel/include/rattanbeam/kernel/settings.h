#pragma once

#include "rattanbeam/decisions/identifiers.h"
#include "rattanbeam/decisions/rank.h"
#include "rattanbeam/decisions/result.h"
#include "rattanbeam/kernel/logevent.h"

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rattanbeam::kernel
{

/// Which policy an instance follows. Baseline is for measurements only: it drops the promises that the others cost.
struct ExperimentSettings {
    /// Each instance takes its own share of every member's connections, instead of one home for each member.
    bool ownShare = false;
    /// One queue in order of arrival instead of rank queues.
    bool singleQueue = false;
    bool readsOnPrimary = false;
    bool confirmWrites = true;
    /// `power-of-two`, `least-in-flight` or `latency-score`.
    std::string replicaChoice = "power-of-two";
    /// Instances that share the connections under `ownShare`.
    std::uint32_t instances = 9;

    auto operator<=>(const ExperimentSettings &) const = default;
};

/// A daemon's settings, from its INI file. docs/CONFIGURATION.md explains each key.
///
///     const auto settings = parseSettings(text);
struct Settings {
    decisions::InstanceId instance;
    decisions::FailureDomain domain;
    /// IP address and port for callers and peers; port 0 takes a free one.
    std::string listenAddress;
    std::string platformAddress;
    /// Peers to ask for the configuration while the platform is down.
    std::vector<std::string> peers;

    /// Key that seals session tokens, and the one before it, still accepted.
    std::string tokenKey;
    std::string previousTokenKey;

    LogLevel logLevel = LogLevel::Info;
    /// File for spans; empty writes none.
    std::string traceFile;
    /// Every how many-th request is traced.
    std::uint32_t traceEvery = 100;

    std::chrono::milliseconds defaultTimeout{};
    std::chrono::milliseconds exchangeInterval{};
    std::chrono::milliseconds probeInterval{};
    std::chrono::milliseconds probeTimeout{};
    std::chrono::milliseconds peerSilence{};
    std::chrono::milliseconds drainLimit{};
    std::chrono::milliseconds transactionIdle{};
    /// Longest wait in a home's queue that new work may expect, by rank.
    decisions::PerRank<std::chrono::milliseconds> queueWait;
    std::uint32_t queueCapacity = 0;
    std::uint32_t maxStatementBytes = 0;
    std::uint32_t threads = 0;

    ExperimentSettings experiment;

    auto operator<=>(const Settings &) const = default;
};

decisions::Result<Settings> parseSettings(const std::string &text);

/// All keys that parseSettings() knows, as (section, key).
std::set<std::pair<std::string, std::string>> knownSettings();

} // namespace rattanbeam::kernel
