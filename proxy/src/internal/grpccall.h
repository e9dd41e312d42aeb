#pragma once

#include "rattanbeam/decisions/timepoint.h"
#include "rattanbeam/protocol/callbackthreads.h"
#include "rattanbeam/proxy/internal/peerclient.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace rattanbeam::proxy::internal
{

constexpr int keepaliveTimeMs = 2000;
constexpr int keepaliveTimeoutMs = 1000;
constexpr int reconnectMs = 100;
constexpr int longestReconnectMs = 500;
constexpr int mostAnswerBytes = 64 << 20;

/// What one asynchronous call needs until it has ended.
template<typename Request, typename Reply>
struct PendingCall {
    grpc::ClientContext context;
    Request request;
    Reply reply;
};

inline std::chrono::system_clock::time_point toSystemTime(decisions::TimePoint deadline)
{
    const auto left = deadline - std::chrono::steady_clock::now();
    return std::chrono::system_clock::now() + std::chrono::duration_cast<std::chrono::system_clock::duration>(left);
}

/// Starts an asynchronous call: `invoke` names the method, `ended` gets the status and the reply. Keeps call and stub until
/// then.
///
///     startCall<Reply>(stub, request, deadline, [](auto &calls, auto &call, auto ended) {
///         calls.Read(&call.context, &call.request, &call.reply, std::move(ended));
///     }, [](const grpc::Status &status, const Reply &reply) { ... });
template<typename Reply, typename Stub, typename Request, typename Invoke, typename Ended>
void startCall(const std::shared_ptr<Stub> &stub, const Request &request, decisions::TimePoint deadline, Invoke invoke, Ended ended)
{
    const auto call = std::make_shared<PendingCall<Request, Reply>>();
    call->context.set_deadline(toSystemTime(deadline));
    call->request = request;
    invoke(*stub->async(), *call, [call, stub, ended = std::move(ended)](const grpc::Status &status) {
        ended(status, call->reply);
    });
}

/// The library reports a failure to connect in words only; everything else may have been received.
inline CallResult callResult(const grpc::Status &status)
{
    if (status.ok()) {
        return CallResult::Answered;
    }
    const bool neverConnected
        = status.error_code() == grpc::StatusCode::UNAVAILABLE && status.error_message().starts_with("failed to connect");
    return neverConnected ? CallResult::NeverSent : CallResult::Lost;
}

inline grpc::ChannelArguments channelArguments(bool ownConnection)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepaliveTimeMs);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepaliveTimeoutMs);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, reconnectMs);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, reconnectMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, longestReconnectMs);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetMaxReceiveMessageSize(mostAnswerBytes);
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, ownConnection ? 1 : 0);
    return arguments;
}

inline std::shared_ptr<grpc::Channel> openChannel(const std::string &address, bool ownConnection)
{
    protocol::keepCallbackThreads();
    return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), channelArguments(ownConnection));
}

/// One stub for each address, the least recently used ones dropped: addresses come and go with every replacement.
template<typename Service>
class StubTable
{
public:
    using Stub = typename Service::Stub;

    std::shared_ptr<Stub> find(const std::string &address)
    {
        const std::lock_guard lock(m_mutex);
        Entry &entry = m_entries[address];
        entry.lastUse = ++m_uses;
        if (!entry.stub) {
            entry.stub = Service::NewStub(openChannel(address, true));
        }
        std::shared_ptr<Stub> stub = entry.stub;
        dropOldest();
        return stub;
    }
    void replace(const std::string &address, std::shared_ptr<Stub> stub)
    {
        const std::lock_guard lock(m_mutex);
        m_entries[address] = {std::move(stub), ++m_uses};
        dropOldest();
    }

private:
    struct Entry {
        std::shared_ptr<Stub> stub;
        std::uint64_t lastUse = 0;
    };
    static constexpr std::size_t mostStubs = 512;

    /// A call under way keeps its stub.
    void dropOldest()
    {
        if (m_entries.size() <= mostStubs) {
            return;
        }
        m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(), [](const auto &left, const auto &right) {
            return left.second.lastUse < right.second.lastUse;
        }));
    }

    std::mutex m_mutex;
    std::map<std::string, Entry> m_entries;
    std::uint64_t m_uses = 0;
};

} // namespace rattanbeam::proxy::internal
