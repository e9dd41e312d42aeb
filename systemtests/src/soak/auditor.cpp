#include "rattanbeam/systemtests/soak/auditor.h"

#include <algorithm>
#include <utility>

namespace rattanbeam::systemtests::soak
{

void Auditor::find(const std::string &rule, const std::string &id, const std::string &detail)
{
    m_findings.push_back("rule=" + rule + " request=" + id + ' ' + detail);
}

void Auditor::sent(const SentStatement &statement)
{
    m_requests[statement.id].sent = statement;
}

bool Auditor::holds(const std::string &member, const standins::sessions::LogEntry &entry) const
{
    const auto &state = m_group.members().at(member);
    const auto end = state.log.begin() + static_cast<std::ptrdiff_t>(std::min(state.applied, state.log.size()));
    return std::any_of(std::make_reverse_iterator(end), state.log.rend(), [&](const auto &each) {
        return each.isSameAs(entry);
    });
}

/// Empty when the member's log holds all that the read must see.
std::string Auditor::staleness(const Request &request, const RunStatement &run) const
{
    const auto bound = request.sent.startedAt
                       - (request.sent.freshness == Freshness::Latest ? std::chrono::milliseconds(0) : request.sent.stalenessLimit);
    // The newest commit that survives speaks for all before it.
    bool isBoundChecked = false;
    bool isOwnChecked = request.sent.freshness != Freshness::ReadYourWrites;
    for (auto each = m_acknowledged.rbegin(); each != m_acknowledged.rend() && !(isBoundChecked && isOwnChecked); ++each) {
        const bool isOld = each->at < bound && !isBoundChecked;
        const bool isOwn = each->session == request.sent.session && each->at < request.sent.startedAt && !isOwnChecked;
        const auto &entry = m_commits[each->commit].told.entry;
        if ((!isOld && !isOwn) || !m_group.survives(entry)) {
            continue;
        }
        isBoundChecked = isBoundChecked || isOld;
        isOwnChecked = isOwnChecked || isOwn;
        if (!holds(run.member, entry)) {
            return "member=" + run.member + " lacks=" + std::to_string(entry.term) + '/' + std::to_string(entry.commit)
                   + (isOwn ? " own=true" : " own=false") + " acknowledged_ms_before="
                   + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(request.sent.startedAt - each->at).count());
        }
    }
    return {};
}

void Auditor::checkPinning(const Request &request, const RunStatement &run)
{
    if ((request.sent.transaction == 0) != (run.transaction == 0)) {
        find("PINNED", run.id, "member=" + run.member + " transaction=" + std::to_string(run.transaction));
        return;
    }
    if (run.transaction == 0) {
        return;
    }
    const TransactionKey key{request.sent.session, request.sent.transaction};
    const Place place{run.member, run.connection, run.transaction};
    if (m_owners.try_emplace(place, key).first->second != key) {
        find("PINNED", run.id, "ran in another client's transaction at " + run.member);
    }
    if (request.sent.opensTransaction) {
        m_pins[key] = place; // it may have been tried elsewhere before
    } else if (m_pins[key] != place) {
        find("PINNED", run.id, "left its transaction's connection");
    }
}

void Auditor::ran(const RunStatement &run)
{
    const auto found = m_requests.find(run.id);
    if (found == m_requests.end() || found->second.sent.text != run.text) {
        find("UNASKED", run.id, "text=" + run.text);
        return;
    }
    Request &request = found->second;
    checkPinning(request, run);
    if (run.values != request.sent.values) {
        find("PINNED", run.id, "session values differ at " + run.member);
    }
    if (!request.sent.workspace.empty() && run.caller != request.sent.workspace) {
        find("CALLER", run.id, "of " + request.sent.workspace + " ran for " + run.caller + " at " + run.member);
    }
    const bool isRead = !run.row.empty();
    request.runs[run.signature] = {run.row, isRead ? staleness(request, run) : std::string()};
}

void Auditor::committed(const RunCommit &commit)
{
    m_commits.push_back({commit, false});
    for (const std::string &id : commit.writes) {
        m_requests[id].commits.push_back(m_commits.size() - 1);
    }
    const SentStatement &writer = m_requests[commit.writes.front()].sent;
    if (writer.transaction != 0) {
        m_transactionCommits[{writer.session, writer.transaction}].push_back(m_commits.size() - 1);
    }
}

void Auditor::succeeded(const std::string &id, const std::string &signature, const std::string &row, Clock::time_point now)
{
    Request &request = m_requests.at(id);
    const auto run = request.runs.find(signature);
    if (run == request.runs.end() || run->second.first != row) {
        find("MIXED", id, "signature=" + signature + " row=" + row);
        return;
    }
    if (!run->second.second.empty()) {
        find("STALE", id, run->second.second);
    }
    const bool isCommit = request.sent.text.rfind("COMMIT", 0) == 0;
    for (const std::size_t number : isCommit ? m_transactionCommits[{request.sent.session, request.sent.transaction}] : request.commits) {
        Commit &commit = m_commits[number];
        if (std::exchange(commit.isAcknowledged, true)) {
            continue;
        }
        m_acknowledged.push_back({now, number, request.sent.session});
        if (commit.told.isSuperseded) {
            find("ONE", id, "committed at the replaced primary " + commit.told.member);
        }
    }
}

void Auditor::promisedNotRun(const std::string &id)
{
    m_requests.at(id).isPromised = true;
}

void Auditor::cutByOrderlyStop(const std::string &id)
{
    find("LOST", id, "its instance was stopped in order");
}

void Auditor::finish()
{
    const auto survivors = [&](const std::vector<std::size_t> &commits) {
        return std::count_if(commits.begin(), commits.end(), [&](std::size_t commit) {
            return m_group.survives(m_commits[commit].told.entry);
        });
    };
    for (const auto &[id, request] : m_requests) {
        if (survivors(request.commits) > 1) {
            find("TWICE", id, "commits=" + std::to_string(survivors(request.commits)));
        }
        const TransactionKey key{request.sent.session, request.sent.transaction};
        const auto &kept = request.sent.transaction == 0 ? request.commits : m_transactionCommits[key];
        if (request.isPromised && survivors(kept) > 0) {
            find("REFUSED", id, "its commit survives");
        }
    }
    m_lost = static_cast<std::size_t>(std::count_if(m_acknowledged.begin(), m_acknowledged.end(), [&](const Acknowledged &each) {
        return !m_group.survives(m_commits[each.commit].told.entry);
    }));
}

} // namespace rattanbeam::systemtests::soak
