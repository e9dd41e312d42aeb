#include "rattanbeam/operatorclient/connections.h"

#include "caller.grpc.pb.h"
#include "peer.grpc.pb.h"
#include "platform.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <chrono>

namespace rattanbeam::operatorclient
{

namespace
{

constexpr std::chrono::seconds callTimeout{5};
constexpr std::chrono::milliseconds statementGrace{500};
constexpr std::uint32_t pageSize = 500;
constexpr int mostAnswerBytes = 64 << 20;

void setDeadline(grpc::ClientContext &context, std::chrono::milliseconds timeout)
{
    context.set_deadline(std::chrono::system_clock::now() + timeout);
}

std::shared_ptr<grpc::Channel> channelTo(const std::string &address)
{
    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(mostAnswerBytes);
    return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
}

} // namespace

class PlatformSession::Stub
{
public:
    explicit Stub(const std::string &address) : calls(platform::v1::Objects::NewStub(channelTo(address)))
    {}
    std::unique_ptr<platform::v1::Objects::Stub> calls;
};

PlatformSession::PlatformSession(const std::string &address) : m_stub(std::make_unique<Stub>(address))
{}

PlatformSession::~PlatformSession() = default;

std::optional<platform::v1::Object> PlatformSession::read(const std::string &key)
{
    grpc::ClientContext context;
    setDeadline(context, callTimeout);
    platform::v1::ReadRequest request;
    request.set_key(key);
    platform::v1::Object object;
    return m_stub->calls->Read(&context, request, &object).ok() ? std::optional(object) : std::nullopt;
}

std::optional<std::vector<platform::v1::Object>> PlatformSession::list(const std::string &prefix)
{
    std::vector<platform::v1::Object> objects;
    std::uint64_t after = 0;
    while (true) {
        grpc::ClientContext context;
        setDeadline(context, callTimeout);
        platform::v1::ListRequest request;
        request.set_after(after);
        request.set_most(pageSize);
        platform::v1::ListReply reply;
        if (!m_stub->calls->List(&context, request, &reply).ok()) {
            return std::nullopt;
        }
        for (const auto &object : reply.objects()) {
            if (!object.deleted() && object.key().starts_with(prefix)) {
                objects.push_back(object);
            }
        }
        if (reply.objects_size() < static_cast<int>(pageSize)) {
            break;
        }
        after = reply.complete_to();
    }
    std::sort(objects.begin(), objects.end(), [](const auto &left, const auto &right) {
        return left.key() < right.key();
    });
    return objects;
}

std::optional<platform::v1::WriteReply>
PlatformSession::write(const std::string &key, const std::string &text, std::uint64_t expectedVersion, bool remove)
{
    grpc::ClientContext context;
    setDeadline(context, callTimeout);
    platform::v1::WriteRequest request;
    request.set_key(key);
    request.set_text(text);
    request.set_expected_version(expectedVersion);
    request.set_remove(remove);
    platform::v1::WriteReply reply;
    if (m_stub->calls->Write(&context, request, &reply).ok()) {
        return reply;
    }
    const auto now = read(key);
    if (!now) {
        return std::nullopt;
    }
    // The same text at a later version is what was asked for, whoever wrote it.
    const bool tookEffect = now->version() > expectedVersion && now->deleted() == remove && (remove || now->text() == text);
    reply.set_applied(tookEffect);
    *reply.mutable_object() = *now;
    return reply;
}

std::optional<platform::v1::InstanceList> PlatformSession::instances()
{
    grpc::ClientContext context;
    setDeadline(context, callTimeout);
    platform::v1::InstanceList list;
    return m_stub->calls->Instances(&context, {}, &list).ok() ? std::optional(list) : std::nullopt;
}

std::optional<peer::v1::ShowReply> showInstance(const std::string &address, const std::string &key)
{
    const auto stub = peer::v1::Operations::NewStub(channelTo(address));
    grpc::ClientContext context;
    setDeadline(context, callTimeout);
    peer::v1::ShowRequest request;
    request.set_key(key);
    peer::v1::ShowReply reply;
    return stub->Show(&context, request, &reply).ok() ? std::optional(reply) : std::nullopt;
}

std::optional<caller::v1::StatementReply>
sendStatement(const std::string &address, StatementCall call, const caller::v1::StatementRequest &request)
{
    const auto stub = caller::v1::Statements::NewStub(channelTo(address));
    grpc::ClientContext context;
    setDeadline(context, (request.timeout_ms() == 0 ? callTimeout * 2 : std::chrono::milliseconds(request.timeout_ms())) + statementGrace);
    caller::v1::StatementReply reply;
    grpc::Status status;
    switch (call) {
    case StatementCall::Execute:
        status = stub->Execute(&context, request, &reply);
        break;
    case StatementCall::Begin:
        status = stub->Begin(&context, request, &reply);
        break;
    case StatementCall::Commit:
        status = stub->Commit(&context, request, &reply);
        break;
    case StatementCall::Rollback:
        status = stub->Rollback(&context, request, &reply);
        break;
    }
    return status.ok() ? std::optional(reply) : std::nullopt;
}

} // namespace rattanbeam::operatorclient
