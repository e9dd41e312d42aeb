#pragma once

#include "rattanbeam/decisions/confirmation.h"
#include "rattanbeam/decisions/groupobserver.h"
#include "rattanbeam/model/memberlog.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Small fakes for the properties of failover: three members, their three observers and the platform's object, joined
/// by messages that a schedule delays, drops, repeats and reorders.
namespace rattanbeam::decisions::test
{

/// The mechanisms as they are. A test takes one out by a type that differs in that one point.
struct AllMechanisms {
    static constexpr bool confirmsWrites = true;
    static constexpr bool checksTermOfConfirmation = true;
    static constexpr bool fencesMajority = true;
    static constexpr bool choosesBest = true;
};

struct WithoutConfirmation : AllMechanisms {
    static constexpr bool confirmsWrites = false;
};
struct WithoutTermCheck : AllMechanisms {
    static constexpr bool checksTermOfConfirmation = false;
};
struct WithoutFencing : AllMechanisms {
    static constexpr bool fencesMajority = false;
};
struct WithoutBestChoice : AllMechanisms {
    static constexpr bool choosesBest = false;
};

template<typename Mechanisms>
class FailoverSchedule
{
public:
    static constexpr std::size_t count = 3;
    using Log = model::MemberLog<std::uint64_t>;

    explicit FailoverSchedule(std::uint32_t seed) : m_random(seed)
    {
        m_stored.group = makeGroup();
        m_stored.version = 1;
        const AttemptId first("first");
        for (std::size_t i = 0; i < count; ++i) {
            startObserver(i);
            m_members[i].fence(1, first);
        }
        m_members[0].promote(1, first);
        for (std::size_t i = 1; i < count; ++i) {
            m_members[i].follow(1);
        }
    }

    /// One step of the schedule, chosen by `choice`.
    void step(std::uint32_t choice)
    {
        const std::uint32_t detail = choice / 64;
        const std::size_t who = detail % count;
        const std::uint32_t kind = choice % 64;
        if (kind < 5) {
            write(who);
        } else if (kind < 7) {
            repeat(who, detail / count);
        } else if (kind < 14) {
            pull(who);
        } else if (kind < 20) {
            askHeld(who, (who + 1 + (detail / count) % 2) % count);
        } else if (kind < 30) {
            advance(std::chrono::milliseconds(50 * (1 + detail % 8)));
        } else if (kind < 32) {
            m_memberUp[who] = !m_memberUp[who];
        } else if (kind < 33) {
            m_platformUp = !m_platformUp;
        } else if (kind < 34) {
            startObserver(who);
        } else if (kind < 36) {
            // A cut between an observer and a member, or its end.
            m_cut[who][(detail / count) % count] = !m_cut[who][(detail / count) % count];
        } else {
            deliver(detail);
        }
    }

    /// All faults end; returns the time until a new write is acknowledged, or nothing within `limit`.
    std::optional<Duration> heal(Duration limit)
    {
        m_memberUp.fill(true);
        m_platformUp = true;
        m_cut = {};
        const TimePoint start = m_now;
        const std::uint64_t before = m_nextWrite;
        while (m_now - start < limit) {
            advance(std::chrono::milliseconds(50));
            for (std::size_t i = 0; i < count; ++i) {
                write(i);
                pull(i);
            }
            deliverAll();
            for (std::size_t i = 0; i < count; ++i) {
                askHeld(i, (i + 1) % count);
                askHeld(i, (i + 2) % count);
            }
            deliverAll();
            if (!m_acknowledged.empty() && m_acknowledged.rbegin()->first >= before) {
                return m_now - start;
            }
        }
        return std::nullopt;
    }

