#include "rattanbeam/decisions/session/callerindex.h"

#include <catch2/catch.hpp>

namespace rattanbeam::decisions::session
{

namespace
{

FleetConfiguration configurationWith(std::optional<std::vector<Workspace>> workspaces)
{
    FleetConfiguration configuration;
    configuration.workspaces = std::move(workspaces);
    return configuration;
}

Route exemptRoute()
{
    Route route;
    route.isAuthenticationExempt = true;
    return route;
}

} // namespace

TEST_CASE("A client is identified by each key of its workspace, and an unknown key is refused", "[callerindex]")
{
    const CallerIndex callers(configurationWith(std::vector<Workspace>{
        {WorkspaceName("mill"), {"k1", "k2"}}, {WorkspaceName("quarry"), {"k3", "k1"}}, {WorkspaceName("idle"), {}}}));
    CHECK(callers.identify(Route(), "k1") == WorkspaceName("mill"));
    CHECK(callers.identify(Route(), "k2") == WorkspaceName("mill"));
    CHECK(callers.identify(Route(), "k3") == WorkspaceName("quarry"));
    CHECK_FALSE(callers.identify(Route(), "idle"));
    CHECK_FALSE(callers.identify(Route(), "mill"));
    CHECK_FALSE(callers.identify(Route(), ""));
}

TEST_CASE("An exempt route accepts any key and still attributes known ones", "[callerindex]")
{
    const CallerIndex callers(configurationWith(std::vector<Workspace>{{WorkspaceName("mill"), {"k1"}}}));
    CHECK(callers.identify(exemptRoute(), "other") == WorkspaceName());
    CHECK(callers.identify(exemptRoute(), "k1") == WorkspaceName("mill"));
}

TEST_CASE("Without workspaces in the configuration clients are not identified; with an empty list all are refused", "[callerindex]")
{
    CHECK(CallerIndex(configurationWith(std::nullopt)).identify(Route(), "any") == WorkspaceName());
    CHECK_FALSE(CallerIndex(configurationWith(std::vector<Workspace>())).identify(Route(), "any"));
}

} // namespace rattanbeam::decisions::session
