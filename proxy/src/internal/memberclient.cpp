#include "rattanbeam/proxy/internal/memberclient.h"

#include "grpccall.h"

#include "backend.grpc.pb.h"

#include <deque>

namespace rattanbeam::proxy::internal
{

namespace
{

using Stub = backend::v1::Member::Stub;

/// Passes the reply to the callback; null if there was no reply.
template<typename Reply>
auto replyOrNull(std::function<void(const Reply *)> callback)
{
    return [callback = std::move(callback)](const grpc::Status &status, const Reply &reply) {
        callback(status.ok() ? &reply : nullptr);
    };
}

void callStatus(const std::shared_ptr<Stub> &stub, decisions::TimePoint deadline, const MemberClient::StatusCallback &callback)
{
    const auto invoke = [](auto &calls, auto &call, auto ended) {
        calls.GetStatus(&call.context, &call.request, &call.reply, std::move(ended));
    };
    startCall<backend::v1::MemberStatus>(
        stub, backend::v1::StatusRequest(), deadline, invoke, replyOrNull<backend::v1::MemberStatus>(callback));
}

} // namespace

class MemberClient::Channels : public StubTable<backend::v1::Member>
{};

MemberClient::MemberClient() : m_channels(std::make_shared<Channels>())
{}

MemberClient::~MemberClient() = default;

void MemberClient::status(const std::string &address, decisions::TimePoint deadline, const StatusCallback &callback)
{
    callStatus(m_channels->find(address), deadline, callback);
}

void MemberClient::statusOnNewConnection(const std::string &address, decisions::TimePoint deadline, StatusCallback callback)
{
    const std::shared_ptr<Stub> newStub = backend::v1::Member::NewStub(openChannel(address, true));
    const auto channels = m_channels;
    callStatus(newStub, deadline, [channels, newStub, address, callback = std::move(callback)](const backend::v1::MemberStatus *reply) {
        if (reply != nullptr) {
            channels->replace(address, newStub);
        }
        callback(reply);
    });
}

void MemberClient::waitHeld(
    const std::string &address, decisions::Term term, std::uint64_t position, decisions::TimePoint deadline, StatusCallback callback)
{
    backend::v1::WaitHeldRequest request;
    request.set_term(term);
    request.set_position(position);
    // Half of the time left, so that a slow member's reply arrives before the deadline and is not taken for a lost one.
    request.set_wait_ms(decisions::millisecondsUntil(deadline, std::chrono::steady_clock::now()) / 2);
    const auto invoke = [](auto &calls, auto &call, auto ended) {
        calls.WaitHeld(&call.context, &call.request, &call.reply, std::move(ended));
    };
    startCall<backend::v1::MemberStatus>(
        m_channels->find(address), request, deadline, invoke, replyOrNull<backend::v1::MemberStatus>(std::move(callback)));
}

void MemberClient::fence(const std::string &address,
                         const decisions::FenceMember &fence,
                         decisions::TimePoint deadline,
                         ReplyCallback callback)
{
    backend::v1::FenceRequest request;
    request.set_term(fence.term);
    request.set_attempt(fence.attempt.text());
    const auto invoke = [](auto &calls, auto &call, auto ended) {
        calls.Fence(&call.context, &call.request, &call.reply, std::move(ended));
    };
    startCall<backend::v1::MemberReply>(
        m_channels->find(address), request, deadline, invoke, replyOrNull<backend::v1::MemberReply>(std::move(callback)));
}

void MemberClient::promote(const std::string &address,
                           const decisions::PromoteMember &promote,
                           decisions::TimePoint deadline,
                           ReplyCallback callback)
{
    backend::v1::PromoteRequest request;
    request.set_term(promote.term);
    request.set_attempt(promote.attempt.text());
    const auto invoke = [](auto &calls, auto &call, auto ended) {
        calls.Promote(&call.context, &call.request, &call.reply, std::move(ended));
    };
    startCall<backend::v1::MemberReply>(
        m_channels->find(address), request, deadline, invoke, replyOrNull<backend::v1::MemberReply>(std::move(callback)));
}

void MemberClient::follow(const std::string &address,
                          decisions::Term term,
                          const std::string &primaryAddress,
                          decisions::TimePoint deadline,
                          ReplyCallback callback)
{
    backend::v1::FollowRequest request;
    request.set_term(term);
    request.set_primary_address(primaryAddress);
    const auto invoke = [](auto &calls, auto &call, auto ended) {
        calls.Follow(&call.context, &call.request, &call.reply, std::move(ended));
    };
    startCall<backend::v1::MemberReply>(
        m_channels->find(address), request, deadline, invoke, replyOrNull<backend::v1::MemberReply>(std::move(callback)));
}

/// Owns itself until gRPC reports that the call is done.
class MemberConnection::Reactor : public grpc::ClientBidiReactor<backend::v1::StatementFrame, backend::v1::AnswerFrame>
{
public:
    Reactor(const std::string &address, ConnectionEvents events)
        : m_stub(backend::v1::Member::NewStub(openChannel(address, true))), m_events(std::move(events))
    {}

    void start(const std::shared_ptr<Reactor> &self)
    {
        m_self = self;
        m_stub->async()->Connect(&m_context, this);
        // The owner may cancel or write at any time until OnDone.
        AddHold();
        StartRead(&m_answer);
        StartCall();
    }

    /// gRPC allows one write at a time. A member's answer may arrive before OnWriteDone() of its statement, and the next statement then
    /// waits here.
    void send(const backend::v1::StatementFrame &frame)
    {
        const std::lock_guard lock(m_mutex);
        if (m_isClosing) {
            return;
        }
        m_frames.push_back(frame);
        if (m_frames.size() == 1) {
            StartWrite(&m_frames.front());
        }
    }

    void close()
    {
        const std::lock_guard lock(m_mutex);
        if (m_isClosing) {
            return;
        }
        m_isClosing = true;
        m_context.TryCancel();
        RemoveHold();
    }

    void OnReadInitialMetadataDone(bool isOk) override
    {
        // A refusal may also arrive as empty initial metadata.
        if (isOk && m_context.GetServerInitialMetadata().contains("rattanbeam-accepted")) {
            m_events.opened();
        }
    }

    void OnReadDone(bool isOk) override
    {
        if (!isOk) {
            close();
            return;
        }
        m_events.answered(m_answer);
        StartRead(&m_answer);
    }

    void OnWriteDone(bool isOk) override
    {
        if (!isOk) {
            close();
            return;
        }
        const std::lock_guard lock(m_mutex);
        m_frames.pop_front();
        if (!m_isClosing && !m_frames.empty()) {
            StartWrite(&m_frames.front());
        }
    }

    void OnDone(const grpc::Status & /*status*/) override
    {
        m_events.closed();
        m_self.reset();
    }

private:
    std::unique_ptr<Stub> m_stub;
    ConnectionEvents m_events;
    grpc::ClientContext m_context;
    /// Frames to be written; the one being written is at the front.
    std::deque<backend::v1::StatementFrame> m_frames;
    backend::v1::AnswerFrame m_answer;
    std::mutex m_mutex;
    bool m_isClosing = false;
    std::shared_ptr<Reactor> m_self;
};

MemberConnection::MemberConnection(const std::string &address, ConnectionEvents events)
    : m_reactor(std::make_shared<Reactor>(address, std::move(events)))
{
    m_reactor->start(m_reactor);
}

MemberConnection::~MemberConnection()
{
    m_reactor->close();
}

void MemberConnection::send(const backend::v1::StatementFrame &frame)
{
    m_reactor->send(frame);
}

} // namespace rattanbeam::proxy::internal
