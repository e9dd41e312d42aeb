// What the entry service checks before it forwards a request.

#include "rattanbeam/proxy/internal/entryservice.h"

#include "rattanbeam/protocol/conversions.h"

#include <algorithm>

namespace rattanbeam::proxy::internal
{

using decisions::ErrorCode;

namespace
{

constexpr std::size_t maxRequestIdBytes = 128;
constexpr std::size_t maxRequests = 20'000; // of one instance at once

bool continuesTransaction(peer::v1::Operation operation)
{
    return operation == peer::v1::COMMIT || operation == peer::v1::ROLLBACK;
}

} // namespace

std::optional<ErrorCode> EntryService::check(const CallerRequest &message, Request &request) const
{
    const caller::v1::StatementRequest &statement = *message.request;
    if (m_requests.size() > maxRequests) {
        return ErrorCode::QueueFull;
    }
    if (statement.sql().size() > m_context->settings.maxStatementBytes || statement.request_id().size() > maxRequestIdBytes) {
        return ErrorCode::RequestTooLarge;
    }
    const auto rank = protocol::toRank(statement.rank());
    const bool isExecute = message.operation == peer::v1::EXECUTE;
    if (!rank || (isExecute && (statement.sql().empty() || statement.access() == caller::v1::ACCESS_UNSPECIFIED))) {
        return ErrorCode::MalformedRequest;
    }
    request.rank = *rank;
    request.database = decisions::DatabaseName(statement.database());
    request.isWrite = message.operation != peer::v1::EXECUTE || statement.access() == caller::v1::WRITE;
    request.requestId = statement.request_id().empty() ? randomId() : statement.request_id();
    if (const auto error = checkContract(statement, request)) {
        return error;
    }
    const auto token = m_sealer.open(statement.session_token());
    if (!token || !token->hasRoomFor(request.database)) {
        return ErrorCode::BadSessionToken;
    }
    request.token = *token;
    return checkTransaction(message, request);
}

std::optional<ErrorCode> EntryService::checkContract(const caller::v1::StatementRequest &message, Request &request) const
{
    const decisions::Contract *contract = m_fleet->contract(decisions::CustomerId(message.customer()));
    if (contract == nullptr) {
        return ErrorCode::NoContract;
    }
    if (!equalInConstantTime(sha256Hex(message.credential()), contract->credentialHash())) {
        return ErrorCode::WrongCredential;
    }
    const auto terms = contract->databases().find(request.database);
    if (terms == contract->databases().end() || m_fleet->group(request.database) == nullptr) {
        return ErrorCode::UnknownDatabase;
    }
    const std::chrono::milliseconds asked(message.max_age_ms());
    request.maxAge = asked.count() == 0 ? terms->second.maxAge : std::min(asked, terms->second.maxAge);
    return std::nullopt;
}

std::optional<ErrorCode> EntryService::checkTransaction(const CallerRequest &message, Request &request) const
{
    const std::string &text = message.request->transaction();
    if (text.empty()) {
        if (message.operation == peer::v1::BEGIN && m_draining) {
            return ErrorCode::Draining;
        }
        return continuesTransaction(message.operation) ? std::optional(ErrorCode::MalformedRequest) : std::nullopt;
    }
    const auto first = text.find('/');
    const auto last = text.rfind('/');
    if (message.operation == peer::v1::BEGIN || first == std::string::npos || last <= first) {
        return ErrorCode::MalformedRequest;
    }
    request.transactionHome = decisions::InstanceId(text.substr(0, first));
    request.transactionMember = decisions::MemberId(text.substr(first + 1, last - first - 1));
    request.transactionNumber = text.substr(last + 1);
    if (!m_fleet->group(request.database)->group.members.contains(request.transactionMember)) {
        return ErrorCode::UnknownTransaction;
    }
    return std::nullopt;
}

} // namespace rattanbeam::proxy::internal
