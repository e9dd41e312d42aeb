#pragma once

#include "rattanbeam/decisions/logposition.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

struct sqlite3;

/// The tables of one stand-in member: SQLite files in WAL mode.
namespace rattanbeam::standins
{

/// One committed change: all statements of a transaction, with the request id that it stored.
struct Change {
    std::vector<std::string> statements;
    std::string requestId;
    std::string requestDigest;
    std::uint64_t rowsChanged = 0;

    auto operator<=>(const Change &) const = default;
};

struct SqlResult {
    bool isOk = false;
    std::string error;
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows;
    std::uint64_t rowsChanged = 0;
};

/// A request id that a transaction stored, with its outcome.
struct StoredRequest {
    std::string digest;
    std::uint64_t rowsChanged = 0;
    decisions::LogPosition at;
};

/// One handle to the tables. Not for several threads at once.
///
///     SqlHandle handle(path);
///     handle.begin();
///     const SqlResult result = handle.run("UPDATE ...", true);
///     handle.commit();
class SqlHandle
{
public:
    explicit SqlHandle(const std::string &path);
    SqlHandle(const SqlHandle &) = delete;
    SqlHandle &operator=(const SqlHandle &) = delete;
    ~SqlHandle();

    bool begin(bool forWrite);
    bool commit();
    void rollBack();

    /// Runs one statement; a write is refused unless `mayWrite`.
    SqlResult run(const std::string &sql, bool mayWrite);

    /// The log entry that the tables stand at, as this handle's transaction sees it.
    decisions::LogPosition position();
    void setPosition(const decisions::LogPosition &at);

    /// Null when the id was never stored.
    std::unique_ptr<StoredRequest> findRequest(const std::string &id);
    void storeRequest(const std::string &id, const StoredRequest &request);

private:
    bool execute(const std::string &sql);

    sqlite3 *m_handle = nullptr;
};

/// Creates the tables that the handles expect.
void createTables(const std::string &path);
/// Removes a database with its side files.
void removeTables(const std::string &path);

} // namespace rattanbeam::standins
