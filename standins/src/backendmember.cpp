#include "rattanbeam/standins/backendmember.h"

#include <utility>

namespace rattanbeam::standins
{

BackendMember::BackendMember(const BackendOptions &options) : m_options(options), m_slots(options.slots)
{
    createTables(tablePath());
    m_applyHandle = std::make_unique<SqlHandle>(tablePath());
    if (options.startsAsPrimary) {
        const decisions::AttemptId first("first");
        m_log.fence(1, first);
        promote(1, first);
    }
    m_applier = std::thread([this] {
        applyLoop();
    });
}

BackendMember::~BackendMember()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_applier.join();
    m_applyHandle.reset();
    removeTables(tablePath());
}

std::string BackendMember::tablePath() const
{
    return m_options.directory + "/tables-" + std::to_string(m_generation) + ".db";
}

std::unique_ptr<BackendMember::Session> BackendMember::openSession()
{
    return std::make_unique<Session>(*this);
}

decisions::MemberStatus BackendMember::status() const
{
    const std::lock_guard lock(m_mutex);
    decisions::MemberStatus status;
    status.term = m_log.term();
    status.isPrimary = m_log.role() == model::MemberRole::Primary;
    status.isFollowing = m_log.role() == model::MemberRole::Follower && m_log.isReconciled();
    status.isLeaving = m_leaving;
    status.held = m_log.last();
    status.applied = m_applied;
    status.history = m_log.history();
    return status;
}

bool BackendMember::fence(decisions::Term term, const decisions::AttemptId &attempt)
{
    // No commit may stand between its check of the term and its log entry.
    const std::lock_guard writer(m_tableWriter);
    const std::lock_guard lock(m_mutex);
    return m_log.fence(term, attempt);
}

bool BackendMember::promote(decisions::Term term, const decisions::AttemptId &attempt)
{
    const std::lock_guard writer(m_tableWriter);
    {
        const std::lock_guard lock(m_mutex);
        if (!m_log.promote(term, attempt)) {
            return false;
        }
        m_arrivals.clear();
    }
    applyUpTo(m_log.end());
    m_changed.notify_all();
    return true;
}

bool BackendMember::follow(decisions::Term term)
{
    const std::lock_guard writer(m_tableWriter);
    const std::lock_guard lock(m_mutex);
    const bool accepted = m_log.follow(term);
    m_changed.notify_all();
    return accepted;
}

decisions::MemberStatus BackendMember::waitHeld(decisions::Term term, std::uint64_t position, std::chrono::milliseconds wait)
{
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, wait, [&] {
            return m_stopping || m_log.term() != term || m_log.heldPosition(term) >= position;
        });
    }
    return status();
}

BackendMember::Log::Batch
BackendMember::pull(decisions::Term term, const decisions::TermHistory &history, std::uint64_t end, std::chrono::milliseconds wait)
{
    constexpr std::size_t mostEntries = 500;
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, wait, [&] {
        return m_stopping || m_log.term() != term || m_log.end() > end;
    });
    return m_log.batchFor(term, history, end, mostEntries);
}

void BackendMember::accept(const Log::Batch &batch)
{
    const std::lock_guard writer(m_tableWriter);
    const std::lock_guard lock(m_mutex);
    const std::uint64_t kept = m_log.accept(batch);
    if (kept < m_applied) {
        rebuildTables(kept);
    }
    std::erase_if(m_arrivals, [kept](const Arrival &each) {
        return each.position > kept;
    });
    if (m_log.end() > kept) {
        m_arrivals.push_back({m_log.end(), std::chrono::steady_clock::now() + m_options.applyLag});
    }
    m_changed.notify_all();
}

void BackendMember::setLeaving(bool leaving)
{
    const std::lock_guard lock(m_mutex);
    m_leaving = leaving;
}

void BackendMember::setLags(std::chrono::milliseconds apply, std::chrono::milliseconds ship)
{
    const std::lock_guard lock(m_mutex);
    m_options.applyLag = apply;
    m_options.shipLag = ship;
}

std::chrono::milliseconds BackendMember::shipLag() const
{
    const std::lock_guard lock(m_mutex);
    return m_options.shipLag;
}

void BackendMember::applyLoop()
{
    while (true) {
        std::uint64_t target = 0;
        {
            std::unique_lock lock(m_mutex);
            if (m_stopping) {
                return;
            }
            if (m_arrivals.empty()) {
                m_changed.wait(lock);
                continue;
            }
            const Arrival next = m_arrivals.front();
            if (next.applyAt > std::chrono::steady_clock::now()) {
                m_changed.wait_until(lock, next.applyAt);
                continue;
            }
        }
        const std::lock_guard writer(m_tableWriter);
        {
            const std::lock_guard lock(m_mutex);
            if (m_arrivals.empty() || m_arrivals.front().applyAt > std::chrono::steady_clock::now()) {
                continue;
            }
            target = m_arrivals.front().position;
            m_arrivals.pop_front();
        }
        applyUpTo(target);
    }
}

/// The caller holds m_tableWriter, so that the log's entries below its end stay as they are.
void BackendMember::applyUpTo(std::uint64_t position)
{
    std::vector<Log::Entry> entries;
    {
        const std::lock_guard lock(m_mutex);
        const auto &all = m_log.entries();
        const auto until = std::min<std::uint64_t>(position, all.size());
        if (m_applied < until) {
            entries.assign(all.begin() + static_cast<std::ptrdiff_t>(m_applied), all.begin() + static_cast<std::ptrdiff_t>(until));
        }
    }
    if (entries.empty()) {
        return;
    }
    m_applyHandle->begin(true);
    for (const Log::Entry &entry : entries) {
        for (const std::string &sql : entry.payload.statements) {
            m_applyHandle->run(sql, true);
        }
        if (!entry.payload.requestId.empty()) {
            m_applyHandle->storeRequest(entry.payload.requestId, {entry.payload.requestDigest, entry.payload.rowsChanged, entry.at});
        }
    }
    m_applyHandle->setPosition(entries.back().at);
    m_applyHandle->commit();
    const std::lock_guard lock(m_mutex);
    m_applied = entries.back().at.position;
}

/// Entries that had been applied were dropped: builds the tables anew. The caller holds both mutexes.
void BackendMember::rebuildTables(std::uint64_t kept)
{
    const std::string oldPath = tablePath();
    ++m_generation;
    m_applied = 0;
    createTables(tablePath());
    m_applyHandle = std::make_unique<SqlHandle>(tablePath());
    removeTables(oldPath);
    m_arrivals.clear();
    m_arrivals.push_back({kept, std::chrono::steady_clock::now()});
}

} // namespace rattanbeam::standins
