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

/// Simulation of failover for property tests: three members, their three observers and the platform's object, which
/// exchange messages that a schedule delays, drops, duplicates and reorders.
namespace rattanbeam::decisions::test
{

/// The mechanisms of failover, all enabled. Each derived type disables one, to show that the properties depend on it.
struct AllMechanisms {
    static constexpr bool confirmsWrites = true;
    static constexpr bool checksTermOfConfirmation = true;
    static constexpr bool fencesMajority = true;
    static constexpr bool choosesMostUpToDate = true;
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
struct WithoutUpToDateChoice : AllMechanisms {
    static constexpr bool choosesMostUpToDate = false;
};

/// Runs a schedule of client requests, replication, faults and message deliveries, and checks two properties: a primary
/// has every write that was acknowledged in an earlier term, and no term has two primaries. An index stands for a member
/// together with its home and the home's observer.
///
///     FailoverSchedule<AllMechanisms> schedule(seed);
///     schedule.step(choice);
///     if (!schedule.violation().empty()) { ... }
template<typename Mechanisms>
class FailoverSchedule
{
public:
    static constexpr std::size_t memberCount = 3;
    using Log = model::MemberLog<std::uint64_t>;

    explicit FailoverSchedule(std::uint32_t seed) : m_random(seed)
    {
        m_stored.group = makeGroup();
        m_stored.version = 1;
        const AttemptId firstAttempt("first");
        for (std::size_t i = 0; i < memberCount; ++i) {
            startObserver(i);
            m_members[i].fence(1, firstAttempt);
        }
        m_members[0].promote(1, firstAttempt);
        for (std::size_t i = 1; i < memberCount; ++i) {
            m_members[i].follow(1);
        }
    }

    /// Performs one step. The lower 6 bits of `choice` select the operation, the others its arguments.
    void step(std::uint32_t choice)
    {
        const std::uint32_t argument = choice / 64;
        const std::size_t index = argument % memberCount;
        const std::uint32_t operation = choice % 64;
        if (operation < 5) {
            write(index);
        } else if (operation < 7) {
            retryWrite(index, argument / memberCount);
        } else if (operation < 14) {
            pull(index);
        } else if (operation < 20) {
            askHeldPosition(index, (index + 1 + (argument / memberCount) % 2) % memberCount);
        } else if (operation < 30) {
            advanceTime(std::chrono::milliseconds(50 * (1 + argument % 8)));
        } else if (operation < 32) {
            m_isMemberUp[index] = !m_isMemberUp[index];
        } else if (operation < 33) {
            m_isPlatformUp = !m_isPlatformUp;
        } else if (operation < 34) {
            startObserver(index);
        } else if (operation < 36) {
            // Cuts or restores the link between an observer and a member.
            m_isLinkCut[index][(argument / memberCount) % memberCount] = !m_isLinkCut[index][(argument / memberCount) % memberCount];
        } else {
            deliver(argument);
        }
    }

    /// Ends all faults. Returns the time until a new write is acknowledged; nothing if that takes longer than `limit`.
    std::optional<Duration> heal(Duration limit)
    {
        m_isMemberUp.fill(true);
        m_isPlatformUp = true;
        m_isLinkCut = {};
        const TimePoint start = m_now;
        const std::uint64_t firstNewWriteId = m_nextWriteId;
        while (m_now - start < limit) {
            advanceTime(std::chrono::milliseconds(50));
            for (std::size_t i = 0; i < memberCount; ++i) {
                write(i);
                pull(i);
            }
            deliverAll();
            for (std::size_t i = 0; i < memberCount; ++i) {
                askHeldPosition(i, (i + 1) % memberCount);
                askHeldPosition(i, (i + 2) % memberCount);
            }
            deliverAll();
            if (!m_acknowledgedWrites.empty() && m_acknowledgedWrites.rbegin()->first >= firstNewWriteId) {
                return m_now - start;
            }
        }
        return std::nullopt;
    }

    /// Describes the latest violation of a property; empty if there was none.
    const std::string &violation() const
    {
        return m_violation;
    }
    std::size_t acknowledged() const
    {
        return m_acknowledgedWrites.size();
    }
    std::size_t promotions() const
    {
        return m_promotedPrimaries.size();
    }

private:
    struct AcknowledgedWrite {
        Term term = 0;
    };
    struct PromotedPrimary {
        Term term = 0;
        std::set<std::uint64_t> writes;
    };
    /// The writes that wait for confirmation at the home of one member, and the terms in which they were made.
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
        for (std::size_t i = 0; i < memberCount; ++i) {
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
        const ObserverConfig config{.domain = FailureDomain(domain), .attemptPrefix = domain + std::to_string(++m_observerStarts)};
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
        const std::uint32_t deliveryCase = m_random() % 10;
        // Case 0 loses the message and case 1 delivers it but keeps it for another delivery: one in ten each.
        if (deliveryCase != 1) {
            m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
        }
        if (deliveryCase != 0) {
            message();
        }
    }

