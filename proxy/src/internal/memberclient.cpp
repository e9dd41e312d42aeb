#include "rattanbeam/proxy/internal/memberclient.h"

#include "grpccall.h"

#include "backend.grpc.pb.h"

namespace rattanbeam::proxy::internal
{

namespace
{

using Stub = backend::v1::Member::Stub;

/// Hands the reply on, or null when no answer came.
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

void MemberClient::statusAfresh(const std::string &address, decisions::TimePoint deadline, StatusCallback callback)
{
    const std::shared_ptr<Stub> fresh = backend::v1::Member::NewStub(openChannel(address, true));
    const auto channels = m_channels;
    callStatus(fresh, deadline, [channels, fresh, address, callback = std::move(callback)](const backend::v1::MemberStatus *reply) {
        if (reply != nullptr) {
            channels->replace(address, fresh);
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
    // Answers before the deadline, so that a late member is told from a lost one.
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

/// Keeps itself alive until the library says that the stream is done.
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

    void send(const backend::v1::StatementFrame &frame)
    {
        const std::lock_guard lock(m_mutex);
        if (m_isClosing) {
            return;
        }
        m_frame = frame;
        StartWrite(&m_frame);
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
    backend::v1::StatementFrame m_frame;
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
