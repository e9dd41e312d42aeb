#pragma once

#include "rattanbeam/decisions/identifiers.h"
#include "rattanbeam/decisions/logposition.h"
#include "rattanbeam/decisions/result.h"

#include <cstdint>
#include <map>
#include <string>

namespace rattanbeam::decisions
{

/// Where a member is.
struct MemberPlace {
    FailureDomain domain;
    std::string address;

    auto operator<=>(const MemberPlace &) const = default;
};

/// One database and its members, as the platform's object describes it. The object arbitrates promotions: whoever
/// moves `term` on by a conditional update orders that term's promotion.
struct DatabaseGroup {
    DatabaseName database;
    std::map<MemberId, MemberPlace> members;
    /// Statements that a member runs at once, and connections that it accepts.
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    Term term = 0;
    /// Empty while a promotion is under way.
    MemberId primary;
    /// The attempt that took `term`.
    AttemptId attempt;

    bool isSettled() const
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

/// Keys of the platform's objects.
std::string contractKey(const CustomerId &customer);
std::string groupKey(const DatabaseName &database);

} // namespace rattanbeam::decisions
