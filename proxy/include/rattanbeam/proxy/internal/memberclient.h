#pragma once

#include "rattanbeam/decisions/promotion.h"
#include "rattanbeam/decisions/timepoint.h"

#include "backend.pb.h"

#include <functional>
#include <memory>
#include <string>

namespace rattanbeam::proxy::internal
{

/// Control calls to backend servers: status, confirmation, fencing, promotion. They do not count against a member's
/// connections. Callbacks run on gRPC's threads; a null reply means that there was none by the deadline.
class MemberClient
{
public:
    using StatusCallback = std::function<void(const backend::v1::MemberStatus *)>;
    using ReplyCallback = std::function<void(const backend::v1::MemberReply *)>;

    MemberClient();
    MemberClient(const MemberClient &) = delete;
    MemberClient &operator=(const MemberClient &) = delete;
    ~MemberClient();

    void status(const std::string &address, decisions::TimePoint deadline, const StatusCallback &callback);
    /// As status(), on a new connection, which replaces the old one if the member answers.
    void statusOnNewConnection(const std::string &address, decisions::TimePoint deadline, StatusCallback callback);
    void waitHeld(
        const std::string &address, decisions::Term term, std::uint64_t position, decisions::TimePoint deadline, StatusCallback callback);
    void fence(const std::string &address, const decisions::FenceMember &fence, decisions::TimePoint deadline, ReplyCallback callback);
    void
    promote(const std::string &address, const decisions::PromoteMember &promote, decisions::TimePoint deadline, ReplyCallback callback);
    void follow(const std::string &address,
                decisions::Term term,
                const std::string &primaryAddress,
                decisions::TimePoint deadline,
                ReplyCallback callback);

private:
    class Channels;
    std::shared_ptr<Channels> m_channels;
};

/// Events of one connection to a member. Called on gRPC's threads, never after closed().
struct ConnectionEvents {
    std::function<void()> opened;
    std::function<void(const backend::v1::AnswerFrame &)> answered;
    /// Called once, also if the connection could not be opened.
    std::function<void()> closed;
};

/// One of the scarce connections of a member: a stream over a TCP connection of its own.
class MemberConnection
{
public:
    MemberConnection(const std::string &address, ConnectionEvents events);
    MemberConnection(const MemberConnection &) = delete;
    MemberConnection &operator=(const MemberConnection &) = delete;
    /// Closes the connection; closed() still follows.
    ~MemberConnection();

    /// Statements are sent in the order of the calls.
    void send(const backend::v1::StatementFrame &frame);

private:
    class Reactor;
    std::shared_ptr<Reactor> m_reactor;
};

} // namespace rattanbeam::proxy::internal
