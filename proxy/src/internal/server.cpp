#include "server.h"

#include "rattanbeam/protocol/conversions.h"
#include "rattanbeam/proxy/internal/messages.h"

#include "caller.grpc.pb.h"
#include "grpccall.h"
#include "peer.grpc.pb.h"

#include <caf/send.hpp>

namespace rattanbeam::proxy::internal
{

using decisions::ErrorCode;
using decisions::Outcome;

namespace
{

constexpr int leastPingIntervalMs = 500;
constexpr int mostRequestBytes = 8 << 20; // above [limits] statement-bytes, so that its own refusal is told

/// A responder that fills the library's reply and ends the call.
template<typename Reply>
std::shared_ptr<Responder<Reply>> makeResponder(grpc::ServerUnaryReactor *reactor, Reply *reply, const Reply &fallback)
{
    return std::make_shared<Responder<Reply>>(
        [reactor, reply](const Reply &answer) {
            *reply = answer;
            reactor->Finish(grpc::Status::OK);
        },
        fallback);
}

template<typename Reply>
Reply doubtfulReply()
{
    Reply reply;
    *reply.mutable_status() = protocol::fromOutcome(Outcome::inDoubt(ErrorCode::Internal), currentTime());
    return reply;
}

class StatementsService : public caller::v1::Statements::CallbackService
{
public:
    explicit StatementsService(ServiceContextPtr context) : m_context(std::move(context))
    {}

    grpc::ServerUnaryReactor *
    Execute(grpc::CallbackServerContext *call, const caller::v1::StatementRequest *request, caller::v1::StatementReply *reply) override
    {
        return accept(peer::v1::EXECUTE, call, request, reply);
    }
    grpc::ServerUnaryReactor *
    Begin(grpc::CallbackServerContext *call, const caller::v1::StatementRequest *request, caller::v1::StatementReply *reply) override
    {
        return accept(peer::v1::BEGIN, call, request, reply);
    }
    grpc::ServerUnaryReactor *
    Commit(grpc::CallbackServerContext *call, const caller::v1::StatementRequest *request, caller::v1::StatementReply *reply) override
    {
        return accept(peer::v1::COMMIT, call, request, reply);
    }
    grpc::ServerUnaryReactor *
    Rollback(grpc::CallbackServerContext *call, const caller::v1::StatementRequest *request, caller::v1::StatementReply *reply) override
    {
        return accept(peer::v1::ROLLBACK, call, request, reply);
    }

private:
    grpc::ServerUnaryReactor *accept(peer::v1::Operation operation,
                                     grpc::CallbackServerContext *call,
                                     const caller::v1::StatementRequest *request,
                                     caller::v1::StatementReply *reply)
    {
        grpc::ServerUnaryReactor *reactor = call->DefaultReactor();
        const auto responder = makeResponder(reactor, reply, doubtfulReply<caller::v1::StatementReply>());
        caf::anon_send(m_context->registry.find(entryServiceName),
                       CallerRequest{operation, std::make_shared<const caller::v1::StatementRequest>(*request), responder});
        return reactor;
    }

    ServiceContextPtr m_context;
};

class PeerService : public peer::v1::Peer::CallbackService
{
public:
    explicit PeerService(ServiceContextPtr context) : m_context(std::move(context))
    {}

    grpc::ServerUnaryReactor *
    Forward(grpc::CallbackServerContext *call, const peer::v1::ForwardRequest *request, peer::v1::ForwardReply *reply) override
    {
        grpc::ServerUnaryReactor *reactor = call->DefaultReactor();
        const auto responder = makeResponder(reactor, reply, doubtfulReply<peer::v1::ForwardReply>());
        const auto deadline = currentTime() + std::chrono::milliseconds(request->timeout_ms());
        caf::anon_send(m_context->registry.find(homeServiceName),
                       ForwardArrived{std::make_shared<const peer::v1::ForwardRequest>(*request), deadline, responder});
        return reactor;
    }

    grpc::ServerUnaryReactor *
    Exchange(grpc::CallbackServerContext *call, const peer::v1::ExchangeMessage *request, peer::v1::ExchangeMessage *reply) override
    {
        grpc::ServerUnaryReactor *reactor = call->DefaultReactor();
        const auto responder = makeResponder(reactor, reply, peer::v1::ExchangeMessage());
        caf::anon_send(m_context->registry.find(stateServiceName),
                       ExchangeArrived{std::make_shared<const peer::v1::ExchangeMessage>(*request), responder});
        return reactor;
    }

private:
    ServiceContextPtr m_context;
};

class OperationsService : public peer::v1::Operations::CallbackService
{
public:
    explicit OperationsService(ServiceContextPtr context) : m_context(std::move(context))
    {}

    grpc::ServerUnaryReactor *
    Show(grpc::CallbackServerContext *call, const peer::v1::ShowRequest *request, peer::v1::ShowReply *reply) override
    {
        grpc::ServerUnaryReactor *reactor = call->DefaultReactor();
        const auto responder = makeResponder(reactor, reply, peer::v1::ShowReply());
        caf::anon_send(m_context->registry.find(stateServiceName), ShowArrived{request->key(), responder});
        return reactor;
    }

private:
    ServiceContextPtr m_context;
};

} // namespace

class Server::Parts
{
public:
    explicit Parts(const ServiceContextPtr &context)
        : listenAddress(context->settings.listenAddress), statements(context), peer(context), operations(context)
    {}

    std::string listenAddress;
    StatementsService statements;
    PeerService peer;
    OperationsService operations;
    std::unique_ptr<grpc::Server> server;
};

Server::Server(const ServiceContextPtr &context) : m_parts(std::make_unique<Parts>(context))
{}

Server::~Server()
{
    stop(currentTime());
}

int Server::bind()
{
    protocol::keepCallbackThreads();
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddListeningPort(m_parts->listenAddress, grpc::InsecureServerCredentials(), &port);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, leastPingIntervalMs);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.SetMaxReceiveMessageSize(mostRequestBytes);
    builder.RegisterService(&m_parts->statements);
    builder.RegisterService(&m_parts->peer);
    builder.RegisterService(&m_parts->operations);
    m_parts->server = builder.BuildAndStart();
    return m_parts->server ? port : 0;
}

void Server::stop(decisions::TimePoint deadline)
{
    if (m_parts->server) {
        m_parts->server->Shutdown(toSystemTime(deadline));
        m_parts->server.reset();
    }
}

} // namespace rattanbeam::proxy::internal
