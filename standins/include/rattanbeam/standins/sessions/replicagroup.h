#pragma once

#include "rattanbeam/decisions/logposition.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Stand-ins for the outside systems of the sessions interface: members, store, promotion call.
namespace rattanbeam::standins::sessions
{

using Clock = std::chrono::steady_clock;
using decisions::LogPosition;
using decisions::Term;

/// One commit in a member's log.
struct LogEntry {
    Term term = 0;
    /// Unique among all commits of the group, those that were cut back included.
    std::uint64_t commit = 0;
    Clock::time_point at{};

    bool isSameAs(const LogEntry &other) const
    {
        return term == other.term && commit == other.commit;
    }
};

/// What one member holds and believes.
struct GroupMember {
    std::vector<LogEntry> log;
    /// Entries of the log that reads see.
    std::size_t applied = 0;
    Term term = 1;
    bool isPrimary = false;
    /// Term of the fence that keeps it from receiving; 0 when there is none.
    Term fencedAt = 0;
    bool isUp = true;
    /// Receives nothing from its primary.
    bool isDeaf = false;
    std::chrono::milliseconds lag{20};

    LogPosition position() const
    {
        return {term, applied};
    }
    LogPosition received() const
    {
        return {term, log.size()};
    }
};

/// The logs of one service: a primary, replicas that receive and apply later, and promotions that keep what the named member
/// had received. Pure: time is a value.
///
///     ReplicaGroup group({"m1", "m2", "m3"});
///     group.append("m1", now);
///     group.advance(now + 30ms);
class ReplicaGroup
{
public:
    explicit ReplicaGroup(const std::vector<std::string> &members);

    GroupMember &member(const std::string &id)
    {
        return m_members.at(id);
    }
    const std::map<std::string, GroupMember> &members() const
    {
        return m_members;
    }
    /// Adds a commit at a primary; none when the member does not lead.
    std::optional<LogEntry> append(const std::string &id, Clock::time_point now);
    /// The named member leads after the promotion's time. False when it is not running.
    bool promote(const std::string &id, Clock::time_point now);
    void suspend(const std::string &id, Term term);
    void demote(const std::string &id, Term term);
    /// A member that went down keeps its log and comes back as what it was, or as a replica of a later primary.
    void setUp(const std::string &id, bool isUp);
    /// Ships and applies what is due.
    void advance(Clock::time_point now);

    /// The latest term that any member has led.
    Term highestTerm() const
    {
        return m_highestTerm;
    }
    /// The running primary of the latest term; empty when there is none.
    std::string leader() const;
    /// The log that counts: of whoever led the latest term last.
    const std::vector<LogEntry> &leadingLog() const
    {
        return m_members.at(m_latestLeader).log;
    }
    bool survives(const LogEntry &entry) const;

private:
    struct Promotion {
        std::string id;
        Clock::time_point at;
    };
    void lead(const std::string &id);
    void follow(GroupMember &replica, const GroupMember &primary, Clock::time_point now);

    std::map<std::string, GroupMember> m_members;
    std::map<std::string, Clock::time_point> m_supersededSince;
    std::optional<Promotion> m_promotion;
    std::string m_latestLeader;
    Term m_highestTerm = 1;
    std::uint64_t m_lastCommit = 0;
};

} // namespace rattanbeam::standins::sessions
