#pragma once

#include "rattanbeam/decisions/rank.h"
#include "rattanbeam/decisions/session/clientsession.h"
#include "rattanbeam/decisions/session/fleetrecords.h"
#include "rattanbeam/decisions/session/statement.h"
#include "rattanbeam/decisions/timepoint.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// What a service's home is asked, and what it asks of others.
namespace rattanbeam::decisions::session
{

using RequestNumber = std::uint64_t;
using ConnectionNumber = std::uint64_t;

/// Names one transaction of one session of one entry instance.
struct TransactionKey {
    std::string entry;
    std::uint64_t session = 0;
    std::uint64_t transaction = 0;

    bool isNone() const
    {
        return transaction == 0;
    }
    auto operator<=>(const TransactionKey &) const = default;
};

/// A statement at its home.
struct HomeRequest {
    RequestNumber number = 0;
    TransactionKey transaction;
    ForwardedStatement forwarded;
    Consistency consistency = Consistency::Latest;
    Rank rank = Rank::Batch;
    Duration maxStaleness{};
    TimePoint arrivedAt{};
    TimePoint deadline{};
    TimePoint objectiveAt{};
    std::shared_ptr<const SessionValues> values;
    std::optional<LogPosition> own;
    /// The entry instance could not use a better placed home.
    bool isSubstitute = false;
};

struct HomeReply {
    Answer answer;
    /// Nothing ran, and another home may serve it.
    bool isElsewhere = false;
    /// The transaction is open at this home.
    bool isOpen = false;
};

enum class CommandKind {
    Statement,
    Status,
    Suspend,
    Resume,
    Demote,
    Reset,
};

/// One command on a member's connection.
struct MemberCommand {
    CommandKind kind = CommandKind::Statement;
    Statement statement;
    Term term = 0;
};

enum class ConnectFailure {
    Refused, ///< Nothing listens there.
    TimedOut,
    WrongMember,
    Overloaded,
    Lost, ///< An open connection ended.
};

std::string_view connectFailureName(ConnectFailure failure);

enum class PromotionResult {
    Accepted,
    Rejected, ///< The named member is not running, or the order came too late.
    Unavailable,
};

enum class TermWriteFailure {
    Overtaken, ///< Another home wrote first.
    StoreAway, ///< The store did not answer, or turned the call away.
};

/// One line of the log, decided where the belief changes.
struct HomeEvent {
    std::string_view name;
    bool isWarning = false;
    std::vector<std::pair<std::string_view, std::string>> fields;
};

/// What a home does to the world. Each call returns at once; outcomes come back as events.
class HomeEffects
{
public:
    virtual ~HomeEffects() = default;
    virtual void openConnection(ConnectionNumber connection, const MemberRecord &member) = 0;
    virtual void sendCommand(ConnectionNumber connection, const MemberCommand &command) = 0;
    virtual void closeConnection(ConnectionNumber connection) = 0;
    virtual void reply(RequestNumber request, const HomeReply &reply) = 0;
    virtual void writeTerm(const TermRecord &record, std::uint64_t expectedRevision) = 0;
    virtual void readTerm() = 0;
    /// Asks instances of other domains whether they reach the member.
    virtual void askPeers(const MemberId &member) = 0;
    /// Asks another home to give up its lease on generations below this one.
    virtual void askToYield(const std::string &home, std::uint64_t generation) = 0;
    virtual void orderPromotion(const MemberId &member, std::uint64_t token) = 0;
    virtual void report(const HomeEvent &event) = 0;
};

} // namespace rattanbeam::decisions::session
