#pragma once

#include "rattanbeam/decisions/timepoint.h"

#include "peer.pb.h"

#include <functional>
#include <memory>
#include <string>

namespace rattanbeam::proxy::internal
{

/// How far a call got.
enum class CallResult {
    Answered,
    NeverSent, ///< No connection could be made: the other side has seen nothing.
    Lost, ///< It may have been received.
};

/// Calls to other instances. Callbacks run on threads of the library.
class PeerClient
{
public:
    using ForwardCallback = std::function<void(CallResult, const peer::v1::ForwardReply &)>;
    using ExchangeCallback = std::function<void(CallResult, const peer::v1::ExchangeMessage &)>;

    PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;
    ~PeerClient();

    void
    forward(const std::string &address, const peer::v1::ForwardRequest &request, decisions::TimePoint deadline, ForwardCallback callback);
    void exchange(const std::string &address,
                  const peer::v1::ExchangeMessage &message,
                  decisions::TimePoint deadline,
                  ExchangeCallback callback);

private:
    class Channels;
    std::unique_ptr<Channels> m_channels;
};

} // namespace rattanbeam::proxy::internal
