#pragma once

#include "rattanbeam/decisions/identifiers.h"
#include "rattanbeam/decisions/logposition.h"
#include "rattanbeam/decisions/result.h"

#include <cstdint>
#include <map>
#include <string>

namespace rattanbeam::decisions
{

/// Failure domain and network address of a member.
struct MemberLocation {
    FailureDomain domain;
    std::string address;

    auto operator<=>(const MemberLocation &) const = default;
};

/// One database and its members, as stored in the platform's object. The object decides between concurrent promotions:
/// the attempt that advances `term` with a conditional update orders the promotion of that term.
struct DatabaseGroup {
    DatabaseName database;
    std::map<MemberId, MemberLocation> members;
    /// Maximum number of statements that a member runs concurrently, and of connections that it accepts.
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    Term term = 0;
    /// Empty while a promotion is in progress.
    MemberId primary;
    /// The promotion attempt that advanced the group to `term`.
    AttemptId attempt;

    bool hasPrimary() const
    {
        return !primary.isEmpty();
    }
    std::size_t majority() const
    {
        return members.size() / 2 + 1;
    }

    auto operator<=>(const DatabaseGroup &) const = default;
};

Result<DatabaseGroup> parseDatabaseGroup(const std::string &text);
std::string formatDatabaseGroup(const DatabaseGroup &group);

/// Keys under which the platform stores the objects.
std::string contractKey(const CustomerId &customer);
std::string groupKey(const DatabaseName &database);

} // namespace rattanbeam::decisions