    /// What was broken; empty when nothing was.
    const std::string &violation() const
    {
        return m_violation;
    }
    std::size_t acknowledged() const
    {
        return m_acknowledged.size();
    }
    std::size_t promotions() const
    {
        return m_promoted.size();
    }

private:
    struct Acknowledged {
        Term term = 0;
    };
    struct Promoted {
        Term term = 0;
        std::set<std::uint64_t> writes;
    };
    /// The confirmations at the home of one member.
    struct Home {
        ConfirmationTracker tracker{Mechanisms::confirmsWrites ? 1U : 0U};
        std::map<WriteId, Term> writes;
    };

    static DatabaseGroup makeGroup()
    {
        DatabaseGroup group;
        group.database = DatabaseName("orders");
        group.term = 1;
        group.primary = memberName(0);
        group.attempt = AttemptId("first");
        for (std::size_t i = 0; i < count; ++i) {
            group.members[memberName(i)] = {FailureDomain(std::string(1, static_cast<char>('a' + i))), "address"};
        }
        return group;
    }
    static MemberId memberName(std::size_t i)
    {
        return MemberId("member-" + std::to_string(i));
    }
    static std::size_t memberIndex(const MemberId &member)
    {
        return static_cast<std::size_t>(member.text().back() - '0');
    }

    MemberStatus statusOf(std::size_t i) const
    {
        const Log &log = m_members[i];
        MemberStatus status;
        status.term = log.term();
        status.isPrimary = log.role() == model::MemberRole::Primary;
        status.isFollowing = log.role() == model::MemberRole::Follower && log.isReconciled();
        status.held = log.last();
        status.applied = log.end();
        status.history = log.history();
        return status;
    }

    void startObserver(std::size_t i)
    {
        const std::string domain(1, static_cast<char>('a' + i));
        const ObserverConfig config{.domain = FailureDomain(domain), .attemptPrefix = domain + std::to_string(++m_starts)};
        m_observers[i].emplace(config, m_stored);
        perform(i, m_observers[i]->groupChanged(m_stored, {memberName(i)}, m_now));
    }

    void send(std::function<void()> message)
    {
        m_messages.push_back(std::move(message));
    }

    void deliver(std::uint32_t choice)
    {
        if (m_messages.empty()) {
            return;
        }
        const std::size_t index = choice % m_messages.size();
        const std::function<void()> message = m_messages[index];
        const std::uint32_t fate = m_random() % 10;
        // One in ten is lost, and one in ten comes again.
        if (fate != 1) {
            m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
        }
        if (fate != 0) {
            message();
        }
    }

    void deliverAll()
    {
        for (std::size_t guard = 0; !m_messages.empty() && guard < 10'000; ++guard) {
            const std::function<void()> message = m_messages.front();
            m_messages.pop_front();
            message();
        }
    }

    void advance(Duration time)
    {
        m_now += time;
        for (std::size_t i = 0; i < count; ++i) {
            if (m_platformUp) {
                perform(i, m_observers[i]->groupChanged(m_stored, {memberName(i)}, m_now));
            }
            perform(i, m_observers[i]->tick(m_now));
        }
    }

    bool reaches(std::size_t observer, std::size_t member) const
    {
        return m_memberUp[member] && !m_cut[observer][member];
    }

    void write(std::size_t i)
    {
        if (!m_memberUp[i] || m_members[i].role() != model::MemberRole::Primary) {
            return;
        }
        const std::uint64_t id = m_nextWrite++;
        m_members[i].append(m_members[i].term(), id);
        confirm(i, id, m_members[i].end());
    }

    /// A repeat of an earlier request: the primary finds its id stored, and answers when that entry is confirmed.
    void repeat(std::size_t i, std::uint32_t choice)
    {
        const auto &entries = m_members[i].entries();
        if (!m_memberUp[i] || m_members[i].role() != model::MemberRole::Primary) {
            return;
        }
        const auto &entry = entries[choice % entries.size()];
        if (entry.payload != 0) {
            confirm(i, entry.payload, entry.at.position);
        }
    }

