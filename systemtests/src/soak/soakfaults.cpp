#include "rattanbeam/systemtests/soak/soakfleet.h"

#include <algorithm>
#include <csignal>

/// The faults of a soak. Each returns what ends it, if it has to be ended.
namespace rattanbeam::systemtests::soak
{

using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds registrationLapse = 3600ms;
constexpr std::chrono::milliseconds copyInterval = 250ms; // between copies of the store
constexpr std::chrono::milliseconds oldestCopy = 8s;

} // namespace

void SoakFleet::beginFault()
{
    const int durationMs = pick(300, 5000);
    const int kind = pick(0, 21);
    Undo undo;
    if (kind < 7) {
        undo = disturbInstance(kind, durationMs);
    } else if (kind < 12) {
        undo = disturbStore(kind - 7);
    } else if (kind < 17) {
        undo = disturbMember(kind - 12, durationMs);
    } else if (kind < 20) {
        undo = disturbGroup(kind - 17);
    } else {
        undo = returnStoreFromCopy();
    }
    if (undo) {
        m_undo.emplace_back(Clock::now() + std::chrono::milliseconds(durationMs), std::move(undo));
    }
}

SoakFleet::Undo SoakFleet::disturbInstance(int kind, int durationMs)
{
    Instance &instance = m_instances[static_cast<std::size_t>(pick(0, static_cast<int>(m_instances.size()) - 1))];
    if (!instance.process || instance.isStopping || instance.isDisturbed) {
        return {};
    }
    if (kind < 3) {
        note("kill instance=" + instance.name);
        instance.isDisturbed = true;
        instance.restartAt = Clock::now() + std::chrono::milliseconds(durationMs / 4);
        instance.process->kill(SIGKILL);
        return {};
    }
    if (kind < 5) {
        note("freeze instance=" + instance.name + " ms=" + std::to_string(durationMs));
        instance.isDisturbed = true;
        instance.process->kill(SIGSTOP);
        return [&instance] {
            instance.isDisturbed = false;
            if (instance.process) {
                instance.process->kill(SIGCONT);
            }
        };
    }
    if (kind == 5) {
        note("hangup instance=" + instance.name);
        instance.process->kill(SIGHUP);
        return {};
    }
    note("terminate instance=" + instance.name);
    instance.isStopping = true;
    instance.process->kill(SIGTERM);
    return {};
}

SoakFleet::Undo SoakFleet::disturbStore(int kind)
{
    using standins::sessions::StoreMode;
    if (kind == 4) {
        note("store-forgets-history");
        m_store.compact();
        return {};
    }
    const std::vector<StoreMode> modes{StoreMode::Silent, StoreMode::Busy, StoreMode::Resets, StoreMode::LosesAnswers};
    const StoreMode mode = modes[static_cast<std::size_t>(kind)];
    std::vector<std::size_t> doors;
    const bool isForAll = pick(0, 1) == 0;
    for (const Instance &instance : m_instances) {
        if (isForAll || pick(0, 2) == 0) {
            doors.push_back(instance.storeDoor);
        }
    }
    note("store mode=" + std::to_string(kind) + " doors=" + std::to_string(doors.size()));
    for (const std::size_t door : doors) {
        m_store.setMode(door, mode);
    }
    return [this, doors] {
        for (const std::size_t door : doors) {
            m_store.setMode(door, StoreMode::Serves);
        }
    };
}

/// Keeps copies of the last seconds.
void SoakFleet::keepCopies()
{
    const auto now = Clock::now();
    if (m_copies.empty() || now - m_copies.back().first >= copyInterval) {
        m_copies.emplace_back(now, m_store.copy());
    }
    while (now - m_copies.front().first > oldestCopy) {
        m_copies.pop_front();
    }
}

