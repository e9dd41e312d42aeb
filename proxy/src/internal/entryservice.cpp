#include "rattanbeam/proxy/internal/entryservice.h"

#include "rattanbeam/kernel/logevent.h"
#include "rattanbeam/protocol/conversions.h"

#include <algorithm>

namespace rattanbeam::proxy::internal
{

using decisions::ErrorCode;
using decisions::Outcome;
using decisions::Verdict;

namespace
{

constexpr double retriesPerRequest = 0.2;
constexpr double mostRetries = 500;
constexpr std::chrono::milliseconds firstRetryPause{10};
constexpr std::uint32_t mostRetryDoublings = 4;
constexpr std::chrono::milliseconds answerGrace{100}; // for a home's verdict to arrive after the deadline
constexpr std::chrono::milliseconds leastRetryAfter{50};
constexpr std::uint32_t mostAttempts = 64;

/// How long a read waits for a replica rather than burden the primary: work of lower rank has more time than slots.
std::chrono::milliseconds replicaWait(decisions::Rank rank)
{
    switch (rank) {
    case decisions::Rank::Urgent:
        return std::chrono::milliseconds(5);
    case decisions::Rank::Interactive:
        return std::chrono::milliseconds(20);
    case decisions::Rank::Batch:
        break;
    }
    return std::chrono::milliseconds(500);
}

} // namespace

EntryService::EntryService(caf::actor_config &config, ServiceContextPtr context)
    : caf::event_based_actor(config)
    , m_context(std::move(context))
    , m_fleet(std::make_shared<const decisions::FleetView>())
    , m_sealer(m_context->settings.tokenKey, m_context->settings.previousTokenKey)
    , m_router(decisions::ReadRouter<decisions::PowerOfTwoChoices>(1))
    , m_retries(retriesPerRequest, mostRetries)
{
    const auto seed = static_cast<std::uint32_t>(decisions::stableHash(m_context->settings.instance.text()));
    const std::string &choice = m_context->settings.experiment.replicaChoice;
    if (choice == "least-in-flight") {
        m_router.emplace<1>(seed);
    } else if (choice == "latency-score") {
        m_router.emplace<2>(seed);
    } else {
        m_router.emplace<0>(seed);
    }
}

caf::behavior EntryService::make_behavior()
{
    return {
        [this](const CallerRequest &message) {
            arrived(message);
        },
        [this](const ForwardEnded &message) {
            forwardEnded(message);
        },
        [this](const RetryDue &message) {
            const auto found = m_requests.find(message.request);
            if (found != m_requests.end() && found->second.isWaiting && found->second.attempts == message.attempt) {
                attempt(message.request);
            }
        },
        [this](const FleetChanged &message) {
            fleetChanged(message.fleet);
        },
        [this](const DrainStarted &) {
            m_draining = true;
        },
    };
}

void EntryService::arrived(const CallerRequest &message)
{
    ++m_context->entryRequests;
    const std::uint64_t id = ++m_lastRequest;
    Request &request = m_requests[id];
    request.operation = message.operation;
    request.message = message.request;
    request.responder = message.responder;
    request.arrivedAt = currentTime();
    request.span = m_context->tracing->startSpan("entry", message.request->trace_context(), true);
    const auto timeout = message.request->timeout_ms() == 0 ? m_context->settings.defaultTimeout
                                                            : std::chrono::milliseconds(message.request->timeout_ms());
    request.deadline = request.arrivedAt + timeout;
    m_retries.deposit();
    if (const auto error = check(message, request)) {
        answerFailure(id, Outcome::refusal(*error), {});
        return;
    }
    attempt(id);
}

void EntryService::attempt(std::uint64_t id)
{
    Request &request = m_requests.at(id);
    request.isWaiting = false;
    ++request.attempts;
    if (currentTime() >= request.deadline || request.attempts > mostAttempts) {
        answerFailure(id, Outcome::refusal(ErrorCode::DeadlineExceeded), {});
        return;
    }
    const decisions::RouteOrOutcome route = chooseRoute(request);
    if (const auto *outcome = std::get_if<Outcome>(&route)) {
        failed(id, *outcome, {});
        return;
    }
    request.route = std::get<decisions::Route>(route);
    sendForward(id, request);
}

decisions::RouteOrOutcome EntryService::chooseRoute(Request &request)
{
    const auto at = currentTime();
    if (!request.transactionNumber.empty()) {
        return decisions::Route{request.transactionMember, request.transactionHome, false, true};
    }
    const decisions::StoredGroup *stored = m_fleet->group(request.database);
    if (stored == nullptr) {
        return Outcome::refusal(ErrorCode::UnknownDatabase);
    }
    if (!request.isWrite && !m_context->settings.experiment.readsOnPrimary) {
        const decisions::ReadRequirements needs{request.token.position(request.database), request.maxAge, replicaWait(request.rank)};
        const auto route = std::visit(
            [&](auto &router) {
                return router.route(*m_fleet, stored->group, m_views[request.database], needs, m_inFlight, request.tried, at);
            },
            m_router);
        if (route) {
            return *route;
        }
    }
    return decisions::routeToPrimary(*m_fleet, stored->group, request.tried, at);
}

peer::v1::ForwardRequest EntryService::composeForward(const Request &request) const
{
    peer::v1::ForwardRequest forward;
    forward.set_operation(request.operation);
    forward.set_customer(request.message->customer());
    forward.set_database(request.database.text());
    forward.set_member(request.route->member.text());
    forward.set_rank(request.message->rank());
    forward.set_access(request.isWrite ? caller::v1::WRITE : caller::v1::READ);
    forward.set_sql(request.message->sql());
    forward.set_max_age_ms(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(request.maxAge).count()));
    forward.set_max_wait_ms(static_cast<std::uint32_t>(replicaWait(request.rank).count()));
    forward.set_timeout_ms(decisions::millisecondsUntil(request.deadline, currentTime()));
    forward.set_request_id(request.requestId);
    forward.set_transaction(request.transactionNumber);
    forward.set_substitute(request.route->isSubstitute);
    forward.set_trace_context(request.forwardSpan.context());
    const auto position = request.token.position(request.database);
    if (!request.isWrite && position) {
        *forward.mutable_required() = protocol::fromLogPosition(position->logPosition);
    }
    return forward;
}

