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

/// Requests to a service's home and their replies, and the effects that the home has on its surroundings.
namespace rattanbeam::decisions::session
{

using RequestNumber = std::uint64_t;
using ConnectionNumber = std::uint64_t;

/// Identifies one transaction of one session of one entry instance. Transaction 0 stands for none.
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

/// A statement as it arrives at its home.
struct HomeRequest {
    RequestNumber number = 0;
    TransactionKey transaction;
    /// Workspace of the client; empty if clients are not identified.
    WorkspaceName workspace;
    ForwardedStatement forwarded;
    Consistency consistency = Consistency::Latest;
    Rank rank = Rank::Batch;
    /// Maximum age of the data that a read may return, unless its consistency is Latest.
    Duration stalenessLimit{};
    TimePoint arrivedAt{};
    TimePoint deadline{};
    /// When the latency objective of the operation is missed.
    TimePoint objectiveAt{};
    std::shared_ptr<const SessionValues> values;
    /// Log position of the last commit that was acknowledged to the session, for read-your-writes consistency.
    std::optional<LogPosition> lastCommitPosition;
    /// Whether the entry instance chose this home because the preferred one was not usable; it is not redirected again.
    bool isSubstitute = false;
};

/// The reply to a HomeRequest.
struct HomeReply {
    Answer answer;
    /// Nothing ran, and the entry instance should send the request to another home.
    bool isRedirect = false;
    /// Whether the request's transaction is open at this home.
    bool isTransactionOpen = false;
};

enum class CommandKind {
    Statement,
    Status,
    Suspend, ///< Fences the replica: it stops receiving from its primary.
    Resume, ///< Lifts the fence.
    Demote, ///< Makes the primary a replica.
    Reset, ///< Clears the connection's session state.
};

/// One command on a member's connection.
struct MemberCommand {
    CommandKind kind = CommandKind::Statement;
    Statement statement;
    /// Term of the fence, for Suspend and Demote.
    Term term = 0;
};

/// Why a connection to a member could not be opened, or ended.
enum class ConnectFailure {
    Refused, ///< Nothing listens at the address, so that the member's process has ended.
    TimedOut,
    WrongMember, ///< Another member answered at the address.
    Overloaded, ///< The member accepts no more connections.
    Lost, ///< The connection ended, or it could not be set up for another reason.
};

std::string_view connectFailureName(ConnectFailure failure);

/// The platform's answer to an order of promotion.
enum class PromotionResult {
    Accepted,
    Rejected, ///< The member is not running, or the order came too late.
    Unavailable, ///< No answer, or an error of the platform; the order may be repeated.
};

/// Why a write of the term record was not confirmed.
enum class TermWriteFailure {
    Superseded, ///< Another home has written a later revision.
    /// The store was not reached, rejected the call, or did not answer. Without an answer, the record may have been written, or may
    /// be later.
    StoreUnavailable,
};

/// One log event. The home reports it where the state changes that it describes.
struct HomeLogEvent {
    std::string_view name;
    bool isWarning = false;
    std::vector<std::pair<std::string_view, std::string>> fields;
};

/// Side effects of a home's decisions. No call blocks; outcomes are reported to the GroupHome as events.
class HomeEffects
{
public:
    virtual ~HomeEffects() = default;
    /// Opens a connection for statements of `workspace`; an empty name stands for the instance itself.
    virtual void openConnection(ConnectionNumber connection, const MemberRecord &member, const WorkspaceName &workspace) = 0;
    virtual void sendCommand(ConnectionNumber connection, const MemberCommand &command) = 0;
    virtual void closeConnection(ConnectionNumber connection) = 0;
    virtual void reply(RequestNumber request, const HomeReply &reply) = 0;
    /// Writes the record if the stored one still has `expectedRevision`, which carries the store's epoch; 0 creates it. Answered by
    /// GroupHome::termSeen() and GroupHome::termWriteFailed().
    virtual void writeTerm(const TermRecord &record, std::uint64_t expectedRevision) = 0;
    /// Linearizable read of the term record.
    virtual void readTerm() = 0;
    /// Asks a few other instances whether they reach the member: those of other failure domains, or of this one if there are no
    /// others. Answered by GroupHome::peersAnswered().
    virtual void askPeers(const MemberId &member) = 0;
    /// Asks another home to give up its lease on generations below `generation`.
    virtual void askToYield(const std::string &home, std::uint64_t generation) = 0;
    /// Asks the platform to make the member primary. Later changes of primary have higher fencing tokens.
    virtual void orderPromotion(const MemberId &member, std::uint64_t fencingToken) = 0;
    virtual void report(const HomeLogEvent &event) = 0;
};

} // namespace rattanbeam::decisions::session
