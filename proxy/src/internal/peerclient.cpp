#include "rattanbeam/proxy/internal/peerclient.h"

#include "grpccall.h"

#include "peer.grpc.pb.h"

namespace rattanbeam::proxy::internal
{

class PeerClient::Channels : public StubTable<peer::v1::Peer>
{};

PeerClient::PeerClient() : m_channels(std::make_unique<Channels>())
{}

PeerClient::~PeerClient() = default;

void PeerClient::forward(const std::string &address,
                         const peer::v1::ForwardRequest &request,
                         decisions::TimePoint deadline,
                         ForwardCallback callback)
{
    const auto call = std::make_shared<PendingCall<peer::v1::ForwardRequest, peer::v1::ForwardReply>>();
    call->context.set_deadline(toSystemTime(deadline));
    call->request = request;
    const auto stub = m_channels->find(address);
    stub->async()->Forward(
        &call->context, &call->request, &call->reply, [call, stub, callback = std::move(callback)](const grpc::Status &status) {
            callback(callResult(status), call->reply);
        });
}

void PeerClient::exchange(const std::string &address,
                          const peer::v1::ExchangeMessage &message,
                          decisions::TimePoint deadline,
                          ExchangeCallback callback)
{
    const auto call = std::make_shared<PendingCall<peer::v1::ExchangeMessage, peer::v1::ExchangeMessage>>();
    call->context.set_deadline(toSystemTime(deadline));
    call->request = message;
    const auto stub = m_channels->find(address);
    stub->async()->Exchange(
        &call->context, &call->request, &call->reply, [call, stub, callback = std::move(callback)](const grpc::Status &status) {
            callback(callResult(status), call->reply);
        });
}

} // namespace rattanbeam::proxy::internal
