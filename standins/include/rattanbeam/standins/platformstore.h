#pragma once

#include "rattanbeam/decisions/configstore.h"
#include "rattanbeam/decisions/membership.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace rattanbeam::standins
{

struct WriteOutcome {
    bool isApplied = false;
    decisions::ConfigObject object;

    auto operator<=>(const WriteOutcome &) const = default;
};

/// The stand-in platform's objects and its lagging list of instances.
class PlatformStore
{
public:
    /// Largest object, in bytes.
    static constexpr std::size_t maxObjectBytes = 1 << 20;

    decisions::ConfigObject read(const std::string &key) const;
    decisions::ConfigChanges changesAfter(std::uint64_t after, std::size_t most) const;
    /// Waits for a change after `after`; gives up after `wait` or when `stop()` was called.
    bool waitForChange(std::uint64_t after, std::chrono::milliseconds wait) const;

    /// Applies a change if the object still has `expectedVersion`.
    WriteOutcome write(const std::string &key, const std::string &text, std::uint64_t expectedVersion, bool remove);

    void announce(const decisions::InstanceRecord &instance);
    /// The instances as they were `lag` ago; one that stopped announcing stays listed for the lag and a while.
    std::vector<decisions::InstanceRecord> instances(std::chrono::milliseconds lag) const;

    void stop();

private:
    struct Announced {
        decisions::InstanceRecord record;
        std::chrono::steady_clock::time_point first;
        std::chrono::steady_clock::time_point last;
    };

    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    decisions::ConfigStore m_store;
    std::uint64_t m_version = 0;
    std::map<decisions::InstanceId, Announced> m_instances;
    bool m_stopping = false;
};

} // namespace rattanbeam::standins
