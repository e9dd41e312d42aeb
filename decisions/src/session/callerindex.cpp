#include "rattanbeam/decisions/session/callerindex.h"

namespace rattanbeam::decisions::session
{

CallerIndex::CallerIndex(const FleetConfiguration &configuration) : m_identifiesClients(configuration.workspaces.has_value())
{
    if (!m_identifiesClients) {
        return;
    }
    for (const Workspace &workspace : *configuration.workspaces) {
        for (const std::string &key : workspace.keys) {
            m_workspaces.emplace(key, workspace.name);
        }
    }
}

std::optional<WorkspaceName> CallerIndex::identify(const Route &route, const std::string &key) const
{
    if (!m_identifiesClients) {
        return WorkspaceName();
    }
    const auto found = m_workspaces.find(key);
    if (found != m_workspaces.end()) {
        return found->second;
    }
    return route.isAuthenticationExempt ? std::optional(WorkspaceName()) : std::nullopt;
}

} // namespace rattanbeam::decisions::session
