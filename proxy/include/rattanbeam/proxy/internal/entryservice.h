#pragma once

#include "rattanbeam/decisions/retrybudget.h"
#include "rattanbeam/decisions/router.h"
#include "rattanbeam/decisions/sessiontoken.h"
#include "rattanbeam/proxy/internal/messages.h"
#include "rattanbeam/proxy/internal/services.h"
#include "rattanbeam/proxy/internal/tokensealer.h"

#include <caf/event_based_actor.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace rattanbeam::proxy::internal
{

/// Takes callers' requests: checks them against the contract, opens the session token, chooses a member, forwards to its
/// home, tries again where that is safe, and answers with the next token and a true verdict.
class EntryService : public caf::event_based_actor
{
public:
    EntryService(caf::actor_config &config, ServiceContextPtr context);
    caf::behavior make_behavior() override;
    const char *name() const override
    {
        return entryServiceName;
    }

private:
    using AnyReadRouter = std::variant<decisions::ReadRouter<decisions::PowerOfTwoChoices>,
                                       decisions::ReadRouter<decisions::LeastInFlight>,
                                       decisions::ReadRouter<decisions::LatencyScore>>;

    /// A caller's request until its answer.
    struct Request {
        peer::v1::Operation operation;
        std::shared_ptr<const caller::v1::StatementRequest> message;
        CallerResponder responder;
        decisions::TimePoint arrivedAt;
        decisions::TimePoint deadline;
        decisions::DatabaseName database;
        decisions::Rank rank = decisions::Rank::Batch;
        bool isWrite = false;
        decisions::Duration maxAge{};
        decisions::SessionToken token;
        std::string requestId;
        decisions::TriedRoutes tried;
        std::optional<decisions::Route> route;
        /// Some attempt of a write may have run.
        bool isDoubted = false;
        std::uint32_t attempts = 0;
        bool isWaiting = false;
        /// Home and number of the transaction that the request belongs to.
        decisions::MemberId transactionMember;
        decisions::InstanceId transactionHome;
        std::string transactionNumber;
        kernel::Span span;
        kernel::Span forwardSpan;
    };

    void arrived(const CallerRequest &message);
    std::optional<decisions::ErrorCode> check(const CallerRequest &message, Request &request) const;
    std::optional<decisions::ErrorCode> checkContract(const caller::v1::StatementRequest &message, Request &request) const;
    std::optional<decisions::ErrorCode> checkTransaction(const CallerRequest &message, Request &request) const;

    void attempt(std::uint64_t id);
    decisions::RouteOrOutcome chooseRoute(Request &request);
    void sendForward(std::uint64_t id, Request &request);
    peer::v1::ForwardRequest composeForward(const Request &request) const;
    void forwardEnded(const ForwardEnded &message);
    void learnGroup(const Request &request, const ForwardEnded &message);
    void fleetChanged(const std::shared_ptr<const decisions::FleetView> &fleet);
    void endRoute(Request &request);
    void succeed(std::uint64_t id, const ForwardEnded &message);
    void failed(std::uint64_t id, const decisions::Outcome &outcome, const std::string &text);
    void noteFailedRoute(Request &request, const decisions::Outcome &outcome);
    void retryLater(std::uint64_t id, const decisions::Outcome &outcome, const std::string &text);
    void answerFailure(std::uint64_t id, decisions::Outcome outcome, const std::string &text);
    void finish(std::uint64_t id, caller::v1::StatementReply &reply, const decisions::Outcome &outcome, const std::string &text);

    ServiceContextPtr m_context;
    std::shared_ptr<const decisions::FleetView> m_fleet;
    TokenSealer m_sealer;
    AnyReadRouter m_router;
    std::map<decisions::DatabaseName, decisions::GroupView> m_views;
    std::map<decisions::MemberId, std::uint32_t> m_inFlight;
    std::map<decisions::MemberId, decisions::BucketMedian> m_latencies;
    std::map<std::uint64_t, Request> m_requests;
    decisions::RetryBudget m_retries;
    std::uint64_t m_lastRequest = 0;
    bool m_draining = false;
};

} // namespace rattanbeam::proxy::internal
