#include "commands.h"

#include "rattanbeam/operatorclient/connections.h"

#include <filesystem>
#include <fstream>
#include <iostream>

namespace rattanbeam::operatorclient
{

namespace
{

caller::v1::Rank rankFromName(const std::string &name)
{
    if (name == "urgent") {
        return caller::v1::URGENT;
    }
    if (name == "interactive") {
        return caller::v1::INTERACTIVE;
    }
    return name == "batch" ? caller::v1::BATCH : caller::v1::RANK_UNSPECIFIED;
}

void printRows(const caller::v1::StatementReply &reply)
{
    for (int column = 0; column < reply.columns_size(); ++column) {
        std::cout << (column == 0 ? "" : "\t") << reply.columns(column);
    }
    std::cout << (reply.columns_size() > 0 ? "\n" : "");
    for (const auto &row : reply.rows()) {
        for (int column = 0; column < row.values_size(); ++column) {
            std::cout << (column == 0 ? "" : "\t") << row.values(column);
        }
        std::cout << '\n';
    }
    std::cout << "# member=" << reply.member() << " replica=" << (reply.from_replica() ? "yes" : "no") << " age_ms=" << reply.age_ms()
              << " rows_changed=" << reply.rows_changed() << (reply.repeated() ? " repeated=yes" : "")
              << (reply.trace_id().empty() ? "" : " trace=" + reply.trace_id()) << '\n';
}

ExitCode exitCodeOf(const caller::v1::Status &status)
{
    if (status.code() == 0) {
        return ExitCode::Ok;
    }
    return status.verdict() == caller::v1::NOT_RUN ? ExitCode::NotRun : ExitCode::MayHaveRun;
}

} // namespace

ExitCode runStatement(const CommandLine &line)
{
    caller::v1::StatementRequest request;
    request.set_customer(line.customer);
    request.set_credential(line.credential);
    request.set_database(line.database);
    request.set_rank(rankFromName(line.rank));
    request.set_access(line.isWrite ? caller::v1::WRITE : caller::v1::READ);
    request.set_sql(line.words[2]);
    request.set_max_age_ms(static_cast<std::uint32_t>(line.maxAgeMs));
    request.set_timeout_ms(static_cast<std::uint32_t>(line.timeoutMs));
    request.set_request_id(line.requestId);
    if (request.rank() == caller::v1::RANK_UNSPECIFIED) {
        return complain(ExitCode::Usage, "--rank is urgent, interactive or batch");
    }
    if (!line.sessionFile.empty() && std::filesystem::exists(line.sessionFile)) {
        const auto token = readFile(line.sessionFile);
        if (!token) {
            return ExitCode::Usage;
        }
        request.set_session_token(*token);
    }
    const auto reply = sendStatement(line.instance, StatementCall::Execute, request);
    if (!reply) {
        return complain(line.isWrite ? ExitCode::MayHaveRun : ExitCode::Failed, line.instance + " does not answer");
    }
    if (!line.sessionFile.empty() && !reply->session_token().empty()) {
        std::ofstream stream(line.sessionFile, std::ios::binary | std::ios::trunc);
        stream << reply->session_token();
    }
    if (line.isJson) {
        printJson(*reply);
        return exitCodeOf(reply->status());
    }
    if (reply->status().code() != 0) {
        const bool isNotRun = reply->status().verdict() == caller::v1::NOT_RUN;
        std::cerr << "rattanbeamctl: " << (isNotRun ? "not run: " : "may have run: ") << reply->status().message() << " (code "
                  << reply->status().code() << ", retry after " << reply->status().retry_after_ms() << " ms)\n";
        return exitCodeOf(reply->status());
    }
    printRows(*reply);
    return ExitCode::Ok;
}

} // namespace rattanbeam::operatorclient
