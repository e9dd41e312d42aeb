#include "rattanbeam/proxy/internal/platformclient.h"

#include "rattanbeam/protocol/conversions.h"

#include "grpccall.h"

#include "platform.grpc.pb.h"

namespace rattanbeam::proxy::internal
{

class PlatformClient::Stub
{
public:
    explicit Stub(const std::string &address) : calls(platform::v1::Objects::NewStub(openChannel(address, true)))
    {}
    std::shared_ptr<platform::v1::Objects::Stub> calls;
};

/// Keeps itself alive until the library says that the stream is done.
class PlatformClient::Watcher : public grpc::ClientReadReactor<platform::v1::ListReply>
{
public:
    Watcher(std::uint64_t after, ChangesCallback changed, std::function<void()> ended)
        : m_after(after), m_changed(std::move(changed)), m_ended(std::move(ended))
    {}

    void start(const std::shared_ptr<platform::v1::Objects::Stub> &stub, const std::shared_ptr<Watcher> &self)
    {
        m_stub = stub;
        m_self = self;
        m_request.set_after(m_after);
        stub->async()->Watch(&m_context, &m_request, this);
        StartRead(&m_reply);
        StartCall();
    }

    void stop()
    {
        m_context.TryCancel();
    }

    void OnReadDone(bool isOk) override
    {
        if (!isOk) {
            return;
        }
        m_changed(protocol::toConfigChanges(m_reply, m_after));
        m_after = m_reply.complete_to();
        StartRead(&m_reply);
    }

    void OnDone(const grpc::Status & /*status*/) override
    {
        m_ended();
        m_self.reset();
    }

private:
    std::uint64_t m_after;
    ChangesCallback m_changed;
    std::function<void()> m_ended;
    std::shared_ptr<platform::v1::Objects::Stub> m_stub;
    grpc::ClientContext m_context;
    platform::v1::ListRequest m_request;
    platform::v1::ListReply m_reply;
    std::shared_ptr<Watcher> m_self;
};

PlatformClient::PlatformClient(const std::string &address) : m_stub(std::make_unique<Stub>(address))
{}

PlatformClient::~PlatformClient()
{
    stopWatch();
}

void PlatformClient::read(const std::string &key, decisions::TimePoint deadline, ReadCallback callback)
{
    const auto call = std::make_shared<PendingCall<platform::v1::ReadRequest, platform::v1::Object>>();
    call->context.set_deadline(toSystemTime(deadline));
    call->request.set_key(key);
    m_stub->calls->async()->Read(
        &call->context, &call->request, &call->reply, [call, callback = std::move(callback)](const grpc::Status &status) {
            callback(status.ok() ? std::optional(protocol::toConfigObject(call->reply)) : std::nullopt);
        });
}

void PlatformClient::write(const decisions::ConfigObject &object,
                           std::uint64_t expectedVersion,
                           decisions::TimePoint deadline,
                           WriteCallback callback)
{
    const auto call = std::make_shared<PendingCall<platform::v1::WriteRequest, platform::v1::WriteReply>>();
    call->context.set_deadline(toSystemTime(deadline));
    call->request.set_key(object.key);
    call->request.set_text(object.text);
    call->request.set_remove(object.deleted);
    call->request.set_expected_version(expectedVersion);
    m_stub->calls->async()->Write(
        &call->context, &call->request, &call->reply, [call, callback = std::move(callback)](const grpc::Status &status) {
            if (!status.ok()) {
                callback(std::nullopt);
                return;
            }
            callback(PlatformWrite{call->reply.applied(), protocol::toConfigObject(call->reply.object())});
        });
}

void PlatformClient::instances(decisions::TimePoint deadline, InstancesCallback callback)
{
    const auto call = std::make_shared<PendingCall<platform::v1::InstancesRequest, platform::v1::InstanceList>>();
    call->context.set_deadline(toSystemTime(deadline));
    m_stub->calls->async()->Instances(
        &call->context, &call->request, &call->reply, [call, callback = std::move(callback)](const grpc::Status &status) {
            if (!status.ok()) {
                callback(std::nullopt);
                return;
            }
            std::vector<decisions::InstanceRecord> records;
            for (const auto &entry : call->reply.instances()) {
                decisions::InstanceRecord record;
                record.id = decisions::InstanceId(entry.name());
                record.domain = decisions::FailureDomain(entry.domain());
                record.address = entry.address();
                record.isLeaving = entry.leaving();
                records.push_back(record);
            }
            callback(records);
        });
}

void PlatformClient::announce(const decisions::InstanceRecord &self, decisions::TimePoint deadline)
{
    const auto call = std::make_shared<PendingCall<platform::v1::InstanceEntry, platform::v1::AnnounceReply>>();
    call->context.set_deadline(toSystemTime(deadline));
    call->request.set_name(self.id.text());
    call->request.set_address(self.address);
    call->request.set_domain(self.domain.text());
    call->request.set_leaving(self.isLeaving);
    m_stub->calls->async()->Announce(&call->context, &call->request, &call->reply, [call](const grpc::Status & /*status*/) {});
}

void PlatformClient::watch(std::uint64_t after, ChangesCallback changed, std::function<void()> ended)
{
    m_watcher = std::make_shared<Watcher>(after, std::move(changed), std::move(ended));
    m_watcher->start(m_stub->calls, m_watcher);
}

void PlatformClient::stopWatch()
{
    if (m_watcher) {
        m_watcher->stop();
        m_watcher.reset();
    }
}

} // namespace rattanbeam::proxy::internal
