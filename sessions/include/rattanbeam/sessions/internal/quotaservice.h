#pragma once

#include "rattanbeam/decisions/session/homeplan.h"
#include "rattanbeam/decisions/session/quotashare.h"
#include "rattanbeam/kernel/metrics.h"
#include "rattanbeam/sessions/eventloop.h"
#include "rattanbeam/sessions/internal/directory.h"
#include "rattanbeam/sessions/internal/peerlinks.h"
#include "rattanbeam/sessions/sessionsettings.h"

#include "link.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace rattanbeam::sessions::internal
{

/// Workspace quotas at this instance: passes operations, messages and fleet changes to decisions::session::QuotaShare, and carries out
/// its decisions.
class QuotaService
{
public:
    using Operation = decisions::session::QuotaOperation;
    using Callback = std::function<void(bool isAdmitted, decisions::Duration retryAfter)>;
    struct Decision {
        decisions::session::QuotaVerdict verdict = decisions::session::QuotaVerdict::Admitted;
        decisions::Duration retryAfter{};
        Operation operation = 0;
    };

    QuotaService(const SessionSettings &settings, Directory &directory, PeerLinks &links, kernel::Metrics &metrics);

    /// Whether operations of the workspace need request().
    bool isLimited(const decisions::session::WorkspaceName &workspace) const
    {
        return m_quotas.isLimited(workspace);
    }
    /// If the verdict is Waiting, whenDecided() has to be called next.
    Decision request(const decisions::session::WorkspaceName &workspace, decisions::TimePoint deadline);
    /// Calls back within 100 ms, unless the connection of `entry` ends.
    void whenDecided(Operation operation, const std::string &entry, Callback callback);
    void entryLost(const std::string &entry);
    link::v1::QuotaReply handleRequest(const link::v1::QuotaRequest &message);
    void replyArrived(const std::string &address, const link::v1::QuotaReply &message);
    void fleetChanged(const std::map<decisions::session::ServiceName, decisions::session::HomeRanking> &homes);
    void tick();
    /// Number of operations that wait for a decision.
    std::size_t waiting() const
    {
        return m_waiting.size();
    }
    /// Number of instances that delegate their shares to this one.
    std::size_t delegations() const
    {
        return m_quotas.delegations();
    }

private:
    struct Waiting {
        std::string entry;
        decisions::session::WorkspaceName workspace;
        Callback callback;
    };

    void updateFleet();
    void countInstances(decisions::TimePoint now);
    void sendMessages(decisions::TimePoint now);
    void deliverOutcomes();
    void countOutcome(const decisions::session::WorkspaceName &workspace, bool isAdmitted);
    void logPool();
    void logRefusals(decisions::TimePoint now);

    const SessionSettings &m_settings;
    Directory &m_directory;
    PeerLinks &m_links;
    kernel::Metrics &m_metrics;
    decisions::session::QuotaShare m_quotas;
    Operation m_lastOperation = 0;
    std::map<Operation, Waiting> m_waiting;
    /// Digest of the instances and version of the configuration that the shares were computed from.
    std::pair<std::uint64_t, std::uint64_t> m_basis;
    std::vector<decisions::InstanceId> m_poolOrder;
    std::map<decisions::InstanceId, std::string> m_addresses;
    std::map<std::string, decisions::InstanceId> m_instancesByAddress;
    /// When each instance was registered last.
    std::map<decisions::InstanceId, decisions::TimePoint> m_lastRegistered;
    decisions::TimePoint m_countedAt = decisions::distantPast;
    decisions::InstanceId m_loggedPool;
    std::uint64_t m_countedTokens = 0;
    /// Refused operations since the last log lines.
    std::map<decisions::session::WorkspaceName, std::uint64_t> m_refusals;
    decisions::TimePoint m_refusalsLoggedAt = decisions::distantPast;
};

} // namespace rattanbeam::sessions::internal
