#pragma once

#include "rattanbeam/decisions/session/fleetrecords.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace rattanbeam::decisions::session
{

/// Finds the workspaces of clients by their keys, for one version of the configuration.
class CallerIndex
{
public:
    explicit CallerIndex(const FleetConfiguration &configuration);

    /// The workspace whose client presents `key` on `route`. Empty for a client that need not be identified; no value if the client may not
    /// use the route. A key that several workspaces list belongs to the first of them.
    std::optional<WorkspaceName> identify(const Route &route, const std::string &key) const;

private:
    bool m_identifiesClients = false;
    std::unordered_map<std::string, WorkspaceName> m_workspaces;
};

} // namespace rattanbeam::decisions::session
