#include "rattanbeam/standins/sqlengine.h"

#include <sqlite3.h>

#include <chrono>
#include <cstdio>
#include <stdexcept>
#include <thread>

namespace rattanbeam::standins
{

namespace
{

constexpr int busyTimeoutMs = 5000;
constexpr std::size_t maxRows = 10'000;

/// SQL function work_ms(n): takes n milliseconds and returns n, so that a statement can cost what a test wants.
void workMs(sqlite3_context *context, int /*count*/, sqlite3_value **values)
{
    const int milliseconds = sqlite3_value_int(values[0]);
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
    sqlite3_result_int(context, milliseconds);
}

class Statement
{
public:
    Statement(sqlite3 *handle, const std::string &sql)
    {
        m_code = sqlite3_prepare_v2(handle, sql.c_str(), static_cast<int>(sql.size()), &m_statement, &m_tail);
        m_hasTail = m_code == SQLITE_OK && m_tail != nullptr && std::string(m_tail).find_first_not_of(" \n\t;") != std::string::npos;
    }
    Statement(const Statement &) = delete;
    Statement &operator=(const Statement &) = delete;
    ~Statement()
    {
        sqlite3_finalize(m_statement);
    }
    sqlite3_stmt *get() const
    {
        return m_statement;
    }
    bool isOk() const
    {
        return m_code == SQLITE_OK && m_statement != nullptr;
    }
    bool hasTail() const
    {
        return m_hasTail;
    }

private:
    sqlite3_stmt *m_statement = nullptr;
    const char *m_tail = nullptr;
    int m_code = SQLITE_OK;
    bool m_hasTail = false;
};

std::string columnText(sqlite3_stmt *statement, int column)
{
    const unsigned char *text = sqlite3_column_text(statement, column);
    return text == nullptr ? std::string() : std::string(reinterpret_cast<const char *>(text));
}

/// Statements that would end the transaction which the member keeps round them.
bool controlsTransaction(const std::string &sql)
{
    const std::size_t start = sql.find_first_not_of(" \n\t");
    std::string word;
    for (std::size_t i = start; i < sql.size() && std::isalpha(static_cast<unsigned char>(sql[i])) != 0; ++i) {
        word += static_cast<char>(std::tolower(static_cast<unsigned char>(sql[i])));
    }
    for (const char *each : {"begin", "commit", "end", "rollback", "savepoint", "release", "pragma", "attach", "detach", "vacuum"}) {
        if (word == each) {
            return true;
        }
    }
    return false;
}

} // namespace

SqlHandle::SqlHandle(const std::string &path)
{
    if (sqlite3_open(path.c_str(), &m_handle) != SQLITE_OK) {
        throw std::runtime_error("cannot open " + path);
    }
    sqlite3_busy_timeout(m_handle, busyTimeoutMs);
    execute("PRAGMA journal_mode=WAL");
    execute("PRAGMA synchronous=OFF");
    sqlite3_create_function(m_handle, "work_ms", 1, SQLITE_UTF8, nullptr, workMs, nullptr, nullptr);
}

SqlHandle::~SqlHandle()
{
    sqlite3_close(m_handle);
}

bool SqlHandle::execute(const std::string &sql)
{
    return sqlite3_exec(m_handle, sql.c_str(), nullptr, nullptr, nullptr) == SQLITE_OK;
}

bool SqlHandle::begin(bool forWrite)
{
    return execute(forWrite ? "BEGIN IMMEDIATE" : "BEGIN");
}

bool SqlHandle::commit()
{
    return execute("COMMIT");
}

void SqlHandle::rollBack()
{
    execute("ROLLBACK");
}

SqlResult SqlHandle::run(const std::string &sql, bool mayWrite)
{
    SqlResult result;
    const Statement statement(m_handle, sql);
    if (!statement.isOk()) {
        result.error = sqlite3_errmsg(m_handle);
        return result;
    }
    if (statement.hasTail() || controlsTransaction(sql)) {
        result.error = "one statement at a time, and no transaction control";
        return result;
    }
    if (!mayWrite && sqlite3_stmt_readonly(statement.get()) == 0) {
        result.error = "the statement writes but was declared a read";
        return result;
    }
    const int columns = sqlite3_column_count(statement.get());
    for (int column = 0; column < columns; ++column) {
        result.columns.emplace_back(sqlite3_column_name(statement.get(), column));
    }
    const int before = sqlite3_total_changes(m_handle);
    int code = sqlite3_step(statement.get());
    for (; code == SQLITE_ROW; code = sqlite3_step(statement.get())) {
        if (result.rows.size() == maxRows) {
            result.error = "more than 10000 rows";
            return result;
        }
        std::vector<std::string> &row = result.rows.emplace_back();
        for (int column = 0; column < columns; ++column) {
            row.push_back(columnText(statement.get(), column));
        }
    }
    result.isOk = code == SQLITE_DONE;
    if (!result.isOk) {
        result.error = sqlite3_errmsg(m_handle);
    }
    result.rowsChanged = static_cast<std::uint64_t>(sqlite3_total_changes(m_handle) - before);
    return result;
}

decisions::LogPosition SqlHandle::position()
{
    const Statement statement(m_handle, "SELECT term, position FROM rattanbeam_position");
    if (!statement.isOk() || sqlite3_step(statement.get()) != SQLITE_ROW) {
        return {};
    }
    return {static_cast<std::uint64_t>(sqlite3_column_int64(statement.get(), 0)),
            static_cast<std::uint64_t>(sqlite3_column_int64(statement.get(), 1))};
}

void SqlHandle::setPosition(const decisions::LogPosition &at)
{
    execute("UPDATE rattanbeam_position SET term=" + std::to_string(at.term) + ", position=" + std::to_string(at.position));
}

std::unique_ptr<StoredRequest> SqlHandle::findRequest(const std::string &id)
{
    const Statement statement(m_handle, "SELECT digest, changed, term, position FROM rattanbeam_requests WHERE id=?");
    if (!statement.isOk()) {
        return nullptr;
    }
    sqlite3_bind_text(statement.get(), 1, id.c_str(), -1, SQLITE_TRANSIENT);
    if (sqlite3_step(statement.get()) != SQLITE_ROW) {
        return nullptr;
    }
    auto found = std::make_unique<StoredRequest>();
    found->digest = columnText(statement.get(), 0);
    found->rowsChanged = static_cast<std::uint64_t>(sqlite3_column_int64(statement.get(), 1));
    found->at.term = static_cast<std::uint64_t>(sqlite3_column_int64(statement.get(), 2));
    found->at.position = static_cast<std::uint64_t>(sqlite3_column_int64(statement.get(), 3));
    return found;
}

void SqlHandle::storeRequest(const std::string &id, const StoredRequest &request)
{
    const Statement statement(m_handle, "INSERT INTO rattanbeam_requests VALUES(?,?,?,?,?)");
    sqlite3_bind_text(statement.get(), 1, id.c_str(), -1, SQLITE_TRANSIENT);
    sqlite3_bind_text(statement.get(), 2, request.digest.c_str(), -1, SQLITE_TRANSIENT);
    sqlite3_bind_int64(statement.get(), 3, static_cast<sqlite3_int64>(request.rowsChanged));
    sqlite3_bind_int64(statement.get(), 4, static_cast<sqlite3_int64>(request.at.term));
    sqlite3_bind_int64(statement.get(), 5, static_cast<sqlite3_int64>(request.at.position));
    sqlite3_step(statement.get());
}

void createTables(const std::string &path)
{
    SqlHandle handle(path);
    handle.run("CREATE TABLE IF NOT EXISTS rattanbeam_position(term INTEGER, position INTEGER)", true);
    handle.run(
        "CREATE TABLE IF NOT EXISTS rattanbeam_requests(id TEXT PRIMARY KEY, digest TEXT, changed INTEGER, term INTEGER, position INTEGER)",
        true);
    handle.run("INSERT INTO rattanbeam_position VALUES(0, 0)", true);
}

void removeTables(const std::string &path)
{
    for (const char *suffix : {"", "-wal", "-shm"}) {
        std::remove((path + suffix).c_str());
    }
}

} // namespace rattanbeam::standins