    /// Delivers all messages in order, also those sent meanwhile; at most 10,000, in case they never end.
    void deliverAll()
    {
        for (std::size_t delivered = 0; !m_messages.empty() && delivered < 10'000; ++delivered) {
            const std::function<void()> message = m_messages.front();
            m_messages.pop_front();
            message();
        }
    }

    /// Advances the clock, then passes the stored group and a tick to each observer.
    void advanceTime(Duration duration)
    {
        m_now += duration;
        for (std::size_t i = 0; i < memberCount; ++i) {
            if (m_isPlatformUp) {
                perform(i, m_observers[i]->groupChanged(m_stored, {memberName(i)}, m_now));
            }
            perform(i, m_observers[i]->tick(m_now));
        }
    }

    bool canReach(std::size_t observer, std::size_t member) const
    {
        return m_isMemberUp[member] && !m_isLinkCut[observer][member];
    }

    void write(std::size_t i)
    {
        if (!m_isMemberUp[i] || m_members[i].role() != model::MemberRole::Primary) {
            return;
        }
        const std::uint64_t id = m_nextWriteId++;
        m_members[i].append(m_members[i].term(), id);
        awaitConfirmation(i, id, m_members[i].end());
    }

    /// A client repeats an earlier request: the primary finds the stored id and answers once that entry is confirmed.
    void retryWrite(std::size_t i, std::uint32_t choice)
    {
        const auto &entries = m_members[i].entries();
        if (!m_isMemberUp[i] || m_members[i].role() != model::MemberRole::Primary) {
            return;
        }
        const auto &entry = entries[choice % entries.size()];
        if (entry.payload != 0) {
            awaitConfirmation(i, entry.payload, entry.at.position);
        }
    }

    void awaitConfirmation(std::size_t i, std::uint64_t id, std::uint64_t position)
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

