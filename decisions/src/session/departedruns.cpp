#include "rattanbeam/decisions/session/departedruns.h"

#include <algorithm>

namespace rattanbeam::decisions::session
{

std::string MemberRun::text() const
{
    return member.text() + '/' + std::to_string(incarnation);
}

std::string_view departureCauseName(DepartedRuns::Cause cause)
{
    switch (cause) {
    case DepartedRuns::Cause::ReceivedElsewhere:
        return "received-elsewhere";
    case DepartedRuns::Cause::TimedOut:
        return "timed-out";
    case DepartedRuns::Cause::GivenUp:
        return "given-up";
    }
    return "unknown";
}

void DepartedRuns::unregistered(const MemberRun &run, TimePoint since)
{
    m_departures.try_emplace(run, Departure{since, {}, {}});
}

void DepartedRuns::ended(const MemberRun &run, TimePoint now)
{
    Departure &departure = m_departures.try_emplace(run, Departure{now, {}, {}}).first->second;
    departure.endedAt = departure.endedAt.value_or(now);
    std::erase_if(m_departures, [&](const auto &entry) {
        return entry.first.member == run.member && entry.first != run && entry.second.endedAt;
    });
}

void DepartedRuns::registered(const MemberRun &run, TimePoint now)
{
    m_departures.erase(run);
    // A run that is not known by its incarnation is taken for the one that registers.
    m_departures.erase({run.member, 0});
    for (auto &[departed, departure] : m_departures) {
        if (departed.member == run.member) {
            departure.endedAt = departure.endedAt.value_or(now); // a member has one process at a time
        }
    }
}

void DepartedRuns::primaryAnswered(const LogPosition &position, TimePoint sentAt)
{
    for (auto &[run, departure] : m_departures) {
        if (departure.endedAt && !departure.bound && sentAt >= *departure.endedAt) {
            departure.bound = position;
        }
    }
}

void DepartedRuns::primaryChanged()
{
    std::erase_if(m_departures, [](const auto &entry) {
        return entry.second.endedAt.has_value();
    });
}

std::vector<DepartedRuns::Forgotten>
DepartedRuns::update(const std::vector<LogPosition> &received, std::size_t synchronousReplicas, bool hasPrimary, TimePoint now)
{
    std::vector<Forgotten> forgotten;
    for (auto &[run, departure] : m_departures) {
        if (departure.isForgotten) {
            continue;
        }
        if (!departure.endedAt && now - departure.since >= timeout) {
            departure.endedAt = now;
        }
        if (!departure.endedAt) {
            continue;
        }
        const auto receivers = std::count_if(received.begin(), received.end(), [bound = departure.bound](const LogPosition &position) {
            return bound && position >= *bound;
        });
        if (departure.bound && static_cast<std::size_t>(receivers) >= synchronousReplicas) {
            forgotten.push_back({run, Cause::ReceivedElsewhere});
        } else if (hasPrimary && !departure.bound && now - *departure.endedAt >= timeout) {
            forgotten.push_back({run, Cause::TimedOut});
        }
    }
    for (const Forgotten &each : forgotten) {
        m_departures.at(each.run).isForgotten = true;
    }
    return forgotten;
}

bool DepartedRuns::giveUp(const MemberRun &run, TimePoint leaderlessSince, TimePoint now)
{
    const auto found = m_departures.find(run);
    if (found == m_departures.end() || found->second.isForgotten || now - std::max(found->second.since, leaderlessSince) < timeout) {
        return false;
    }
    found->second.isForgotten = true;
    return true;
}

std::vector<MemberRun> DepartedRuns::awaited() const
{
    std::vector<MemberRun> runs;
    for (const auto &[run, departure] : m_departures) {
        if (!departure.isForgotten) {
            runs.push_back(run);
        }
    }
    return runs;
}

bool DepartedRuns::isAwaited(const MemberId &member) const
{
    return std::any_of(m_departures.begin(), m_departures.end(), [&](const auto &entry) {
        return entry.first.member == member && !entry.second.isForgotten;
    });
}

bool DepartedRuns::contains(const MemberId &member) const
{
    return std::any_of(m_departures.begin(), m_departures.end(), [&](const auto &entry) {
        return entry.first.member == member;
    });
}

void DepartedRuns::dropForgottenExcept(const std::vector<MemberId> &members)
{
    std::erase_if(m_departures, [&](const auto &entry) {
        return entry.second.isForgotten && std::find(members.begin(), members.end(), entry.first.member) == members.end();
    });
}

Duration DepartedRuns::absence(const MemberRun &run, TimePoint now) const
{
    const auto found = m_departures.find(run);
    return found == m_departures.end() ? Duration{} : now - found->second.since;
}

} // namespace rattanbeam::decisions::session
