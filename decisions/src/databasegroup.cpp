#include "rattanbeam/decisions/databasegroup.h"

#include "rattanbeam/decisions/contract.h"
#include "rattanbeam/decisions/inireader.h"

namespace rattanbeam::decisions
{

namespace
{

constexpr std::int64_t maxSlots = 1'000;
constexpr std::int64_t maxConnections = 10'000;
constexpr std::int64_t maxTerm = INT64_MAX;

void readMembers(IniReader &reader, DatabaseGroup &group)
{
    for (const std::string &name : reader.namedSections("member")) {
        const std::string section = "member " + name;
        if (!isValidName(name)) {
            reader.fail(section, "", "'" + name + "' is not a name of 1 to 64 letters a-z, digits and hyphens");
        }
        MemberLocation location;
        location.domain = FailureDomain(reader.requiredText(section, "domain"));
        location.address = reader.requiredText(section, "address");
        group.members[MemberId(name)] = location;
    }
    if (group.members.empty()) {
        reader.fail("member NAME", "", "a group needs at least one such section");
    }
}

} // namespace

Result<DatabaseGroup> parseDatabaseGroup(const std::string &text)
{
    IniReader reader(text);
    DatabaseGroup group;
    group.database = DatabaseName(reader.requiredText("group", "database"));
    if (!group.database.isEmpty() && !isValidName(group.database.text())) {
        reader.fail("group", "database", "is not a name of 1 to 64 letters a-z, digits and hyphens");
    }
    group.slots = static_cast<std::uint32_t>(reader.requiredInteger("group", "slots", {1, maxSlots}));
    group.connections = static_cast<std::uint32_t>(reader.requiredInteger("group", "connections", {1, maxConnections}));
    group.term = static_cast<Term>(reader.requiredInteger("group", "term", {1, maxTerm}));
    group.primary = MemberId(reader.text("group", "primary", ""));
    group.attempt = AttemptId(reader.text("group", "attempt", ""));
    readMembers(reader, group);
    if (group.hasPrimary() && !group.members.contains(group.primary)) {
        reader.fail("group", "primary", "'" + group.primary.text() + "' is not a member");
    }
    if (const auto error = reader.finish()) {
        return *error;
    }
    return group;
}

std::string formatDatabaseGroup(const DatabaseGroup &group)
{
    std::string text = "[group]\ndatabase=" + group.database.text() + "\nslots=" + std::to_string(group.slots)
                       + "\nconnections=" + std::to_string(group.connections) + "\nterm=" + std::to_string(group.term)
                       + "\nprimary=" + group.primary.text() + "\nattempt=" + group.attempt.text() + "\n";
    for (const auto &[member, location] : group.members) {
        text += "\n[member " + member.text() + "]\ndomain=" + location.domain.text() + "\naddress=" + location.address + "\n";
    }
    return text;
}

std::string contractKey(const CustomerId &customer)
{
    return "contract/" + customer.text();
}

std::string groupKey(const DatabaseName &database)
{
    return "group/" + database.text();
}

} // namespace rattanbeam::decisions
