#include "rattanbeam/standins/backendmember.h"

#include <utility>

namespace rattanbeam::standins
{

using decisions::ErrorCode;
using decisions::Outcome;

namespace
{

class SlotGuard
{
public:
    explicit SlotGuard(std::counting_semaphore<1024> &slots) : m_slots(slots)
    {
        m_slots.acquire();
    }
    SlotGuard(const SlotGuard &) = delete;
    SlotGuard &operator=(const SlotGuard &) = delete;
    ~SlotGuard()
    {
        m_slots.release();
    }

private:
    std::counting_semaphore<1024> &m_slots;
};

StatementAnswer failed(ErrorCode code, const std::string &error)
{
    StatementAnswer answer;
    answer.outcome = Outcome::refusal(code);
    answer.error = error;
    return answer;
}

} // namespace

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
            return m_stopping || m_log.term() != term || m_log.heldUnder(term) >= position;
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

SqlHandle &BackendMember::Session::handle()
{
    std::string path;
    std::uint64_t generation = 0;
    {
        const std::lock_guard lock(m_member.m_mutex);
        path = m_member.tablePath();
        generation = m_member.m_generation;
    }
    if (!m_handle || generation != m_generation) {
        m_handle = std::make_unique<SqlHandle>(path);
        m_generation = generation;
    }
    return *m_handle;
}

StatementAnswer BackendMember::Session::execute(
    const std::string &sql, bool isWrite, decisions::Term term, const std::string &requestId, const std::string &digest)
{
    if (m_inTransaction) {
        return failed(ErrorCode::MalformedRequest, "the connection has an open transaction");
    }
    const SlotGuard slot(m_member.m_slots);
    std::this_thread::sleep_for(m_member.m_options.statementCost);
    return isWrite ? write({sql}, term, requestId, digest) : read(sql);
}

StatementAnswer BackendMember::Session::begin(decisions::Term term)
{
    const decisions::MemberStatus status = m_member.status();
    if (!status.isPrimary || status.term != term) {
        return failed(ErrorCode::NotPrimary, "not the primary of this term");
    }
    m_inTransaction = true;
    m_transactionTerm = term;
    m_statements.clear();
    return {};
}

StatementAnswer BackendMember::Session::step(const std::string &sql)
{
    if (!m_inTransaction) {
        return failed(ErrorCode::UnknownTransaction, "no open transaction");
    }
    const SlotGuard slot(m_member.m_slots);
    std::this_thread::sleep_for(m_member.m_options.statementCost);
    StatementAnswer answer;
    const std::lock_guard writer(m_member.m_tableWriter);
    SqlHandle &tables = handle();
    tables.begin(true);
    for (const std::string &each : m_statements) {
        tables.run(each, true);
    }
    answer.result = tables.run(sql, true);
    tables.rollBack();
    if (!answer.result.isOk) {
        return failed(ErrorCode::StatementFailed, answer.result.error);
    }
    m_statements.push_back(sql);
    return answer;
}

StatementAnswer BackendMember::Session::commit(const std::string &requestId, const std::string &digest)
{
    if (!m_inTransaction) {
        return failed(ErrorCode::UnknownTransaction, "no open transaction");
    }
    m_inTransaction = false;
    const std::vector<std::string> statements = std::exchange(m_statements, {});
    if (statements.empty()) {
        return {};
    }
    const SlotGuard slot(m_member.m_slots);
    return write(statements, m_transactionTerm, requestId, digest);
}

StatementAnswer BackendMember::Session::rollBack()
{
    m_inTransaction = false;
    m_statements.clear();
    return {};
}

StatementAnswer BackendMember::Session::read(const std::string &sql)
{
    SqlHandle &tables = handle();
    tables.begin(false);
    StatementAnswer answer;
    answer.at = tables.position();
    answer.result = tables.run(sql, false);
    tables.commit();
    if (!answer.result.isOk) {
        return failed(ErrorCode::StatementFailed, answer.result.error);
    }
    return answer;
}

StatementAnswer BackendMember::Session::repeatOf(const StoredRequest &stored, const std::string &digest) const
{
    if (stored.digest != digest) {
        return failed(ErrorCode::RequestIdReused, "the request id belongs to another request");
    }
    StatementAnswer answer;
    answer.at = stored.at;
    answer.result.rowsChanged = stored.rowsChanged;
    answer.repeated = true;
    return answer;
}

StatementAnswer BackendMember::Session::write(const std::vector<std::string> &statements,
                                              decisions::Term term,
                                              const std::string &requestId,
                                              const std::string &digest)
{
    const std::lock_guard writer(m_member.m_tableWriter);
    SqlHandle &tables = handle();
    if (!tables.begin(true)) {
        return failed(ErrorCode::MemberRefused, "the tables are busy");
    }
    const decisions::MemberStatus status = m_member.status();
    if (!status.isPrimary || status.term != term) {
        tables.rollBack();
        return failed(ErrorCode::NotPrimary, "not the primary of this term");
    }
    if (const auto stored = requestId.empty() ? nullptr : tables.findRequest(requestId)) {
        tables.rollBack();
        return repeatOf(*stored, digest);
    }
    StatementAnswer answer;
    Change change{statements, requestId, digest, 0};
    for (const std::string &sql : statements) {
        answer.result = tables.run(sql, true);
        if (!answer.result.isOk) {
            tables.rollBack();
            return failed(ErrorCode::StatementFailed, answer.result.error);
        }
        change.rowsChanged += answer.result.rowsChanged;
    }
    answer.result.rowsChanged = change.rowsChanged;
    if (!commitChange(change, term, answer)) {
        return failed(ErrorCode::NotPrimary, "replaced before the commit");
    }
    return answer;
}

bool BackendMember::Session::commitChange(const Change &change, decisions::Term term, StatementAnswer &answer)
{
    SqlHandle &tables = *m_handle;
    const std::lock_guard lock(m_member.m_mutex);
    answer.at = {term, m_member.m_log.end() + 1};
    if (!change.requestId.empty()) {
        tables.storeRequest(change.requestId, {change.requestDigest, change.rowsChanged, answer.at});
    }
    tables.setPosition(answer.at);
    if (!m_member.m_log.append(term, change)) {
        tables.rollBack();
        return false;
    }
    tables.commit();
    m_member.m_applied = answer.at.position;
    m_member.m_changed.notify_all();
    return true;
}

} // namespace rattanbeam::standins