/// The store goes away, and comes back from an older copy. What the operator and the members wrote since is written again.
SoakFleet::Undo SoakFleet::returnStoreFromCopy()
{
    if (m_isStoreReturning) {
        return {};
    }
    m_isStoreReturning = true;
    note("store-away, to return from a copy");
    for (const Instance &instance : m_instances) {
        m_store.setMode(instance.storeDoor, standins::sessions::StoreMode::Busy);
    }
    return [this] {
        const auto &[madeAt, copy] = m_copies[static_cast<std::size_t>(pick(0, static_cast<int>(m_copies.size()) - 1))];
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - madeAt).count();
        note("store-returns copy_age_ms=" + std::to_string(age));
        m_store.restore(copy);
        m_copies.clear();
        writeConfiguration();
        for (auto &[id, member] : m_members) {
            if (!member.isUp && member.written.empty()) {
                m_store.remove("servers", id);
            }
            member.written.clear();
        }
        for (const Instance &instance : m_instances) {
            m_store.setMode(instance.storeDoor, standins::sessions::StoreMode::Serves);
        }
        m_isStoreReturning = false;
    };
}

SoakFleet::Undo SoakFleet::disturbMember(int kind, int durationMs)
{
    auto at = m_members.begin();
    std::advance(at, pick(0, 2));
    // The primary is what hurts most.
    const std::string id = pick(0, 1) == 0 && !m_group.leader().empty() ? m_group.leader() : at->first;
    Member &member = m_members.at(id);
    const bool areOthersWell = std::all_of(m_members.begin(), m_members.end(), [](const auto &entry) {
        return entry.second.isUp && !entry.second.server->faults().isSilent && !entry.second.isLeaving;
    });
    if (!areOthersWell) {
        return {};
    }
    const std::string what = " member=" + id + " ms=" + std::to_string(durationMs);
    if (kind == 0) {
        note("member-crash" + what);
        member.isUp = false;
        member.lapsesAt = Clock::now() + registrationLapse;
        m_group.setUp(id, false);
        member.server->crash();
        return [this, id, &member] {
            member.isUp = true;
            member.born = unixMs();
            m_group.setUp(id, true);
            member.server->start();
        };
    }
    if (kind == 1) {
        note("member-silent" + what);
        member.server->faults().isSilent = true;
        return [&member] {
            member.server->faults().isSilent = false;
            member.server->resetConnections();
        };
    }
    if (kind == 2) {
        note("member-slow" + what);
        member.server->faults().slowness = 8;
        return [&member] {
            member.server->faults().slowness = 1;
        };
    }
    if (kind == 3) {
        note("member-connections" + what);
        if (pick(0, 1) == 0) {
            member.server->resetConnections();
        } else {
            member.server->silenceOldConnections();
        }
        return {};
    }
    note("member-leaving" + what);
    member.isLeaving = true;
    return [this, id, &member] {
        member.isLeaving = false;
        member.born = unixMs();
        m_group.setUp(id, true);
        member.server->resetConnections();
    };
}

SoakFleet::Undo SoakFleet::disturbGroup(int kind)
{
    if (kind == 0) {
        note("replicas-behind");
        for (auto &[id, member] : m_members) {
            m_group.member(id).lag = 1200ms;
            m_group.member(id).isDeaf = pick(0, 2) == 0;
        }
        return [this] {
            for (auto &[id, member] : m_members) {
                m_group.member(id).lag = 20ms;
                m_group.member(id).isDeaf = false;
            }
        };
    }
    if (kind == 1) {
        note("answers-lost");
        for (auto &[id, member] : m_members) {
            member.server->faults().lostAnswers = 0.03;
            member.server->faults().failures = 0.02;
        }
        return [this] {
            for (auto &[id, member] : m_members) {
                member.server->faults().lostAnswers = 0;
                member.server->faults().failures = 0;
            }
        };
    }
    if (pick(0, 1) == 0) {
        note("configuration-changes");
        m_timeoutMs = static_cast<std::uint32_t>(pick(700, 1100));
        putConfiguration();
        return {};
    }
    note("promotions-down");
    m_arePromotionsDown = true;
    return [this] {
        m_arePromotionsDown = false;
    };
}

} // namespace rattanbeam::systemtests::soak