    /// Member `i` asks the primary of its term for log entries; the answer is sent as a message.
    void pull(std::size_t i)
    {
        for (std::size_t from = 0; from < memberCount; ++from) {
            if (from == i || !m_isMemberUp[from] || !m_isMemberUp[i]) {
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

    /// The home of `i` asks up to which position `other` holds the log; the answer is sent as a message.
    void askHeldPosition(std::size_t i, std::size_t other)
    {
        if (!m_isMemberUp[other]) {
            return;
        }
        const Term term = m_homes[i].tracker.term();
        const Term reportedTerm = Mechanisms::checksTermOfConfirmation ? m_members[other].term() : term;
        const std::uint64_t held
            = Mechanisms::checksTermOfConfirmation ? m_members[other].heldPosition(reportedTerm) : m_members[other].end();
        send([this, i, other, reportedTerm, held] {
            for (const WriteId id : m_homes[i].tracker.held(memberName(other), reportedTerm, held)) {
                acknowledge(id, m_homes[i].writes.at(id));
            }
        });
    }

    void acknowledge(std::uint64_t id, Term term)
    {
        m_acknowledgedWrites[id] = {term};
        for (const PromotedPrimary &primary : m_promotedPrimaries) {
            if (primary.term > term && !primary.writes.contains(id)) {
                m_violation = "write " + std::to_string(id) + " of term " + std::to_string(term)
                              + " acknowledged, missing from the primary of term " + std::to_string(primary.term);
            }
        }
    }

    void recordPromotion(std::size_t i)
    {
        PromotedPrimary primary{m_members[i].term(), {}};
        for (const auto &entry : m_members[i].entries()) {
            primary.writes.insert(entry.payload);
        }
        for (const auto &[id, write] : m_acknowledgedWrites) {
            if (write.term < primary.term && !primary.writes.contains(id)) {
                m_violation = "primary of term " + std::to_string(primary.term) + " misses the acknowledged write " + std::to_string(id);
            }
        }
        for (const PromotedPrimary &earlier : m_promotedPrimaries) {
            if (earlier.term == primary.term) {
                m_violation = "two primaries of term " + std::to_string(primary.term);
            }
        }
        m_promotedPrimaries.push_back(primary);
    }

    void perform(std::size_t i, const ObserverActions &actions)
    {
        for (const ObserverAction &action : actions) {
            std::visit(
                [&](const auto &each) {
                    performOne(i, each);
                },
                action);
        }
    }

    void performOne(std::size_t i, const ProbeMember &probe)
    {
        const std::size_t member = memberIndex(probe.member);
        const auto status = canReach(i, member) ? std::optional(statusOf(member)) : std::nullopt;
        const TimePoint askedAt = m_now;
        // Reported at once and not as a message: a probe always ends, at the latest by its timeout.
        perform(i, m_observers[i]->probeEnded(probe.member, probe.isOnNewConnection, askedAt, status, m_now));
    }
    void performOne(std::size_t i, const FollowPrimary &follow)
    {
        const std::size_t member = memberIndex(follow.member);
        send([this, i, member, follow] {
            if (canReach(i, member)) {
                m_members[member].follow(follow.term);
            }
        });
    }
    void performOne(std::size_t i, const NotifyPeers & /*notify*/)
    {
        const Suspicion &suspicion = m_observers[i]->suspicion();
        const FailureDomain domain(std::string(1, static_cast<char>('a' + i)));
        for (std::size_t peer = 0; peer < memberCount; ++peer) {
            if (peer != i) {
                send([this, peer, domain, term = suspicion.term(), isSuspected = suspicion.isSuspectedLocally()] {
                    perform(peer, m_observers[peer]->peerSuspicionReceived(domain, term, isSuspected, m_now));
                });
            }
        }
    }
    void performOne(std::size_t /*i*/, const PauseMember & /*pause*/)
    {}
    void performOne(std::size_t /*i*/, const ReportPromotion & /*report*/)
    {}
    void performOne(std::size_t i, const WriteGroup &write)
    {
        const AttemptId attempt = write.group.attempt;
        send([this, i, write, attempt] {
            if (!m_isPlatformUp) {
                send([this, i, attempt] {
                    perform(i, m_observers[i]->writeUnanswered(attempt, m_now));
                });
                return;
            }
            const bool isApplied = write.expectedVersion == m_stored.version;
            if (isApplied) {
                m_stored = {write.group, m_stored.version + 1};
            }
            const StoredGroup current = m_stored;
            const bool isAnswerLost = m_random() % 5 == 0;
            send([this, i, attempt, isApplied, current, isAnswerLost] {
                perform(i,
                        isAnswerLost ? m_observers[i]->writeUnanswered(attempt, m_now)
                                     : m_observers[i]->writeAnswered(attempt, isApplied, current, m_now));
            });
        });
    }
    void performOne(std::size_t i, const ReadGroup & /*read*/)
    {
        const AttemptId attempt = m_observers[i]->latestAttempt();
        if (!m_isPlatformUp) {
            return;
        }
        send([this, i, attempt, current = m_stored] {
            perform(i, m_observers[i]->readAnswered(attempt, current, m_now));
        });
    }
    void performOne(std::size_t i, const FenceMember &fence)
    {
        const std::size_t member = memberIndex(fence.member);
        if (!Mechanisms::fencesMajority) {
            send([this, i, fence, last = m_members[member].last()] {
                perform(i, m_observers[i]->fenceAnswered(fence.attempt, fence.member, true, last, m_now));
            });
            return;
        }
        send([this, i, member, fence] {
            if (!canReach(i, member)) {
                return;
            }
            const bool isAccepted = m_members[member].fence(fence.term, fence.attempt);
            const LogPosition last = Mechanisms::choosesMostUpToDate ? m_members[member].last() : LogPosition{0, m_random() % 3};
            send([this, i, fence, isAccepted, last] {
                perform(i, m_observers[i]->fenceAnswered(fence.attempt, fence.member, isAccepted, last, m_now));
            });
        });
    }
    void performOne(std::size_t i, const PromoteMember &promote)
    {
        const std::size_t member = memberIndex(promote.member);
        send([this, i, member, promote] {
            if (!canReach(i, member)) {
                return;
            }
            if (!Mechanisms::fencesMajority) {
                m_members[member].fence(promote.term, promote.attempt);
            }
            const bool wasPrimary = m_members[member].role() == model::MemberRole::Primary;
            const bool isAccepted = m_members[member].promote(promote.term, promote.attempt);
            if (isAccepted && !wasPrimary) {
                recordPromotion(member);
            }
            send([this, i, promote, isAccepted] {
                perform(i, m_observers[i]->promoteAnswered(promote.attempt, promote.member, isAccepted, m_now));
            });
        });
    }

    std::minstd_rand m_random;
    TimePoint m_now{std::chrono::hours(1)};
    StoredGroup m_stored;
    bool m_isPlatformUp = true;
    std::array<Log, memberCount> m_members;
    std::array<bool, memberCount> m_isMemberUp{true, true, true};
    std::array<std::array<bool, memberCount>, memberCount> m_isLinkCut{};
    std::array<std::optional<GroupObserver>, memberCount> m_observers;
    std::array<Home, memberCount> m_homes;
    std::deque<std::function<void()>> m_messages;
    std::uint64_t m_nextWriteId = 1;
    std::uint64_t m_observerStarts = 0;
    std::map<std::uint64_t, AcknowledgedWrite> m_acknowledgedWrites;
    std::vector<PromotedPrimary> m_promotedPrimaries;
    std::string m_violation;
};

} // namespace rattanbeam::decisions::test
