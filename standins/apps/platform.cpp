// rattanbeam-platform: stands for the platform's object API.

#include "rattanbeam/protocol/conversions.h"
#include "rattanbeam/standins/platformstore.h"
#include "rattanbeam/standins/programoptions.h"

#include "platform.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <iostream>
#include <thread>

namespace
{

using namespace rattanbeam;
using namespace std::chrono_literals;

constexpr std::uint32_t defaultPage = 500;

struct Behaviour {
    std::atomic<bool> isOut{false};
    std::atomic<std::uint32_t> slowMs{0};
    std::atomic<std::uint32_t> answersToLose{0};
    std::atomic<std::uint32_t> listLagMs{0};
};

struct Calls {
    std::atomic<std::uint64_t> reads{0};
    std::atomic<std::uint64_t> lists{0};
    std::atomic<std::uint64_t> writes{0};
    std::atomic<std::uint64_t> watches{0};
    std::atomic<std::uint64_t> instanceLists{0};
};

class ObjectService : public platform::v1::Objects::Service
{
public:
    ObjectService(standins::PlatformStore &store, Behaviour &behaviour, Calls &calls)
        : m_store(store), m_behaviour(behaviour), m_calls(calls)
    {}

    grpc::Status Read(grpc::ServerContext * /*context*/, const platform::v1::ReadRequest *request, platform::v1::Object *reply) override
    {
        ++m_calls.reads;
        if (!pass()) {
            return outage();
        }
        *reply = protocol::fromConfigObject(m_store.read(request->key()));
        return grpc::Status::OK;
    }

    grpc::Status List(grpc::ServerContext * /*context*/, const platform::v1::ListRequest *request, platform::v1::ListReply *reply) override
    {
        ++m_calls.lists;
        if (!pass()) {
            return outage();
        }
        fill(request->after(), request->most() == 0 ? defaultPage : request->most(), reply);
        return grpc::Status::OK;
    }

    grpc::Status
    Write(grpc::ServerContext * /*context*/, const platform::v1::WriteRequest *request, platform::v1::WriteReply *reply) override
    {
        ++m_calls.writes;
        if (!pass()) {
            return outage();
        }
        if (request->text().size() > standins::PlatformStore::maxObjectBytes) {
            return {grpc::StatusCode::INVALID_ARGUMENT, "larger than a megabyte"};
        }
        const auto outcome = m_store.write(request->key(), request->text(), request->expected_version(), request->remove());
        if (losesAnswer()) {
            return {grpc::StatusCode::UNAVAILABLE, "the answer was lost"};
        }
        reply->set_applied(outcome.isApplied);
        *reply->mutable_object() = protocol::fromConfigObject(outcome.object);
        return grpc::Status::OK;
    }

    grpc::Status Watch(grpc::ServerContext *context,
                       const platform::v1::ListRequest *request,
                       grpc::ServerWriter<platform::v1::ListReply> *writer) override
    {
        ++m_calls.watches;
        std::uint64_t after = request->after();
        while (!context->IsCancelled()) {
            if (!pass()) {
                return outage();
            }
            if (!m_store.waitForChange(after, 100ms)) {
                continue;
            }
            platform::v1::ListReply reply;
            fill(after, defaultPage, &reply);
            after = reply.complete_to();
            if (!writer->Write(reply)) {
                break;
            }
        }
        return grpc::Status::OK;
    }

    grpc::Status Instances(grpc::ServerContext * /*context*/,
                           const platform::v1::InstancesRequest * /*request*/,
                           platform::v1::InstanceList *reply) override
    {
        ++m_calls.instanceLists;
        if (!pass()) {
            return outage();
        }
        for (const auto &record : m_store.instances(std::chrono::milliseconds(m_behaviour.listLagMs))) {
            auto *entry = reply->add_instances();
            entry->set_name(record.id.text());
            entry->set_address(record.address);
            entry->set_domain(record.domain.text());
            entry->set_leaving(record.isLeaving);
        }
        return grpc::Status::OK;
    }

    // What the platform knows of its own accord, also during an outage of its API.
    grpc::Status Announce(grpc::ServerContext * /*context*/,
                          const platform::v1::InstanceEntry *request,
                          platform::v1::AnnounceReply * /*reply*/) override
    {
        decisions::InstanceRecord record;
        record.id = decisions::InstanceId(request->name());
        record.address = request->address();
        record.domain = decisions::FailureDomain(request->domain());
        record.isLeaving = request->leaving();
        m_store.announce(record);
        return grpc::Status::OK;
    }

private:
    bool pass() const
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(m_behaviour.slowMs));
        return !m_behaviour.isOut;
    }

    static grpc::Status outage()
    {
        return {grpc::StatusCode::UNAVAILABLE, "the platform is out"};
    }

    bool losesAnswer()
    {
        std::uint32_t left = m_behaviour.answersToLose;
        while (left > 0 && !m_behaviour.answersToLose.compare_exchange_weak(left, left - 1)) {
        }
        return left > 0;
    }

    void fill(std::uint64_t after, std::uint32_t most, platform::v1::ListReply *reply) const
    {
        const auto changes = m_store.changesAfter(after, most);
        reply->set_complete_to(changes.completeTo);
        for (const auto &object : changes.objects) {
            *reply->add_objects() = protocol::fromConfigObject(object);
        }
    }

    standins::PlatformStore &m_store;
    Behaviour &m_behaviour;
    Calls &m_calls;
};

class FaultService : public platform::v1::Faults::Service
{
public:
    FaultService(Behaviour &behaviour, Calls &calls) : m_behaviour(behaviour), m_calls(calls)
    {}

    grpc::Status Set(grpc::ServerContext * /*context*/, const platform::v1::FaultRequest *request, platform::v1::Counters *reply) override
    {
        m_behaviour.isOut = request->out();
        m_behaviour.slowMs = request->slow_ms();
        m_behaviour.answersToLose = request->lose_answers();
        m_behaviour.listLagMs = request->list_lag_ms();
        reply->set_reads(m_calls.reads);
        reply->set_lists(m_calls.lists);
        reply->set_writes(m_calls.writes);
        reply->set_watches(m_calls.watches);
        reply->set_instance_lists(m_calls.instanceLists);
        return grpc::Status::OK;
    }

private:
    Behaviour &m_behaviour;
    Calls &m_calls;
};

} // namespace

int main(int argc, const char **argv)
{
    std::string listen = "127.0.0.1:0";
    int listLagMs = 0;
    standins::ProgramOptions options("rattanbeam-platform");
    options.text("listen", listen, "address and port; port 0 takes a free one")
        .number("list-lag-ms", listLagMs, "lag of the instance list");
    if (!options.parse(argc, argv)) {
        return standins::usageError;
    }
    standins::PlatformStore store;
    Behaviour behaviour;
    behaviour.listLagMs = static_cast<std::uint32_t>(listLagMs);
    Calls calls;
    ObjectService objects(store, behaviour, calls);
    FaultService faults(behaviour, calls);
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddListeningPort(listen, grpc::InsecureServerCredentials(), &port);
    // Two servers that share a port would answer for each other.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.RegisterService(&objects);
    builder.RegisterService(&faults);
    const auto server = builder.BuildAndStart();
    if (!server) {
        std::cerr << "cannot listen on " << listen << '\n';
        return 1;
    }
    std::cout << "event=listening port=" << port << std::endl;
    server->Wait();
    return 0;
}
