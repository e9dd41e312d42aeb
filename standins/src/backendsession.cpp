// Statements on one connection of the stand-in member.

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
