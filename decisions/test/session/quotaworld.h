#pragma once

#include "rattanbeam/decisions/session/quotashare.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rattanbeam::decisions::session::test
{

using namespace std::chrono_literals;

/// Many instances with quotas in simulated time. Links delay and lose messages, instances pause and restart, and each has a clock of its
/// own. The time of each admitted operation is kept.
class QuotaWorld
{
public:
    struct Instance {
        InstanceId id;
        std::size_t domain = 0;
        std::unique_ptr<QuotaShare> quotas;
        /// Messages to an earlier run are lost or, if they are requests, handled by the present one.
        std::uint64_t run = 0;
        bool isUp = false;
        Duration pausedUntil{};
        Duration clockOffset{};
        double clockRate = 1;
        bool mayAdvance = false;
        std::uint32_t knownInstances = 1;
        std::size_t orderOffset = 0; ///< By which its order of pools differs from that of the others.
        QuotaLimits limits;
    };
    struct Counts {
        std::size_t sent = 0;
        std::size_t admitted = 0;
        std::size_t refused = 0;
        std::size_t waited = 0;
        Duration longestWait{};
    };

    QuotaWorld(std::size_t count, const QuotaBound &worldBound, std::uint32_t seed) : bound(worldBound), random(seed)
    {
        for (std::size_t i = 0; i < count; ++i) {
            Instance instance;
            instance.id = InstanceId("i" + std::to_string(i));
            instance.domain = i % domains;
            instance.clockOffset = std::chrono::milliseconds(static_cast<int>(uniform(1, 1e6)));
            instance.clockRate = 1 + (uniform(0, 20) - 10) * 1e-4;
            instances.push_back(std::move(instance));
        }
    }
    double uniform(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(random);
    }
    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
    }
    TimePoint clock(const Instance &instance) const
    {
        const auto local = std::chrono::duration<double>(time) * instance.clockRate;
        return TimePoint(1h + instance.clockOffset + std::chrono::duration_cast<Duration>(local));
    }
    void at(Duration when, std::function<void()> function)
    {
        m_events.push({std::max(when, time), ++m_lastEvent, std::move(function)});
    }
    void runUntil(Duration end)
    {
        while (!m_events.empty() && m_events.top().when <= end) {
            Event event = m_events.top();
            m_events.pop();
            time = event.when;
            event.function();
        }
        time = end;
    }
    void start(std::size_t index)
    {
        Instance &instance = instances[index];
        instance.isUp = true;
        ++instance.run;
        m_waiting.erase(m_waiting.lower_bound({index, 0}), m_waiting.lower_bound({index + 1, 0}));
        instance.quotas = std::make_unique<QuotaShare>(instance.id, bound, clock(instance));
        instance.quotas->setLimits(instance.limits, clock(instance));
        instance.quotas->setAdvances(instance.mayAdvance);
        setView(index, instance.knownInstances, true);
        tick(index, instance.run);
    }
    void stop(std::size_t index)
    {
        instances[index].isUp = false;
        ++instances[index].run;
    }
    void pause(std::size_t index, Duration length)
    {
        instances[index].pausedUntil = time + length;
    }
    void setView(std::size_t index, std::uint32_t knownInstances, bool isRegistered)
    {
        Instance &instance = instances[index];
        instance.knownInstances = knownInstances;
        std::vector<InstanceId> order;
        for (std::size_t i = 0; i < poolOrder.size(); ++i) {
            order.push_back(instances[poolOrder[(i + instance.orderOffset) % poolOrder.size()]].id);
        }
        instance.quotas->setFleet(std::move(order), knownInstances, isRegistered, clock(instance));
    }
    void setLimits(std::size_t index, const QuotaLimits &limits)
    {
        Instance &instance = instances[index];
        instance.limits = limits;
        if (instance.isUp) {
            instance.quotas->setLimits(limits, clock(instance));
            pump(index);
        }
    }
    /// An operation arrives at the instance, or once its pause has ended.
    void operate(std::size_t index, const WorkspaceName &workspace)
    {
        Instance &instance = instances[index];
        if (time < instance.pausedUntil) {
            at(instance.pausedUntil, [this, index, workspace] {
                operate(index, workspace);
            });
            return;
        }
        if (!instance.isUp) {
            return;
        }
        Counts &workspaceCounts = counts[workspace];
        ++workspaceCounts.sent;
        const QuotaOperation number = ++m_lastOperation;
        const QuotaDecision decision = instance.quotas->request(number, workspace, clock(instance) + 800ms, clock(instance));
        if (decision.verdict == QuotaVerdict::Waiting) {
            ++workspaceCounts.waited;
            m_waiting[{index, number}] = {workspace, time};
        } else {
            count(workspace, decision.verdict == QuotaVerdict::Admitted);
        }
        pump(index);
    }
    bool isCut(std::size_t from, std::size_t to) const
    {
        return cutDomains.contains(instances[from].domain) != cutDomains.contains(instances[to].domain) || cutInstances.contains(from)
               || cutInstances.contains(to);
    }

    /// Checks from now on that no share is in force at two instances.
    void watchShares()
    {
        std::set<InstanceId> shares;
        for (const Instance &instance : instances) {
            if (instance.isUp) {
                for (const InstanceId &share : instance.quotas->sharesInForce(clock(instance))) {
                    sharesCountedTwice += shares.insert(share).second ? 0 : 1;
                }
            }
        }
        at(time + 10ms, [this] {
            watchShares();
        });
    }

    static constexpr std::size_t domains = 4;
    QuotaBound bound;
    std::mt19937 random;
    Duration time{};
    std::vector<Instance> instances;
    std::vector<std::size_t> poolOrder;
    /// Domains and instances that are separated from all others.
    std::set<std::size_t> cutDomains;
    std::set<std::size_t> cutInstances;
    double lossProbability = 0;
    double delayProbability = 0; ///< Of a delay of up to 3 s.
    std::map<WorkspaceName, std::vector<Duration>> admitted;
    std::map<WorkspaceName, Counts> counts;
    std::size_t requests = 0;
    std::size_t sharesCountedTwice = 0;

private:
    struct Event {
        Duration when;
        std::uint64_t number;
        std::function<void()> function;
        bool operator<(const Event &other) const
        {
            return std::pair(when, number) > std::pair(other.when, other.number);
        }
    };

    void tick(std::size_t index, std::uint64_t run)
    {
        Instance &instance = instances[index];
        if (instance.run != run || !instance.isUp) {
            return;
        }
        if (time >= instance.pausedUntil) {
            instance.quotas->tick(clock(instance));
            pump(index);
        }
        at(std::max(time + 10ms, instance.pausedUntil), [this, index, run] {
            tick(index, run);
        });
    }
    void count(const WorkspaceName &workspace, bool isAdmitted)
    {
        if (isAdmitted) {
            admitted[workspace].push_back(time);
            ++counts[workspace].admitted;
        } else {
            ++counts[workspace].refused;
        }
    }
    Duration delay()
    {
        const bool isLong = uniform(0, 1) < delayProbability;
        return std::chrono::microseconds(static_cast<std::int64_t>(isLong ? uniform(30'000, 3'000'000) : uniform(300, 5'000)));
    }
    void pump(std::size_t index)
    {
        Instance &instance = instances[index];
        for (QuotaMessage &message : instance.quotas->takeMessages(clock(instance))) {
            ++requests;
            const std::size_t pool = std::stoul(message.pool.text().substr(1));
            if (isCut(index, pool) || uniform(0, 1) < lossProbability) {
                continue;
            }
            at(time + delay(), [this, index, pool, run = instance.run, request = std::move(message.request)] {
                requestArrived(index, run, pool, request);
            });
        }
        for (const QuotaOutcome &outcome : instance.quotas->takeOutcomes()) {
            const auto waiting = m_waiting.find({index, outcome.operation});
            if (waiting != m_waiting.end()) {
                const auto [workspace, since] = waiting->second;
                m_waiting.erase(waiting);
                counts[workspace].longestWait = std::max(counts[workspace].longestWait, time - since);
                count(workspace, outcome.isAdmitted);
            }
        }
    }
    void requestArrived(std::size_t sender, std::uint64_t run, std::size_t pool, const QuotaRequest &request)
    {
        Instance &instance = instances[pool];
        if (time < instance.pausedUntil) {
            at(instance.pausedUntil, [=, this] {
                requestArrived(sender, run, pool, request);
            });
            return;
        }
        if (!instance.isUp) {
            return;
        }
        const QuotaReply reply = instance.quotas->handleRequest(instances[sender].id, request, clock(instance));
        if (isCut(sender, pool) || uniform(0, 1) < lossProbability) {
            return;
        }
        at(time + delay(), [=, this] {
            replyArrived(sender, run, pool, reply);
        });
    }
    void replyArrived(std::size_t sender, std::uint64_t run, std::size_t pool, const QuotaReply &reply)
    {
        Instance &instance = instances[sender];
        if (instance.run != run) {
            return;
        }
        if (time < instance.pausedUntil) {
            at(instance.pausedUntil, [=, this] {
                replyArrived(sender, run, pool, reply);
            });
            return;
        }
        instance.quotas->replyArrived(instances[pool].id, reply, clock(instance));
        pump(sender);
    }

    std::priority_queue<Event> m_events;
    std::uint64_t m_lastEvent = 0;
    QuotaOperation m_lastOperation = 0;
    std::map<std::pair<std::size_t, QuotaOperation>, std::pair<WorkspaceName, Duration>> m_waiting;
};

/// The largest number of operations in a window of the given length that begins at or after `from`.
inline std::size_t maxInWindow(const std::vector<Duration> &times, Duration length, Duration from = {})
{
    std::size_t most = 0;
    auto first = std::lower_bound(times.begin(), times.end(), from);
    for (auto last = first; last != times.end(); ++last) {
        while (*last - *first > length) {
            ++first;
        }
        most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    return most;
}

} // namespace rattanbeam::decisions::session::test
