#pragma once

#include "rattanbeam/systemtests/process.h"
#include "rattanbeam/systemtests/relay.h"

#include "backend.pb.h"
#include "caller.pb.h"
#include "peer.pb.h"
#include "platform.pb.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace rattanbeam::systemtests
{

/// A platform, one database of three members in the domains a, b and c, and an instance in each, as processes. Members
/// and the platform are reached through relays.
class TestFleet
{
public:
    TestFleet();
    TestFleet(const TestFleet &) = delete;
    TestFleet &operator=(const TestFleet &) = delete;
    ~TestFleet();

    pid_t instancePid(const std::string &domain) const
    {
        return m_instances.at(domain)->pid();
    }
    Process &instance(const std::string &domain)
    {
        return *m_instances.at(domain);
    }
    Process &member(const std::string &domain)
    {
        return *m_members.at(domain);
    }
    Relay &memberRelay(const std::string &domain)
    {
        return *m_memberRelays.at(domain);
    }
    /// The way from the instance of `domain` to the platform.
    Relay &platformRelay(const std::string &domain)
    {
        return *m_platformRelays.at(domain);
    }

    /// Starts one more instance; without `platform` it must learn all from its peers.
    std::unique_ptr<Process> startInstance(const std::string &name, const std::string &domain, bool reachesPlatform);

    caller::v1::StatementReply
    execute(const std::string &address, const caller::v1::StatementRequest &request, const std::string &operation = "Execute");
    caller::v1::StatementRequest read(const std::string &sql, const std::string &token = {}) const;
    caller::v1::StatementRequest write(const std::string &sql, const std::string &id = {}) const;
    /// Tries until the statement has run.
    caller::v1::StatementReply executeUntilDone(const std::string &domain, const caller::v1::StatementRequest &request);

    std::optional<peer::v1::ShowReply> show(const std::string &address, const std::string &key);
    platform::v1::Counters setPlatformFaults(const platform::v1::FaultRequest &faults);
    void setMemberFaults(const std::string &domain, const backend::v1::FaultRequest &faults);
    backend::v1::MemberStatus memberStatus(const std::string &domain);
    platform::v1::Object readObject(const std::string &key);
    platform::v1::WriteReply writeObject(const std::string &key, const std::string &text, std::uint64_t expectedVersion);

    /// Runs rattanbeamctl against a platform; returns its exit code.
    int control(const std::string &platform, const std::vector<std::string> &arguments) const;
    /// A further platform, empty.
    std::unique_ptr<Process> startPlatform(const std::string &name) const;
    const std::string &platformAddress() const
    {
        return m_platform->address();
    }
    const std::string &directory() const
    {
        return m_directory;
    }

    /// Contract text with a further connection limit, to have a change to make.
    static std::string contractText(int connections);
    std::string logs() const;

private:
    std::unique_ptr<Process> startMember(const std::string &domain);
    void createGroup();

    std::string m_directory;
    std::unique_ptr<Process> m_platform;
    std::map<std::string, std::unique_ptr<Process>> m_members;
    std::map<std::string, std::unique_ptr<Relay>> m_memberRelays;
    std::map<std::string, std::unique_ptr<Relay>> m_platformRelays;
    std::map<std::string, std::unique_ptr<Process>> m_instances;
};

/// Writes rows through all instances in turn and keeps book of every outcome, until it is stopped.
class Writers
{
public:
    Writers(TestFleet &fleet, int count);
    Writers(const Writers &) = delete;
    Writers &operator=(const Writers &) = delete;
    ~Writers();

    void stop();
    /// Waits until `more` further writes are acknowledged; false after `limit`.
    bool waitForAcknowledged(std::size_t more, std::chrono::seconds limit);

    std::set<std::string> acknowledged() const;
    std::set<std::string> notRun() const;
    std::set<std::string> mayHaveRun() const;
    /// Longest time between two acknowledged writes so far.
    std::chrono::milliseconds longestGap() const;
    std::size_t unanswered() const
    {
        return m_unanswered;
    }
    /// Codes of the requests that failed, for messages.
    std::string failures() const;

private:
    void loop(int number);

    TestFleet &m_fleet;
    std::atomic<bool> m_stopping{false};
    std::atomic<std::size_t> m_unanswered{0};
    mutable std::mutex m_mutex;
    std::set<std::string> m_acknowledged;
    std::set<std::string> m_notRun;
    std::set<std::string> m_mayHaveRun;
    std::map<std::string, int> m_failures;
    std::chrono::steady_clock::time_point m_lastAcknowledged;
    std::chrono::steady_clock::duration m_longestGap{};
    std::vector<std::thread> m_threads;
};

/// What the book and the database disagree on; empty when every promise was kept.
std::string audit(TestFleet &fleet, const Writers &writers);

} // namespace rattanbeam::systemtests
