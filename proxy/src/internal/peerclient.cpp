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
    const auto invoke = [](auto &calls, auto &call, auto ended) {
        calls.Forward(&call.context, &call.request, &call.reply, std::move(ended));
    };
    const auto ended = [callback = std::move(callback)](const grpc::Status &status, const peer::v1::ForwardReply &reply) {
        callback(callResult(status), reply);
    };
    startCall<peer::v1::ForwardReply>(m_channels->find(address), request, deadline, invoke, ended);
}

void PeerClient::exchange(const std::string &address,
                          const peer::v1::ExchangeMessage &message,
                          decisions::TimePoint deadline,
                          ExchangeCallback callback)
{
    const auto invoke = [](auto &calls, auto &call, auto ended) {
        calls.Exchange(&call.context, &call.request, &call.reply, std::move(ended));
    };
    const auto ended = [callback = std::move(callback)](const grpc::Status &status, const peer::v1::ExchangeMessage &reply) {
        callback(callResult(status), reply);
    };
    startCall<peer::v1::ExchangeMessage>(m_channels->find(address), message, deadline, invoke, ended);
}

} // namespace rattanbeam::proxy::internal
