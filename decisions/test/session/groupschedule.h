#pragma once

#include "rattanbeam/decisions/session/grouphome.h"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rattanbeam::decisions::session::test
{

using namespace std::chrono_literals;

/// Two homes before one group of three members, a store and a promotion call, driven by a schedule of faults: members die and come
/// back, links between homes, members and the store are cut, homes stand still, answers come late. Checks what clients are told
/// against what the members did.
class GroupSchedule
{
public:
    explicit GroupSchedule(std::uint32_t seed) : m_choices(seed)
    {
        for (int i = 0; i < memberCount; ++i) {
            m_members[i].isPrimary = i == 0;
        }
        for (int i = 0; i < homeCount; ++i) {
            m_homes.push_back(std::make_unique<Home>(*this, i));
            m_homes.back()->machine.membersChanged(records(), m_now);
        }
    }

    /// Ten milliseconds pass; at most one fault begins or ends.
    void step()
    {
        m_now += 10ms;
        fault();
        replicate();
        promote();
        for (auto &home : m_homes) {
            runHome(*home);
        }
        ask();
    }
    const std::string &violation() const
    {
        return m_violation;
    }
    std::size_t acknowledged() const
    {
        return m_acknowledged;
    }
    std::size_t promotions() const
    {
        return m_promotions;
    }
    void heal()
    {
        for (auto &home : m_homes) {
            home->frozenUntil = {};
            home->reachesStore = true;
            home->reaches.fill(true);
        }
        for (Member &member : m_members) {
            member.isUp = true;
        }
        m_isHealing = true;
    }

private:
    static constexpr int memberCount = 3;
    static constexpr int homeCount = 2;

    struct Member {
        bool isUp = true;
        bool isPrimary = false;
        Term term = 1;
        Term fencedAt = 0;
        std::vector<std::pair<Term, std::string>> log;

        LogPosition position() const
        {
            return log.empty() ? LogPosition{1, 0} : LogPosition{log.back().first, log.size()};
        }
    };
    struct Sent {
        ConnectionNumber connection;
        MemberCommand command;
        TimePoint dueAt;
    };
    struct Asked {
        std::string id;
        bool isWrite = false;
        std::set<std::string> mustSee;
    };
    struct Later {
        TimePoint dueAt;
        std::function<void()> run;
    };

    struct Home : HomeEffects {
        Home(GroupSchedule &owner, int number)
            : schedule(owner), name("h" + std::to_string(number) + "/1"), machine(ServiceName("orders"), name, GroupHomeLimits(), *this)
        {
            reaches.fill(true);
        }
        void openConnection(ConnectionNumber connection, const MemberRecord &record) override
        {
            owners[connection] = schedule.memberIndex(record.id);
            later(20ms, [this, connection] {
                const auto owner = owners.find(connection);
                if (owner == owners.end()) {
                    return;
                }
                const bool isReached = reaches[owner->second] && schedule.m_members[owner->second].isUp;
                if (isReached) {
                    machine.connectionOpened(connection, schedule.m_now);
                } else {
                    const auto failure = reaches[owner->second] ? ConnectFailure::Refused : ConnectFailure::TimedOut;
                    owners.erase(connection);
                    machine.connectionFailed(connection, failure, schedule.m_now);
                }
            });
        }
        void sendCommand(ConnectionNumber connection, const MemberCommand &command) override
        {
            sent.push_back({connection, command, schedule.m_now + schedule.delay()});
        }
        void closeConnection(ConnectionNumber connection) override
        {
            owners.erase(connection);
            transactions.erase(connection);
        }
        void reply(RequestNumber request, const HomeReply &reply) override
        {
            schedule.told(*this, request, reply);
        }
        void writeTerm(const TermRecord &record, std::uint64_t expected) override
        {
            const TimePoint startedAt = schedule.m_now;
            later(schedule.delay(), [this, record, expected, startedAt] {
                const bool isDone = reachesStore && schedule.m_revision == expected;
                if (isDone) {
                    schedule.m_term = record;
                    schedule.m_revision = ++schedule.m_storeRevision;
                    machine.termSeen(record, schedule.m_revision, startedAt, schedule.m_now);
                } else {
                    machine.termWriteFailed(reachesStore ? TermWriteFailure::Superseded : TermWriteFailure::StoreUnavailable,
                                            schedule.m_now);
                }
            });
        }
        void readTerm() override
        {
            const TimePoint startedAt = schedule.m_now;
            later(schedule.delay(), [this, startedAt] {
                if (!reachesStore) {
                    return;
                }
                const auto seen = schedule.m_term;
                const auto revision = schedule.m_revision;
                later(schedule.delay(), [this, seen, revision, startedAt] {
                    machine.termSeen(seen, revision, startedAt, schedule.m_now);
                });
            });
        }
        void askPeers(const MemberId &member) override
        {
            later(100ms, [this, member] {
                const auto &other = *schedule.m_homes[this == schedule.m_homes[0].get() ? 1 : 0];
                const int index = schedule.memberIndex(member);
                const bool isReached = other.reaches[index] && schedule.m_members[index].isUp;
                machine.peersAnswered(member, isReached ? 1 : 0, isReached ? 0 : 1, schedule.m_now);
            });
        }
        void askToYield(const std::string &home, std::uint64_t generation) override
        {
            later(schedule.delay(), [this, home, generation] {
                Home &other = *schedule.m_homes[home == schedule.m_homes[0]->name ? 0 : 1];
                if (schedule.m_now < other.frozenUntil || schedule.m_choices() % 3 == 0) {
                    return; // it does not hear
                }
                other.machine.yieldLease(generation, schedule.m_now);
                later(schedule.delay(), [this, home, generation] {
                    machine.leaseYielded(home, generation, schedule.m_now);
                });
            });
        }
        void orderPromotion(const MemberId &member, std::uint64_t token) override
        {
            later(schedule.delay(), [this, member, token] {
                schedule.ordered(member, token);
                machine.promotionAnswered(member, PromotionResult::Accepted, schedule.m_now);
            });
        }
        void report(const HomeLogEvent &) override
        {}
        void later(Duration delay, std::function<void()> run)
        {
            events.push_back({schedule.m_now + delay, std::move(run)});
        }

        GroupSchedule &schedule;
        std::string name;
        std::map<ConnectionNumber, int> owners;
        std::map<ConnectionNumber, std::vector<std::string>> transactions;
        std::deque<Sent> sent;
        std::deque<Later> events;
        std::array<bool, memberCount> reaches{};
        bool reachesStore = true;
        TimePoint frozenUntil{};
        std::map<RequestNumber, Asked> asked;
        RequestNumber lastRequest = 0;
        GroupHome machine;
    };

    std::vector<MemberRecord> records() const
    {
        std::vector<MemberRecord> made;
        made.reserve(memberCount);
        for (int i = 0; i < memberCount; ++i) {
            made.push_back({memberId(i), ServiceName("orders"), "x", FailureDomain("a"), 2, false, i == 0, 1});
        }
        return made;
    }
    static MemberId memberId(int index)
    {
        return MemberId("m" + std::to_string(index));
    }
    int memberIndex(const MemberId &id) const
    {
        return id.text().back() - '0';
    }
    Duration delay()
    {
        return std::chrono::milliseconds(m_choices() % 30);
    }

    void fault()
    {
        constexpr std::uint32_t faultEvery = 25;
        if (m_isHealing || m_choices() % faultEvery != 0) {
            return;
        }
        Home &home = *m_homes[m_choices() % homeCount];
        Member &member = m_members[m_choices() % memberCount];
        switch (m_choices() % 6) {
        case 0:
            member.isUp = !member.isUp;
            break;
        case 1:
        case 2:
            home.reaches[m_choices() % memberCount] ^= true;
            break;
        case 3:
            home.reachesStore = !home.reachesStore;
            break;
        case 4:
            home.frozenUntil = m_now + std::chrono::milliseconds(m_choices() % 4000);
            break;
        default:
            home.reaches.fill(true);
            home.reachesStore = true;
            member.isUp = true;
            break;
        }
    }

    int leader() const
    {
        int best = -1;
        for (int i = 0; i < memberCount; ++i) {
            if (m_members[i].isPrimary && (best < 0 || m_members[i].term > m_members[best].term)) {
                best = i;
            }
        }
        return best;
    }
    /// Replicas follow the leader; one that follows a later term drops what that term does not hold.
    void replicate()
    {
        const int from = leader();
        if (from < 0 || !m_members[from].isUp) {
            return;
        }
        for (int i = 0; i < memberCount; ++i) {
            Member &member = m_members[i];
            if (i != from && member.isUp && !member.isPrimary && member.fencedAt == 0 && m_choices() % 3 == 0) {
                member.log = m_members[from].log;
                member.term = m_members[from].term;
            }
        }
    }
    void ordered(const MemberId &id, std::uint64_t token)
    {
        if (token < m_highestToken) {
            fail("an order with an older token");
        }
        m_highestToken = std::max(m_highestToken, token);
        const int index = memberIndex(id);
        const bool isLeader = leader() == index;
        if (m_members[index].isUp && !isLeader && m_ordered < 0) {
            m_ordered = index;
            m_orderedAt = m_now;
        }
    }
    void promote()
    {
        if (m_ordered < 0 || m_now - m_orderedAt < 600ms) {
            return;
        }
        Member &member = m_members[m_ordered];
        m_ordered = -1;
        if (!member.isUp) {
            return;
        }
        Term highest = 0;
        for (const Member &each : m_members) {
            highest = std::max(highest, each.term);
        }
        member.isPrimary = true;
        member.term = highest + 1;
        member.fencedAt = 0;
        ++m_promotions;
        // What the new leader lacks is rolled back for good.
        std::set<std::string> kept;
        for (const auto &[term, id] : member.log) {
            kept.insert(id);
        }
        for (auto each = m_visible.begin(); each != m_visible.end();) {
            each = kept.contains(*each) ? std::next(each) : m_visible.erase(each);
        }
    }

    void runHome(Home &home)
    {
        if (m_now < home.frozenUntil) {
            return;
        }
        const std::deque<Later> events = std::exchange(home.events, {});
        for (const Later &event : events) {
            if (event.dueAt <= m_now) {
                event.run();
            } else {
                home.events.push_back(event);
            }
        }
        const std::deque<Sent> sent = std::exchange(home.sent, {});
        for (const Sent &each : sent) {
            const auto owner = home.owners.find(each.connection);
            if (owner == home.owners.end()) {
                continue;
            }
            if (each.dueAt > m_now || !home.reaches[owner->second]) {
                home.sent.push_back(each);
            } else if (!m_members[owner->second].isUp) {
                const ConnectionNumber connection = each.connection;
                home.owners.erase(owner);
                home.machine.connectionFailed(connection, ConnectFailure::Lost, m_now);
            } else {
                serve(home, each, m_members[owner->second]);
            }
        }
        home.machine.tick(m_now);
    }
    void serve(Home &home, const Sent &each, Member &member)
    {
        Answer answer = Answer::success(SessionPhase::Idle);
        std::optional<ReplicationStatus> status;
        if (each.command.kind == CommandKind::Statement) {
            runStatement(home, each, member, answer);
        } else {
            if (each.command.kind == CommandKind::Suspend) {
                if (member.isPrimary) {
                    answer = Answer::failure(StatementError::Malformed, "", SessionPhase::Idle);
                } else {
                    member.fencedAt = each.command.term;
                }
            } else if (each.command.kind == CommandKind::Resume) {
                member.fencedAt = 0;
            } else if (each.command.kind == CommandKind::Demote && member.isPrimary && member.term < each.command.term) {
                member.isPrimary = false;
            }
            if (answer.isSuccess()) {
                status = ReplicationStatus{member.isPrimary, member.term, member.position(), member.fencedAt, 10, 0, 1};
            }
        }
        answer.position = member.position();
        home.later(delay(), [this, &home, connection = each.connection, answer, status] {
            const auto owner = home.owners.find(connection);
            if (owner != home.owners.end() && home.reaches[owner->second]) {
                home.machine.answered(connection, answer, status, m_now);
            }
        });
    }
    void runStatement(Home &home, const Sent &each, Member &member, Answer &answer)
    {
        const Statement &statement = each.command.statement;
        const bool isWrite = statement.kind == StatementKind::Write;
        if (isWrite && !member.isPrimary) {
            answer = Answer::failure(StatementError::ReadOnly, "", SessionPhase::Idle);
            return;
        }
        if (statement.after && member.position() < *statement.after) {
            answer = Answer::failure(StatementError::Lagging, "", SessionPhase::Idle);
            return;
        }
        answer.signature = "signed";
        if (isWrite) {
            if (!m_ran.insert(statement.id).second) {
                fail(statement.id + " ran twice");
            }
            if (m_promised.contains(statement.id)) {
                fail(statement.id + " ran although it was promised not to");
            }
            member.log.emplace_back(member.term, statement.id);
            if (&member != &m_members[leader()]) {
                m_ranAtReplaced.insert(statement.id);
            }
            return;
        }
        std::set<std::string> held;
        for (const auto &[term, id] : member.log) {
            held.insert(id);
        }
        for (const auto &[request, asked] : home.asked) {
            if (asked.id != statement.id) {
                continue;
            }
            for (const std::string &needed : asked.mustSee) {
                if (m_visible.contains(needed) && !held.contains(needed)) {
                    m_staleReads.insert(statement.id);
                }
            }
        }
    }

    void ask()
    {
        Home &home = *m_homes[m_choices() % homeCount];
        if (m_now < home.frozenUntil) {
            return;
        }
        HomeRequest request;
        request.number = ++home.lastRequest;
        Asked &asked = home.asked[request.number];
        asked.id = home.name + std::to_string(request.number);
        asked.isWrite = m_choices() % 2 == 0;
        asked.mustSee = m_visible;
        request.forwarded.statement.id = asked.id;
        request.forwarded.statement.kind = asked.isWrite ? StatementKind::Write : StatementKind::Read;
        request.forwarded.statement.arguments = "1 a";
        request.forwarded.isReadOnly = !asked.isWrite;
        request.rank = Rank::Urgent;
        request.arrivedAt = m_now;
        request.deadline = m_now + 800ms;
        request.objectiveAt = m_now + 100ms;
        request.values = std::make_shared<const SessionValues>();
        request.isSubstitute = true;
        home.machine.request(request, m_now);
    }
    void told(Home &home, RequestNumber request, const HomeReply &reply)
    {
        const auto found = home.asked.find(request);
        if (found == home.asked.end()) {
            fail("a second reply to one request");
            return;
        }
        const Asked asked = found->second;
        home.asked.erase(found);
        if (reply.answer.isSuccess()) {
            ++m_acknowledged;
            if (m_ranAtReplaced.contains(asked.id)) {
                fail(asked.id + " was acknowledged by a replaced primary");
            }
            if (m_staleReads.contains(asked.id)) {
                fail(asked.id + " read a log that lacked an acknowledged commit");
            }
            if (asked.isWrite) {
                m_visible.insert(asked.id);
            }
        } else if (asked.isWrite && isNotRun(reply.answer.error)) {
            m_promised.insert(asked.id);
            if (m_ran.contains(asked.id)) {
                fail(asked.id + " was promised not to have run, but did");
            }
        }
    }
    void fail(const std::string &what)
    {
        if (m_violation.empty()) {
            m_violation = what;
        }
    }

    std::mt19937 m_choices;
    TimePoint m_now{1000s};
    std::array<Member, memberCount> m_members;
    std::vector<std::unique_ptr<Home>> m_homes;
    std::optional<TermRecord> m_term;
    std::uint64_t m_revision = 0;
    std::uint64_t m_storeRevision = 0;
    std::uint64_t m_highestToken = 0;
    int m_ordered = -1;
    TimePoint m_orderedAt{};
    /// Acknowledged commits that no promotion has rolled back.
    std::set<std::string> m_visible;
    std::set<std::string> m_ran;
    std::set<std::string> m_promised;
    std::set<std::string> m_ranAtReplaced;
    std::set<std::string> m_staleReads;
    std::string m_violation;
    std::size_t m_acknowledged = 0;
    std::size_t m_promotions = 0;
    bool m_isHealing = false;
};

} // namespace rattanbeam::decisions::session::test