    void confirm(std::size_t i, std::uint64_t id, std::uint64_t position)
    {
        Home &home = m_homes[i];
        const Term term = m_members[i].term();
        const std::uint64_t barrier = m_members[i].history().starts().back().start + 1;
        home.tracker.startTerm(term, barrier);
        home.writes[id] = term;
        if (home.tracker.add(id, position)) {
            acknowledge(id, term);
        }
    }

    /// Member `i` asks the primary of its term for entries; the answer travels.
    void pull(std::size_t i)
    {
        for (std::size_t from = 0; from < count; ++from) {
            if (from == i || !m_memberUp[from] || !m_memberUp[i]) {
                continue;
            }
            const auto batch
                = m_members[from].batchFor(m_members[i].term(), m_members[i].history(), m_members[i].end(), 1 + m_random() % 3);
            if (batch.term != 0) {
                send([this, i, batch] {
                    m_members[i].accept(batch);
                });
            }
        }
    }

    /// The home of `i` asks what `other` holds; the answer travels.
    void askHeld(std::size_t i, std::size_t other)
    {
        if (!m_memberUp[other]) {
            return;
        }
        const Term term = m_homes[i].tracker.term();
        const Term answered = Mechanisms::checksTermOfConfirmation ? m_members[other].term() : term;
        const std::uint64_t held = Mechanisms::checksTermOfConfirmation ? m_members[other].heldUnder(answered) : m_members[other].end();
        send([this, i, other, answered, held] {
            for (const WriteId id : m_homes[i].tracker.held(memberName(other), answered, held)) {
                acknowledge(id, m_homes[i].writes.at(id));
            }
        });
    }

    void acknowledge(std::uint64_t id, Term term)
    {
        m_acknowledged[id] = {term};
        for (const Promoted &promoted : m_promoted) {
            if (promoted.term > term && !promoted.writes.contains(id)) {
                m_violation = "write " + std::to_string(id) + " of term " + std::to_string(term)
                              + " acknowledged, missing from the primary of term " + std::to_string(promoted.term);
            }
        }
    }

    void notePromotion(std::size_t i)
    {
        Promoted promoted{m_members[i].term(), {}};
        for (const auto &entry : m_members[i].entries()) {
            promoted.writes.insert(entry.payload);
        }
        for (const auto &[id, write] : m_acknowledged) {
            if (write.term < promoted.term && !promoted.writes.contains(id)) {
                m_violation = "primary of term " + std::to_string(promoted.term) + " misses the acknowledged write " + std::to_string(id);
            }
        }
        for (const Promoted &earlier : m_promoted) {
            if (earlier.term == promoted.term) {
                m_violation = "two primaries of term " + std::to_string(promoted.term);
            }
        }
        m_promoted.push_back(promoted);
    }

    void perform(std::size_t i, const ObserverActions &actions)
    {
        for (const ObserverAction &action : actions) {
            std::visit(
                [&](const auto &each) {
                    carryOut(i, each);
                },
                action);
        }
    }

