// How the home service carries out what its members' homes decide.

#include "rattanbeam/proxy/internal/homeservice.h"

#include "homeoperations.h"
#include "rattanbeam/kernel/logevent.h"
#include "rattanbeam/protocol/conversions.h"
#include "rattanbeam/proxy/internal/tokensealer.h"

namespace rattanbeam::proxy::internal
{

using decisions::MemberId;

namespace
{

constexpr std::chrono::milliseconds openTimeout{500};
constexpr std::chrono::milliseconds heldTimeout{1000};

} // namespace

void HomeService::perform(Home &home, const decisions::HomeActions &actions)
{
    for (const auto &action : actions) {
        std::visit(
            [&](const auto &each) {
                performOne(home, each);
            },
            action);
    }
}

void HomeService::performOne(Home &home, const decisions::OpenConnection &open)
{
    const caf::actor service(this);
    const MemberId member = home.member;
    const decisions::ConnectionId id = open.connection;
    ConnectionEvents events;
    events.opened = [service, member, id] {
        caf::anon_send(service, ConnectionOpened{member, id});
    };
    events.answered = [service, member, id](const backend::v1::AnswerFrame &frame) {
        caf::anon_send(service, ConnectionAnswered{member, id, std::make_shared<const backend::v1::AnswerFrame>(frame)});
    };
    events.closed = [service, member, id] {
        caf::anon_send(service, ConnectionEnded{member, id});
    };
    Connection &connection = home.connections[id];
    connection.openDeadline = currentTime() + openTimeout;
    const std::string parent = home.works.empty() ? std::string() : home.works.begin()->second.hop.context();
    connection.span = m_context->tracing->startSpan("connection", parent);
    connection.stream = std::make_unique<MemberConnection>(home.address, std::move(events));
    m_context->metrics.count("connections.opened");
}

void HomeService::performOne(Home &home, const decisions::CloseConnection &close)
{
    home.connections.erase(close.connection);
    m_context->metrics.count("connections.closed");
}

void HomeService::performOne(Home &home, const decisions::SendStatement &send)
{
    Work &work = home.works.at(send.work);
    const peer::v1::ForwardRequest &request = *work.request;
    backend::v1::StatementFrame frame;
    frame.set_correlation(send.work);
    frame.set_kind(toKind(toHomeOperation(request)));
    frame.set_access(request.access());
    frame.set_sql(request.sql());
    frame.set_term(send.term);
    // The same id may come from two customers, and must name one statement.
    frame.set_request_id(request.customer() + '/' + request.request_id());
    frame.set_request_digest(sha256Hex(request.database() + '\n' + request.sql()));
    work.phase = m_context->tracing->startSpan("member", work.hop.context());
    work.sentAt = currentTime();
    const auto connection = home.connections.find(send.connection);
    if (connection != home.connections.end()) {
        connection->second.stream->send(frame);
    }
}

void HomeService::performOne(Home &home, const decisions::RequestConfirmation &ask)
{
    const caf::actor service(this);
    const MemberId member = home.member;
    const std::string address = addressOf(home.database, ask.member);
    if (address.empty()) {
        send(this, HeldAnswered{member, ask.member, std::nullopt});
        return;
    }
    m_context->members.waitHeld(address,
                                ask.term,
                                ask.position,
                                currentTime() + heldTimeout,
                                [service, member, other = ask.member](const backend::v1::MemberStatus *status) {
                                    const auto value = status == nullptr ? std::nullopt : std::optional(protocol::toMemberStatus(*status));
                                    caf::anon_send(service, HeldAnswered{member, other, value});
                                });
}

void HomeService::performOne(Home &home, const decisions::ReplyToRequest &reply)
{
    const auto found = home.works.find(reply.work);
    if (found == home.works.end()) {
        return;
    }
    const auto at = currentTime();
    Work &work = found->second;
    peer::v1::ForwardReply message;
    std::string text;
    if (work.answer) {
        text = work.answer->status().message();
    }
    if (work.answer && reply.outcome.isSuccess()) {
        *message.mutable_columns() = work.answer->columns();
        *message.mutable_rows() = work.answer->rows();
        message.set_rows_changed(work.answer->rows_changed());
        message.set_repeated(work.answer->repeated());
    }
    *message.mutable_status() = protocol::fromOutcome(reply.outcome, at, text);
    *message.mutable_at() = protocol::fromLogPosition(reply.at);
    if (reply.transaction != 0) {
        message.set_transaction(std::to_string(reply.transaction));
    }
    message.set_age_ms(decisions::millisecondsUntil(at, reply.completeAsOf));
    const auto &status = home.decisions->status();
    message.set_from_replica(status && !status->isPrimary);
    if (home.group) {
        for (const auto &[member, observation] : home.group->observations()) {
            *message.add_group() = protocol::fromMemberObservation(home.database.text(), member, observation, at);
        }
    }
    const auto rank = decisions::rankName(protocol::toRank(work.request->rank()).value_or(decisions::Rank::Batch));
    m_context->metrics.record("home." + home.database.text() + '.' + std::string(rank), at - work.arrivedAt);
    m_context->metrics.count("home.verdict." + std::string(decisions::verdictName(reply.outcome.verdict)));
    work.phase.finish();
    work.hop.tag("outcome", std::string(decisions::errorName(reply.outcome.code)));
    work.hop.finish();
    work.responder->answer(message);
    home.works.erase(found);
    --m_context->homeRequests;
}

} // namespace rattanbeam::proxy::internal
