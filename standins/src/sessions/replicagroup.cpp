#include "rattanbeam/standins/sessions/replicagroup.h"

#include <algorithm>

namespace rattanbeam::standins::sessions
{

using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds promotionTime = 400ms;
constexpr std::chrono::milliseconds shippingTime = 2ms;
constexpr std::chrono::milliseconds selfDemotionTime = 1s; // after an old primary sees a new one

} // namespace

ReplicaGroup::ReplicaGroup(const std::vector<std::string> &members) : m_latestLeader(members.front())
{
    for (const std::string &id : members) {
        m_members[id].isPrimary = id == members.front();
    }
}

std::optional<LogEntry> ReplicaGroup::append(const std::string &id, Clock::time_point now)
{
    GroupMember &member = m_members.at(id);
    if (!member.isUp || !member.isPrimary) {
        return std::nullopt;
    }
    member.log.push_back({member.term, ++m_lastCommit, now});
    member.applied = member.log.size();
    return member.log.back();
}

bool ReplicaGroup::promote(const std::string &id, Clock::time_point now)
{
    const auto found = m_members.find(id);
    if (found == m_members.end() || !found->second.isUp) {
        return false;
    }
    if (id != leader()) {
        m_promotion = {id, now + promotionTime};
    }
    return true;
}

void ReplicaGroup::lead(const std::string &id)
{
    GroupMember &member = m_members.at(id);
    if (!member.isUp) {
        return;
    }
    member.term = ++m_highestTerm;
    member.isPrimary = true;
    member.fencedAt = 0;
    member.applied = member.log.size();
    m_latestLeader = id;
}

void ReplicaGroup::suspend(const std::string &id, Term term)
{
    GroupMember &member = m_members.at(id);
    if (!member.isPrimary && term > m_highestTerm) {
        member.fencedAt = std::max(member.fencedAt, term);
    }
}

void ReplicaGroup::demote(const std::string &id, Term term)
{
    GroupMember &member = m_members.at(id);
    if (term > member.term) {
        member.isPrimary = false;
    }
}

void ReplicaGroup::setUp(const std::string &id, bool isUp)
{
    GroupMember &member = m_members.at(id);
    member.isUp = isUp;
    member.fencedAt = 0;
    if (isUp && member.term < m_highestTerm) {
        member.isPrimary = false;
    }
}

std::string ReplicaGroup::leader() const
{
    const GroupMember &member = m_members.at(m_latestLeader);
    return member.isUp && member.isPrimary ? m_latestLeader : std::string();
}

bool ReplicaGroup::survives(const LogEntry &entry) const
{
    const auto &log = leadingLog();
    return std::any_of(log.rbegin(), log.rend(), [&](const LogEntry &each) {
        return each.isSameAs(entry);
    });
}

void ReplicaGroup::follow(GroupMember &replica, const GroupMember &primary, Clock::time_point now)
{
    // Equal entries at one position mean equal logs up to there.
    std::size_t common = std::min(replica.log.size(), primary.log.size());
    while (common > 0 && !replica.log[common - 1].isSameAs(primary.log[common - 1])) {
        --common;
    }
    replica.term = primary.term;
    replica.log.resize(common);
    replica.applied = std::min(replica.applied, common);
    while (replica.log.size() < primary.log.size() && primary.log[replica.log.size()].at + shippingTime <= now) {
        replica.log.push_back(primary.log[replica.log.size()]);
    }
    while (replica.applied < replica.log.size() && replica.log[replica.applied].at + replica.lag <= now) {
        ++replica.applied;
    }
}

void ReplicaGroup::advance(Clock::time_point now)
{
    if (m_promotion && now >= m_promotion->at) {
        const std::string id = m_promotion->id;
        m_promotion.reset();
        lead(id);
    }
    const std::string leading = leader();
    if (leading.empty()) {
        m_supersededSince.clear();
        return;
    }
    const GroupMember &primary = m_members.at(leading);
    for (auto &[id, member] : m_members) {
        if (!member.isUp || id == leading) {
            continue;
        }
        if (member.isPrimary) {
            const auto since = m_supersededSince.try_emplace(id, now).first->second;
            if (now - since >= selfDemotionTime) {
                member.isPrimary = false;
                m_supersededSince.erase(id);
            }
        } else if (member.fencedAt == 0 && !member.isDeaf) {
            follow(member, primary, now);
        }
    }
}

} // namespace rattanbeam::standins::sessions