void EntryService::sendForward(std::uint64_t id, Request &request)
{
    const decisions::Route &route = *request.route;
    request.forwardSpan = m_context->tracing->startSpan("forward", request.span.context());
    request.forwardSpan.tag("to", route.instance.text());
    ++m_inFlight[route.member];
    const auto sentAt = currentTime();
    const caf::actor service(this);
    const std::uint32_t attempt = request.attempts;
    const auto ended = [service, id, attempt, sentAt](CallResult result, const peer::v1::ForwardReply &reply) {
        caf::anon_send(service, ForwardEnded{id, attempt, result, std::make_shared<const peer::v1::ForwardReply>(reply), sentAt});
    };
    if (route.instance == m_context->settings.instance) {
        peer::v1::ForwardReply fallback;
        *fallback.mutable_status() = protocol::fromOutcome(Outcome::inDoubt(ErrorCode::Internal), sentAt);
        const auto responder = std::make_shared<Responder<peer::v1::ForwardReply>>(
            [ended](const peer::v1::ForwardReply &reply) {
                ended(CallResult::Answered, reply);
            },
            fallback);
        send(m_context->registry.find(homeServiceName),
             ForwardArrived{std::make_shared<const peer::v1::ForwardRequest>(composeForward(request)), request.deadline, responder});
        return;
    }
    const decisions::InstanceRecord *instance = m_fleet->instance(route.instance);
    if (instance == nullptr) {
        ended(CallResult::NeverSent, {});
        return;
    }
    m_context->peers.forward(instance->address, composeForward(request), request.deadline + answerGrace, ended);
}

void EntryService::endRoute(Request &request)
{
    if (!request.route) {
        return;
    }
    const auto count = m_inFlight.find(request.route->member);
    if (count != m_inFlight.end() && --count->second == 0) {
        m_inFlight.erase(count);
    }
    request.forwardSpan.finish();
}

void EntryService::forwardEnded(const ForwardEnded &message)
{
    const auto found = m_requests.find(message.request);
    if (found == m_requests.end() || found->second.attempts != message.attempt || !found->second.route) {
        return;
    }
    Request &request = found->second;
    endRoute(request);
    if (message.result != CallResult::Answered) {
        const bool neverSent = message.result == CallResult::NeverSent;
        failed(
            message.request, neverSent ? Outcome::refusal(ErrorCode::PeerUnreachable) : Outcome::inDoubt(ErrorCode::PeerUnreachable), {});
        return;
    }
    learnGroup(request, message);
    const Outcome outcome = protocol::toOutcome(message.reply->status(), currentTime());
    if (outcome.isSuccess()) {
        succeed(message.request, message);
    } else {
        failed(message.request, outcome, message.reply->status().message());
    }
}

