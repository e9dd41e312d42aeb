// rattanbeam-backend: stands for one backend server, a member of a database group.

#include "rattanbeam/protocol/conversions.h"
#include "rattanbeam/standins/backendmember.h"
#include "rattanbeam/standins/programoptions.h"

#include "backend.grpc.pb.h"
#include "replicator.h"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <unistd.h>

namespace
{

using namespace rattanbeam;
using namespace std::chrono_literals;
using standins::BackendMember;
using standins::fromEntry;
using standins::pullWaitMs;
using standins::Replicator;

constexpr int pingIntervalMs = 1000;
std::atomic<bool> stopRequested{false};

class MemberService : public backend::v1::Member::Service
{
public:
    MemberService(BackendMember &member, Replicator &replicator, std::string name)
        : m_member(member), m_replicator(replicator), m_name(std::move(name))
    {}

    void silenceOldConnections()
    {
        m_silentUpTo = m_lastConnection.load();
    }

    grpc::Status Connect(grpc::ServerContext *context,
                         grpc::ServerReaderWriter<backend::v1::AnswerFrame, backend::v1::StatementFrame> *stream) override
    {
        if (++m_connections > m_member.options().connections) {
            --m_connections;
            return {grpc::StatusCode::RESOURCE_EXHAUSTED, "all connections are taken"};
        }
        const std::uint64_t number = ++m_lastConnection;
        std::this_thread::sleep_for(m_member.options().connectDelay);
        context->AddInitialMetadata("rattanbeam-accepted", "1");
        stream->SendInitialMetadata();
        serve(*stream, number);
        --m_connections;
        return context->IsCancelled() ? grpc::Status::CANCELLED : grpc::Status::OK;
    }

    grpc::Status
    GetStatus(grpc::ServerContext * /*context*/, const backend::v1::StatusRequest * /*request*/, backend::v1::MemberStatus *reply) override
    {
        describe(m_member.status(), reply);
        return grpc::Status::OK;
    }

    grpc::Status
    WaitHeld(grpc::ServerContext * /*context*/, const backend::v1::WaitHeldRequest *request, backend::v1::MemberStatus *reply) override
    {
        const auto wait = std::chrono::milliseconds(std::min(request->wait_ms(), 5000U));
        describe(m_member.waitHeld(request->term(), request->position(), wait), reply);
        return grpc::Status::OK;
    }

    grpc::Status
    Fence(grpc::ServerContext * /*context*/, const backend::v1::FenceRequest *request, backend::v1::MemberReply *reply) override
    {
        reply->set_accepted(m_member.fence(request->term(), decisions::AttemptId(request->attempt())));
        describe(m_member.status(), reply->mutable_status());
        return grpc::Status::OK;
    }

    grpc::Status
    Promote(grpc::ServerContext * /*context*/, const backend::v1::PromoteRequest *request, backend::v1::MemberReply *reply) override
    {
        reply->set_accepted(m_member.promote(request->term(), decisions::AttemptId(request->attempt())));
        describe(m_member.status(), reply->mutable_status());
        return grpc::Status::OK;
    }

    grpc::Status
    Follow(grpc::ServerContext * /*context*/, const backend::v1::FollowRequest *request, backend::v1::MemberReply *reply) override
    {
        const bool accepted = m_member.follow(request->term());
        if (accepted) {
            m_replicator.setPrimary(request->primary_address());
        }
        reply->set_accepted(accepted);
        describe(m_member.status(), reply->mutable_status());
        return grpc::Status::OK;
    }

    grpc::Status Pull(grpc::ServerContext * /*context*/, const backend::v1::PullRequest *request, backend::v1::PullReply *reply) override
    {
        const auto wait = std::chrono::milliseconds(std::min(request->wait_ms(), pullWaitMs));
        const auto batch = m_member.pull(request->term(), protocol::toTermHistory(request->terms()), request->end(), wait);
        reply->set_term(batch.term);
        protocol::fromTermHistory(batch.history, reply->mutable_terms());
        reply->set_end(batch.primaryEnd);
        for (const auto &entry : batch.entries) {
            *reply->add_entries() = fromEntry(entry);
        }
        return grpc::Status::OK;
    }

private:
    void describe(const decisions::MemberStatus &status, backend::v1::MemberStatus *reply) const
    {
        *reply = protocol::fromMemberStatus(status);
        reply->set_member(m_name);
        reply->set_connections(static_cast<std::uint32_t>(m_connections.load()));
    }

    void serve(grpc::ServerReaderWriter<backend::v1::AnswerFrame, backend::v1::StatementFrame> &stream, std::uint64_t number)
    {
        const auto session = m_member.openSession();
        backend::v1::StatementFrame frame;
        while (stream.Read(&frame)) {
            if (number <= m_silentUpTo) {
                continue;
            }
            if (!stream.Write(answer(frame, *session))) {
                return;
            }
        }
    }

    static standins::StatementAnswer run(const backend::v1::StatementFrame &frame, BackendMember::Session &session)
    {
        switch (frame.kind()) {
        case backend::v1::SINGLE:
            return session.execute(
                frame.sql(), frame.access() == caller::v1::WRITE, frame.term(), frame.request_id(), frame.request_digest());
        case backend::v1::BEGIN:
            return session.begin(frame.term());
        case backend::v1::STEP:
            return session.step(frame.sql());
        case backend::v1::COMMIT:
            return session.commit(frame.request_id(), frame.request_digest());
        case backend::v1::ROLLBACK:
            return session.rollBack();
        default:
            break;
        }
        standins::StatementAnswer refused;
        refused.outcome = decisions::Outcome::refusal(decisions::ErrorCode::MalformedRequest);
        return refused;
    }