    void carryOut(std::size_t i, const ProbeMember &probe)
    {
        const std::size_t member = memberIndex(probe.member);
        const auto status = reaches(i, member) ? std::optional(statusOf(member)) : std::nullopt;
        const TimePoint askedAt = m_now;
        // An observer's own probe always ends, by its timeout at the latest.
        perform(i, m_observers[i]->probeEnded(probe.member, probe.isFresh, askedAt, status, m_now));
    }
    void carryOut(std::size_t i, const FollowPrimary &follow)
    {
        const std::size_t member = memberIndex(follow.member);
        send([this, i, member, follow] {
            if (reaches(i, member)) {
                m_members[member].follow(follow.term);
            }
        });
    }
    void carryOut(std::size_t i, const TellPeers & /*tell*/)
    {
        const Suspicion &suspicion = m_observers[i]->suspicion();
        const FailureDomain domain(std::string(1, static_cast<char>('a' + i)));
        for (std::size_t peer = 0; peer < count; ++peer) {
            if (peer != i) {
                send([this, peer, domain, term = suspicion.term(), suspected = suspicion.suspectsItself()] {
                    perform(peer, m_observers[peer]->peerSuspects(domain, term, suspected, m_now));
                });
            }
        }
    }
    void carryOut(std::size_t /*i*/, const HoldMember & /*hold*/)
    {}
    void carryOut(std::size_t /*i*/, const ReportPromotion & /*report*/)
    {}
    void carryOut(std::size_t i, const WriteGroup &write)
    {
        const AttemptId attempt = write.group.attempt;
        send([this, i, write, attempt] {
            if (!m_platformUp) {
                send([this, i, attempt] {
                    perform(i, m_observers[i]->writeUnanswered(attempt, m_now));
                });
                return;
            }
            const bool applied = write.expectedVersion == m_stored.version;
            if (applied) {
                m_stored = {write.group, m_stored.version + 1};
            }
            const StoredGroup now = m_stored;
            const bool answerLost = m_random() % 5 == 0;
            send([this, i, attempt, applied, now, answerLost] {
                perform(i,
                        answerLost ? m_observers[i]->writeUnanswered(attempt, m_now)
                                   : m_observers[i]->written(attempt, applied, now, m_now));
            });
        });
    }
    void carryOut(std::size_t i, const ReadGroup & /*read*/)
    {
        const AttemptId attempt = m_observers[i]->currentAttempt();
        if (!m_platformUp) {
            return;
        }
        send([this, i, attempt, now = m_stored] {
            perform(i, m_observers[i]->readBack(attempt, now, m_now));
        });
    }
    void carryOut(std::size_t i, const FenceMember &fence)
    {
        const std::size_t member = memberIndex(fence.member);
        if (!Mechanisms::fencesMajority) {
            send([this, i, fence, last = m_members[member].last()] {
                perform(i, m_observers[i]->fenced(fence.attempt, fence.member, true, last, m_now));
            });
            return;
        }
        send([this, i, member, fence] {
            if (!reaches(i, member)) {
                return;
            }
            const bool accepted = m_members[member].fence(fence.term, fence.attempt);
            const LogPosition last = Mechanisms::choosesBest ? m_members[member].last() : LogPosition{0, m_random() % 3};
            send([this, i, fence, accepted, last] {
                perform(i, m_observers[i]->fenced(fence.attempt, fence.member, accepted, last, m_now));
            });
        });
    }
    void carryOut(std::size_t i, const PromoteMember &promote)
    {
        const std::size_t member = memberIndex(promote.member);
        send([this, i, member, promote] {
            if (!reaches(i, member)) {
                return;
            }
            if (!Mechanisms::fencesMajority) {
                m_members[member].fence(promote.term, promote.attempt);
            }
            const bool wasPrimary = m_members[member].role() == model::MemberRole::Primary;
            const bool accepted = m_members[member].promote(promote.term, promote.attempt);
            if (accepted && !wasPrimary) {
                notePromotion(member);
            }
            send([this, i, promote, accepted] {
                perform(i, m_observers[i]->promoted(promote.attempt, promote.member, accepted, m_now));
            });
        });
    }

    std::minstd_rand m_random;
    TimePoint m_now{std::chrono::hours(1)};
    StoredGroup m_stored;
    bool m_platformUp = true;
    std::array<Log, count> m_members;
    std::array<bool, count> m_memberUp{true, true, true};
    std::array<std::array<bool, count>, count> m_cut{};
    std::array<std::optional<GroupObserver>, count> m_observers;
    std::array<Home, count> m_homes;
    std::deque<std::function<void()>> m_messages;
    std::uint64_t m_nextWrite = 1;
    std::uint64_t m_starts = 0;
    std::map<std::uint64_t, Acknowledged> m_acknowledged;
    std::vector<Promoted> m_promoted;
    std::string m_violation;
};

} // namespace rattanbeam::decisions::test
