// How the entry service answers its callers.

#include "rattanbeam/proxy/internal/entryservice.h"

#include "rattanbeam/protocol/conversions.h"

namespace rattanbeam::proxy::internal
{

using decisions::ErrorCode;
using decisions::Outcome;
using decisions::Verdict;

namespace
{

std::string transactionText(const decisions::Route &route, const std::string &number)
{
    return route.instance.text() + '/' + route.member.text() + '/' + number;
}

} // namespace

void EntryService::succeed(std::uint64_t id, const ForwardEnded &message)
{
    Request &request = m_requests.at(id);
    const peer::v1::ForwardReply &forward = *message.reply;
    caller::v1::StatementReply reply;
    *reply.mutable_columns() = forward.columns();
    *reply.mutable_rows() = forward.rows();
    reply.set_rows_changed(forward.rows_changed());
    reply.set_member(request.route->member.text());
    reply.set_from_replica(forward.from_replica());
    reply.set_repeated(forward.repeated());
    if (!request.isWrite) {
        reply.set_age_ms(forward.age_ms() + decisions::millisecondsUntil(currentTime(), message.sentAt));
        m_context->metrics.count(forward.from_replica() ? "reads.replica" : "reads.primary");
    }
    if (!forward.transaction().empty()) {
        reply.set_transaction(transactionText(*request.route, forward.transaction()));
    } else if (request.operation == peer::v1::EXECUTE) {
        reply.set_transaction(request.message->transaction());
    }
    const decisions::LogPosition at = protocol::toLogPosition(forward.at());
    if (at.position > 0) {
        request.token = request.token.withObservedPosition(request.database, at, !forward.from_replica());
    }
    finish(id, reply, Outcome{}, {});
}

void EntryService::answerFailure(std::uint64_t id, Outcome outcome, const std::string &text)
{
    Request &request = m_requests.at(id);
    if (request.isDoubted) {
        // An earlier attempt may still have run, whatever became of the last one.
        outcome.verdict = Verdict::MayHaveRun;
        request.token = request.token.withPrimaryRequired(request.database);
    }
    if (outcome.code == ErrorCode::PositionLost) {
        request.token = request.token.withoutDatabase(request.database);
    }
    caller::v1::StatementReply reply;
    finish(id, reply, outcome, text);
}

void EntryService::finish(std::uint64_t id, caller::v1::StatementReply &reply, const Outcome &outcome, const std::string &text)
{
    Request &request = m_requests.at(id);
    const auto at = currentTime();
    *reply.mutable_status() = protocol::fromOutcome(outcome, at, text);
    // A token that could not be opened is not replaced.
    if (outcome.code != ErrorCode::BadSessionToken) {
        reply.set_session_token(m_sealer.seal(request.token));
    }
    reply.set_trace_id(request.span.traceId());
    m_context->metrics.count("entry.outcome." + std::string(decisions::errorName(outcome.code)));
    m_context->metrics.record("entry." + std::string(decisions::rankName(request.rank)), at - request.arrivedAt);
    request.span.tag("outcome", std::string(decisions::errorName(outcome.code)));
    request.span.finish();
    request.responder->answer(reply);
    m_requests.erase(id);
    --m_context->entryRequests;
}

} // namespace rattanbeam::proxy::internal
