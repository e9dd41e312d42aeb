#pragma once

#include "rattanbeam/protocol/conversions.h"
#include "rattanbeam/standins/backendmember.h"

#include "backend.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

/// How a stand-in member gets its log from the primary that it follows.
namespace rattanbeam::standins
{

/// Longest wait of one pull for a new entry.
inline constexpr std::uint32_t pullWaitMs = 500;

inline backend::v1::LogEntry fromEntry(const BackendMember::Log::Entry &entry)
{
    backend::v1::LogEntry message;
    *message.mutable_at() = protocol::fromLogPosition(entry.at);
    for (const std::string &sql : entry.payload.statements) {
        message.add_statements(sql);
    }
    message.set_request_id(entry.payload.requestId);
    message.set_request_digest(entry.payload.requestDigest);
    message.set_rows_changed(entry.payload.rowsChanged);
    return message;
}

inline BackendMember::Log::Entry toEntry(const backend::v1::LogEntry &message)
{
    Change change;
    change.statements.assign(message.statements().begin(), message.statements().end());
    change.requestId = message.request_id();
    change.requestDigest = message.request_digest();
    change.rowsChanged = message.rows_changed();
    return {protocol::toLogPosition(message.at()), change};
}

/// Pulls the log from the primary that the member was told to follow.
class Replicator
{
public:
    explicit Replicator(BackendMember &member)
        : m_member(member), m_thread([this] {
            loop();
        })
    {}
    Replicator(const Replicator &) = delete;
    Replicator &operator=(const Replicator &) = delete;
    ~Replicator()
    {
        m_stopping = true;
        m_thread.join();
    }

    void setPrimary(const std::string &address)
    {
        const std::lock_guard lock(m_mutex);
        if (address != m_address) {
            m_address = address;
            connect();
            // A pull under way may wait for a primary that never answers.
            if (m_pull) {
                m_pull->TryCancel();
            }
        }
    }
    void setCut(bool isCut)
    {
        m_isCut = isCut;
    }

private:
    /// A connection of its own, not one that the library shares.
    void connect()
    {
        grpc::ChannelArguments arguments;
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        m_stub = backend::v1::Member::NewStub(grpc::CreateCustomChannel(m_address, grpc::InsecureChannelCredentials(), arguments));
    }

    void loop()
    {
        while (!m_stopping) {
            if (m_isCut || !pullOnce()) {
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
            }
        }
    }

    bool pullOnce()
    {
        std::shared_ptr<backend::v1::Member::Stub> stub;
        const auto context = std::make_shared<grpc::ClientContext>();
        {
            const std::lock_guard lock(m_mutex);
            stub = m_stub;
            m_pull = context;
        }
        const auto status = m_member.status();
        if (!stub || status.isPrimary) {
            return false;
        }
        backend::v1::PullRequest request;
        request.set_term(status.term);
        protocol::fromTermHistory(status.history, request.mutable_terms());
        request.set_end(status.held.position);
        request.set_wait_ms(status.isFollowing ? pullWaitMs : 0);
        context->set_deadline(std::chrono::system_clock::now() + std::chrono::seconds(2));
        backend::v1::PullReply reply;
        if (!stub->Pull(context.get(), request, &reply).ok()) {
            // The old connection may have gone silent for good.
            const std::lock_guard lock(m_mutex);
            connect();
            return false;
        }
        if (reply.term() == 0) {
            return false;
        }
        std::this_thread::sleep_for(m_member.shipLag());
        BackendMember::Log::Batch batch{reply.term(), protocol::toTermHistory(reply.terms()), reply.end(), {}};
        for (const auto &entry : reply.entries()) {
            batch.entries.push_back(toEntry(entry));
        }
        m_member.accept(batch);
        return true;
    }

    BackendMember &m_member;
    std::mutex m_mutex;
    std::string m_address;
    std::shared_ptr<backend::v1::Member::Stub> m_stub;
    std::shared_ptr<grpc::ClientContext> m_pull;
    std::atomic<bool> m_stopping{false};
    std::atomic<bool> m_isCut{false};
    std::thread m_thread;
};

} // namespace rattanbeam::standins