    static backend::v1::AnswerFrame answer(const backend::v1::StatementFrame &frame, BackendMember::Session &session)
    {
        const standins::StatementAnswer result = run(frame, session);
        backend::v1::AnswerFrame reply;
        reply.set_correlation(frame.correlation());
        *reply.mutable_status() = protocol::fromOutcome(result.outcome, std::chrono::steady_clock::now(), result.error);
        reply.mutable_columns()->Add(result.result.columns.begin(), result.result.columns.end());
        for (const auto &row : result.result.rows) {
            reply.add_rows()->mutable_values()->Add(row.begin(), row.end());
        }
        reply.set_rows_changed(result.result.rowsChanged);
        *reply.mutable_at() = protocol::fromLogPosition(result.at);
        reply.set_repeated(result.repeated);
        return reply;
    }

    BackendMember &m_member;
    Replicator &m_replicator;
    std::string m_name;
    std::atomic<std::uint64_t> m_connections{0};
    std::atomic<std::uint64_t> m_lastConnection{0};
    std::atomic<std::uint64_t> m_silentUpTo{0};
};

class FaultService : public backend::v1::Faults::Service
{
public:
    FaultService(BackendMember &member, MemberService &service, Replicator &replicator)
        : m_member(member), m_service(service), m_replicator(replicator)
    {}

    grpc::Status
    Set(grpc::ServerContext * /*context*/, const backend::v1::FaultRequest *request, backend::v1::FaultReply * /*reply*/) override
    {
        m_member.setLeaving(request->leaving());
        m_member.setLags(std::chrono::milliseconds(request->apply_lag_ms()), std::chrono::milliseconds(request->ship_lag_ms()));
        m_replicator.setCut(request->cut_replication());
        if (request->silence_old_connections()) {
            m_service.silenceOldConnections();
        }
        return grpc::Status::OK;
    }

private:
    BackendMember &m_member;
    MemberService &m_service;
    Replicator &m_replicator;
};

/// A folder that no earlier member can have used: process ids come again.
std::string newDirectory()
{
    std::string pattern = std::filesystem::temp_directory_path() / "rattanbeam-backend-XXXXXX";
    return mkdtemp(pattern.data()) == nullptr ? std::string() : pattern;
}

/// Serves until a signal asks to stop; returns the exit code.
int serveUntilStopped(const standins::BackendOptions &options, const std::string &listen, const std::string &name)
{
    BackendMember member(options);
    Replicator replicator(member);
    MemberService service(member, replicator, name);
    FaultService faults(member, service, replicator);
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddListeningPort(listen, grpc::InsecureServerCredentials(), &port);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, pingIntervalMs);
    // Two servers that share a port would answer for each other.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, 2 * pingIntervalMs);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, pingIntervalMs);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
    builder.RegisterService(&service);
    builder.RegisterService(&faults);
    const auto server = builder.BuildAndStart();
    if (!server) {
        std::cerr << "cannot listen on " << listen << '\n';
        return 1;
    }
    std::cout << "event=listening member=" << name << " port=" << port << std::endl;
    const auto onSignal = [](int /*signal*/) {
        stopRequested = true;
    };
    std::signal(SIGTERM, onSignal);
    std::signal(SIGINT, onSignal);
    while (!stopRequested) {
        std::this_thread::sleep_for(50ms);
    }
    server->Shutdown(std::chrono::system_clock::now());
    return 0;
}

} // namespace

int main(int argc, const char **argv)
{
    std::string listen = "127.0.0.1:0";
    std::string name = "member";
    std::string directory;
    standins::BackendOptions backend;
    int slots = 2;
    int connections = 16;
    int connectMs = 12;
    int costUs = 500;
    int applyLagMs = 0;
    int shipLagMs = 1;
    int primary = 0;
    standins::ProgramOptions options("rattanbeam-backend");
    options.text("listen", listen, "address and port; port 0 takes a free one")
        .text("name", name, "name of the member")
        .text("directory", directory, "empty folder for the tables; a new one when left out")
        .number("slots", slots, "statements run at once")
        .number("connections", connections, "connections accepted")
        .number("connect-ms", connectMs, "time that a new connection takes")
        .number("cost-us", costUs, "least time that a statement takes")
        .number("apply-lag-ms", applyLagMs, "time from holding to applying an entry")
        .number("ship-lag-ms", shipLagMs, "time until a follower holds an entry")
        .flag("primary", primary, "start as the primary of term 1");
    if (!options.parse(argc, argv)) {
        return standins::usageError;
    }
    backend.directory = directory.empty() ? newDirectory() : directory;
    std::filesystem::create_directories(backend.directory);
    if (!std::filesystem::is_empty(backend.directory)) {
        std::cerr << backend.directory << " is not empty: a member starts without tables\n";
        return 1;
    }
    backend.slots = static_cast<std::uint32_t>(slots);
    backend.connections = static_cast<std::uint32_t>(connections);
    backend.connectDelay = std::chrono::milliseconds(connectMs);
    backend.statementCost = std::chrono::microseconds(costUs);
    backend.applyLag = std::chrono::milliseconds(applyLagMs);
    backend.shipLag = std::chrono::milliseconds(shipLagMs);
    backend.startsAsPrimary = primary != 0;
    const int code = serveUntilStopped(backend, listen, name);
    std::filesystem::remove_all(backend.directory);
    return code;
}
