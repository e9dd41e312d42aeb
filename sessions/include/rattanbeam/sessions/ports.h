#pragma once

#include "rattanbeam/decisions/session/fleetrecords.h"
#include "rattanbeam/decisions/session/homemessages.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// What the sessions interface needs from the place where it runs. All calls and callbacks happen on the event loop's
/// thread, and no callback runs inside the call that it belongs to.
namespace rattanbeam::sessions
{

using decisions::MemberId;
using decisions::TimePoint;
using namespace decisions::session;

/// The proxy's end of one client's connection. Destroying it closes the connection.
class ClientChannel
{
public:
    virtual ~ClientChannel() = default;
    virtual void accept() = 0;
    /// Refuses the session and closes.
    virtual void refuse(StatementError error, const std::string &text) = 0;
    virtual void answer(const Answer &answer) = 0;
    virtual void close() = 0;
};

using SessionNumber = std::uint64_t;

/// What a front listener tells about its clients.
class FrontHandler
{
public:
    virtual ~FrontHandler() = default;
    virtual SessionNumber sessionOpened(const std::shared_ptr<ClientChannel> &channel, const decisions::DatabaseName &database) = 0;
    virtual void statementArrived(SessionNumber session, const Statement &statement) = 0;
    virtual void sessionClosed(SessionNumber session) = 0;
};

/// One connection to a backend server. Destroying it closes the connection; no callback comes afterwards.
class MemberLink
{
public:
    virtual ~MemberLink() = default;
    virtual void send(const MemberCommand &command) = 0;
};

struct MemberLinkEvents {
    std::function<void()> opened;
    std::function<void(ConnectFailure)> failed;
    std::function<void(const Answer &, const std::optional<ReplicationStatus> &)> answered;
};

class MemberConnector
{
public:
    virtual ~MemberConnector() = default;
    virtual std::unique_ptr<MemberLink> connect(const MemberRecord &member, std::chrono::milliseconds timeout, MemberLinkEvents events) = 0;
};

enum class StoreOutcome {
    Done,
    Conflict, ///< Not done: the record has another revision, or exists already.
    Absent,
    HistoryLost, ///< The watch has to begin with a new list.
    Unavailable, ///< Not done.
    Unknown, ///< No answer: it may be done, now or later.
};

/// The platform's store of records.
class RecordStore
{
public:
    using ListCallback = std::function<void(StoreOutcome, const std::vector<Record> &, std::uint64_t revision)>;
    using RecordCallback = std::function<void(StoreOutcome, const std::optional<Record> &)>;

    virtual ~RecordStore() = default;
    virtual void list(Collection collection, ListCallback callback) = 0;
    /// Changes after `revision`, as soon as there are any; none after `wait`.
    virtual void watch(Collection collection, std::uint64_t revision, std::chrono::milliseconds wait, ListCallback callback) = 0;
    virtual void read(Collection collection, const std::string &name, RecordCallback callback) = 0;
    /// `expectedRevision` 0 creates the record.
    virtual void
    write(Collection collection, const std::string &name, const RecordValue &value, std::uint64_t expectedRevision, RecordCallback callback)
        = 0;
    virtual void remove(Collection collection, const std::string &name, std::uint64_t expectedRevision, RecordCallback callback) = 0;
};

/// Orders the platform to make a member the primary of its service.
class PromotionOrder
{
public:
    virtual ~PromotionOrder() = default;
    virtual void order(const ServiceName &service,
                       const MemberId &member,
                       const std::string &holder,
                       std::uint64_t token,
                       std::function<void(PromotionResult)> callback)
        = 0;
};

/// The ports of one daemon.
struct Ports {
    std::unique_ptr<RecordStore> store;
    std::unique_ptr<MemberConnector> members;
    std::unique_ptr<PromotionOrder> promotions;
};

} // namespace rattanbeam::sessions
