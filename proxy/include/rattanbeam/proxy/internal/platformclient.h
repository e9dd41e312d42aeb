#pragma once

#include "rattanbeam/decisions/configstore.h"
#include "rattanbeam/decisions/membership.h"
#include "rattanbeam/decisions/timepoint.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rattanbeam::proxy::internal
{

/// Answer to a conditional update.
struct PlatformWrite {
    bool isApplied = false;
    /// The object as it now stands.
    decisions::ConfigObject object;

    auto operator<=>(const PlatformWrite &) const = default;
};

/// Calls to the platform's object API. Callbacks run on threads of the library and get nothing when no answer came.
class PlatformClient
{
public:
    using WriteCallback = std::function<void(const std::optional<PlatformWrite> &)>;
    using ReadCallback = std::function<void(const std::optional<decisions::ConfigObject> &)>;
    using InstancesCallback = std::function<void(const std::optional<std::vector<decisions::InstanceRecord>> &)>;
    using ChangesCallback = std::function<void(const decisions::ConfigChanges &)>;

    explicit PlatformClient(const std::string &address);
    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;
    ~PlatformClient();

    void read(const std::string &key, decisions::TimePoint deadline, ReadCallback callback);
    void write(const decisions::ConfigObject &object, std::uint64_t expectedVersion, decisions::TimePoint deadline, WriteCallback callback);
    void instances(decisions::TimePoint deadline, InstancesCallback callback);
    void announce(const decisions::InstanceRecord &self, decisions::TimePoint deadline);

    /// Watches all changes after `after` until stopWatch(); `ended` is called when the watch breaks.
    void watch(std::uint64_t after, ChangesCallback changed, std::function<void()> ended);
    void stopWatch();

private:
    class Stub;
    class Watcher;
    std::unique_ptr<Stub> m_stub;
    std::shared_ptr<Watcher> m_watcher;
};

} // namespace rattanbeam::proxy::internal