void EntryService::learnGroup(const Request &request, const ForwardEnded &message)
{
    decisions::GroupView &view = m_views[request.database];
    for (const auto &report : message.reply->group()) {
        const decisions::MemberId member(report.status().member());
        decisions::MemberObservation observation = protocol::toMemberObservation(report, message.sentAt);
        const auto median = m_latencies.find(member);
        if (median != m_latencies.end()) {
            observation.latency = median->second.value();
        }
        view.update(member, observation);
    }
    if (protocol::toOutcome(message.reply->status(), currentTime()).isSuccess()) {
        m_latencies[request.route->member].record(currentTime() - message.sentAt);
    }
}

void EntryService::fleetChanged(const std::shared_ptr<const decisions::FleetView> &fleet)
{
    const auto before = std::exchange(m_fleet, fleet);
    std::vector<std::uint64_t> lost;
    std::vector<std::uint64_t> woken;
    for (const auto &[id, request] : m_requests) {
        const auto *oldGroup = before->group(request.database);
        const auto *newGroup = fleet->group(request.database);
        const bool groupChanged = oldGroup == nullptr || newGroup == nullptr || oldGroup->version != newGroup->version;
        if (request.isWaiting && groupChanged) {
            woken.push_back(id);
        } else if (!request.isWaiting && request.route && before->instance(request.route->instance) != nullptr
                   && fleet->instance(request.route->instance) == nullptr && request.route->instance != m_context->settings.instance) {
            lost.push_back(id);
        }
    }
    for (const std::uint64_t id : woken) {
        attempt(id);
    }
    for (const std::uint64_t id : lost) {
        Request &request = m_requests.at(id);
        // A leaving instance still answers; a silent one is given up.
        if (request.transactionNumber.empty()) {
            endRoute(request);
            failed(id, Outcome::inDoubt(ErrorCode::PeerUnreachable), {});
        }
    }
    std::erase_if(m_views, [&](const auto &each) {
        return fleet->group(each.first) == nullptr;
    });
}

void EntryService::failed(std::uint64_t id, const Outcome &outcome, const std::string &text)
{
    Request &request = m_requests.at(id);
    const bool inTransaction = !request.transactionNumber.empty();
    request.isDoubted = request.isDoubted || (request.isWrite && outcome.verdict == Verdict::MayHaveRun);
    const bool hasStoredId = request.operation == peer::v1::EXECUTE && !inTransaction;
    const decisions::FailedAttempt attempted{outcome, request.isWrite, inTransaction, hasStoredId};
    switch (decisions::decideRetry(attempted)) {
    case decisions::RetryDecision::ReturnToCaller:
        answerFailure(id, outcome, text);
        return;
    case decisions::RetryDecision::RetryImmediately:
        noteFailedRoute(request, outcome);
        if (request.attempts <= 2 && m_retries.tryWithdraw()) {
            attempt(id);
            return;
        }
        break;
    case decisions::RetryDecision::RetryLater:
        noteFailedRoute(request, outcome);
        break;
    }
    retryLater(id, outcome, text);
}

void EntryService::noteFailedRoute(Request &request, const Outcome &outcome)
{
    if (!request.route) {
        return;
    }
    if (outcome.code == ErrorCode::NotCovered || outcome.code == ErrorCode::MemberUnreachable) {
        request.tried.replicas.insert(request.route->member);
    } else if (outcome.code == ErrorCode::PeerUnreachable || outcome.code == ErrorCode::Draining) {
        request.tried.unreachable.insert(request.route->instance);
    }
    request.route.reset();
}

void EntryService::retryLater(std::uint64_t id, const Outcome &outcome, const std::string &text)
{
    Request &request = m_requests.at(id);
    const auto pause = firstRetryPause * (1U << std::min(request.attempts, mostRetryDoublings));
    if (currentTime() + pause >= request.deadline || !m_retries.tryWithdraw()) {
        Outcome last = outcome;
        last.retryAt = std::max(last.retryAt, currentTime() + leastRetryAfter);
        answerFailure(id, last, text);
        return;
    }
    // What could not be reached may be back by then.
    request.tried = {};
    request.isWaiting = true;
    delayed_send(this, pause, RetryDue{id, request.attempts});
}

} // namespace rattanbeam::proxy::internal
