#include "rattanbeam/sessions/internal/entryservice.h"

#include "rattanbeam/kernel/logevent.h"

#include <algorithm>
#include <utility>

namespace rattanbeam::sessions::internal
{

using kernel::LogEvent;
using kernel::LogLevel;
using namespace std::chrono_literals;

namespace
{

const std::string localHome; // the empty address stands for this instance
constexpr std::size_t maxQueuedStatements = 32; // pipelined statements of one session; a client that sends more is disconnected
constexpr std::uint32_t maxForwardAttempts = 4;
constexpr decisions::Duration redirectCooldown = 1s; // a home that redirected a request is avoided for this long
constexpr decisions::Duration replyMargin = 100ms; // added to the deadline, which the home itself enforces
constexpr std::uint32_t successLinesDivisor = 10; // successful statements may take one in this many of the log's lines

const char *const memoryRefusal = "client-memory retry-after-ms=500"; // statements are answered, or given up, in about that time

const char *consistencyName(Consistency consistency)
{
    switch (consistency) {
    case Consistency::Latest:
        return "latest";
    case Consistency::BoundedAge:
        return "bounded-age";
    case Consistency::ReadYourWrites:
        return "read-your-writes";
    }
    return "unknown";
}

Answer answerOf(const link::v1::StatementReply &reply)
{
    Answer answer;
    answer.rows.assign(reply.rows().begin(), reply.rows().end());
    answer.signature = reply.signature();
    answer.error = static_cast<StatementError>(std::min(reply.error(), static_cast<std::uint32_t>(StatementError::InDoubt)));
    answer.errorText = reply.error_text();
    answer.phase = static_cast<SessionPhase>(std::min(reply.phase(), 2U));
    if (reply.has_position()) {
        answer.position = decisions::LogPosition{reply.position().term(), reply.position().number()};
    }
    return answer;
}

} // namespace

EntryService::EntryService(
    EventLoop &loop, const SessionSettings &settings, Directory &directory, PeerLinks &links, HomeService &homes, kernel::Metrics &metrics)
    : m_loop(loop)
    , m_settings(settings)
    , m_directory(directory)
    , m_links(links)
    , m_homes(homes)
    , m_metrics(metrics)
    , m_forwardedBudget(settings.clients.maxForwardedBytes)
{}

SessionNumber
EntryService::sessionOpened(const std::shared_ptr<ClientChannel> &channel, const decisions::DatabaseName &database, const std::string &key)
{
    if (!m_directory.isReady()) {
        channel->refuse(StatementError::Busy, "starting retry-after-ms=500");
        return 0;
    }
    const Route *route = m_directory.configuration()->route(database);
    const auto workspace = route == nullptr ? std::nullopt : callers().identify(*route, key);
    if (!workspace) {
        const StatementError error = route == nullptr ? StatementError::UnknownDatabase : StatementError::Unauthenticated;
        m_metrics.count("sessions_refused");
        LogEvent("session-refused").with("database", database).with("error", error).with("version", m_directory.configuration()->version);
        channel->refuse(error, database.text());
        return 0;
    }
    const SessionNumber number = ++m_lastSessionNumber;
    Session &session = m_sessions[number];
    session.channel = channel;
    session.database = database;
    session.key = key;
    session.workspace = *workspace;
    m_metrics.count("sessions_opened");
    channel->accept();
    return number;
}

void EntryService::statementArrived(SessionNumber number, const Statement &statement)
{
    const auto found = m_sessions.find(number);
    if (found == m_sessions.end()) {
        return;
    }
    if (found->second.queuedStatements.size() >= maxQueuedStatements) {
        found->second.channel->close();
        sessionClosed(number);
        return;
    }
    found->second.queuedStatements.push_back(statement);
    processQueuedStatements(number);
}

void EntryService::processQueuedStatements(SessionNumber number)
{
    auto found = m_sessions.find(number);
    while (found != m_sessions.end() && !found->second.isBusy && !found->second.queuedStatements.empty()) {
        const Statement statement = std::move(found->second.queuedStatements.front());
        found->second.queuedStatements.pop_front();
        processStatement(number, statement);
        found = m_sessions.find(number);
    }
}

const CallerIndex &EntryService::callers()
{
    const FleetConfiguration &configuration = *m_directory.configuration();
    if (!m_callers || m_callersVersion != configuration.version) {
        m_callers.emplace(configuration);
        m_callersVersion = configuration.version;
    }
    return *m_callers;
}

bool EntryService::authenticate(Session &session, const Route &route)
{
    const auto workspace = callers().identify(route, session.key);
    if (!workspace || (session.state.phase() != SessionPhase::Idle && *workspace != session.workspace)) {
        return false;
    }
    session.workspace = *workspace;
    return true;
}

void EntryService::refuseSession(SessionNumber number, StatementError error, const std::string &text)
{
    m_metrics.count("sessions_refused");
    LogEvent("session-ended")
        .with("session", number)
        .with("database", m_sessions.at(number).database)
        .with("error", error)
        .with("version", m_directory.configuration()->version);
    m_sessions.at(number).channel->refuse(error, text);
    sessionClosed(number);
}

void EntryService::processStatement(SessionNumber number, const Statement &statement)
{
    Session &session = m_sessions.at(number);
    const bool isOutsideTransaction = session.state.phase() == SessionPhase::Idle;
    if (isOutsideTransaction) {
        // A changed route takes effect only between transactions.
        const Route *route = m_directory.configuration()->route(session.database);
        if (route == nullptr) {
            refuseSession(number, StatementError::UnknownDatabase, session.database.text());
            return;
        }
        session.transactionRoute = *route;
    }
    if (!authenticate(session, session.transactionRoute)) {
        refuseSession(number, StatementError::Unauthenticated, session.database.text());
        return;
    }
    const std::uint64_t startedTransaction = session.state.startedTransaction();
    const auto next = session.state.handleStatement(statement);
    if (const auto *answer = std::get_if<Answer>(&next)) {
        if (startedTransaction != 0 && session.state.startedTransaction() == 0) {
            endTransactionAt(session.transactionHome, number, startedTransaction);
        }
        session.channel->setSessionBytes(session.state.storedBytes());
        answerLocally(number, statement, *answer);
        return;
    }
    auto heldBytes = holdBytes(session, std::get<ForwardedStatement>(next));
    if (!heldBytes) {
        refuseForMemory(number, statement, std::get<ForwardedStatement>(next));
        return;
    }
    const std::uint64_t request = ++m_lastRequestNumber;
    PendingRequest &pending = m_pendingRequests[request];
    pending.heldBytes = std::move(heldBytes);
    pending.session = number;
    pending.forwarded = std::get<ForwardedStatement>(next);
    pending.route = session.transactionRoute;
    pending.arrivedAt = EventLoop::now();
    pending.deadline = pending.arrivedAt + std::chrono::milliseconds(pending.route.timeoutMs);
    session.isBusy = true;
    forward(request);
}

std::shared_ptr<const void> EntryService::holdBytes(const Session &session, const ForwardedStatement &forwarded)
{
    const Statement &statement = forwarded.statement;
    const std::size_t bytes = statement.id.size() + statement.name.size() + statement.arguments.size() + forwarded.definition.size()
                              + session.state.storedBytes();
    if (!m_forwardedBudget.tryAdd(bytes)) {
        return nullptr;
    }
    return {this, [this, bytes](const EntryService *) {
                m_forwardedBudget.release(bytes);
            }};
}

void EntryService::refuseForMemory(SessionNumber number, const Statement &statement, const ForwardedStatement &forwarded)
{
    Session &session = m_sessions.at(number);
    const bool isInTransaction = forwarded.transaction != 0;
    if (session.state.startedTransaction() != 0) {
        endTransactionAt(session.transactionHome, number, session.state.startedTransaction());
    }
    m_metrics.count("statements_refused_for_memory");
    const Answer refusal
        = Answer::failure(isInTransaction ? StatementError::Aborted : StatementError::Busy, memoryRefusal, SessionPhase::Idle);
    answerLocally(number, statement, session.state.handleAnswer(forwarded, refusal));
}

void EntryService::answerLocally(SessionNumber number, const Statement &statement, const Answer &answer)
{
    if (!answer.isSuccess()) {
        m_metrics.count("statements_refused_here");
        LogEvent("statement-refused")
            .with("request", statement.id)
            .with("kind", statementKindName(statement.kind))
            .with("error", answer.error)
            .with("reason", answer.errorText);
    }
    m_sessions.at(number).channel->answer(answer);
}

void EntryService::forward(std::uint64_t request)
{
    PendingRequest &pending = m_pendingRequests.at(request);
    if (!m_sessions.contains(pending.session)) {
        m_pendingRequests.erase(request); // the client has disconnected, and nothing ran
        return;
    }
    const TimePoint now = EventLoop::now();
    const bool continuesTransaction = pending.forwarded.transaction != 0 && !pending.forwarded.opensTransaction;
    if (m_isEnding) {
        const StatementError error = continuesTransaction ? StatementError::Aborted : StatementError::Busy;
        complete(request, Answer::failure(error, "instance-stops", SessionPhase::Idle), false);
        return;
    }
    if (continuesTransaction) {
        const std::string home = m_sessions.at(pending.session).transactionHome;
        if (!sendTo(home, request, false)) {
            complete(request, Answer::failure(StatementError::Aborted, "home-lost", SessionPhase::Failed), false);
        }
        return;
    }
    bool isSubstitute = false;
    if (++pending.attempts <= maxForwardAttempts && now < pending.deadline) {
        for (const InstanceRecord &instance : m_homes.ranking(pending.route.service)) {
            const bool isSelf = instance.id == m_settings.instance;
            const std::string address = isSelf ? localHome : instance.address;
            const auto avoided = m_homeAvoidedUntil.find({pending.route.service, address});
            const bool isAvoided = avoided != m_homeAvoidedUntil.end() && now < avoided->second;
            const bool isLeavingOrUnreachable = !isSelf && (m_links.isUnreachable(address) || m_links.isLeaving(address));
            if (isAvoided || isLeavingOrUnreachable || pending.triedHomes.contains(address)) {
                isSubstitute = true;
                continue;
            }
            if (sendTo(address, request, isSubstitute)) {
                return;
            }
            isSubstitute = true;
        }
    }
    complete(request, Answer::failure(StatementError::Busy, "no-home retry-after-ms=200", SessionPhase::Idle), false);
}

bool EntryService::sendTo(const std::string &address, std::uint64_t request, bool isSubstitute)
{
    PendingRequest &pending = m_pendingRequests.at(request);
    Session &session = m_sessions.at(pending.session);
    const TimePoint now = EventLoop::now();
    link::v1::Frame frame;
    link::v1::StatementRequest &message = *frame.mutable_statement();
    const ForwardedStatement &forwarded = pending.forwarded;
    message.set_request(request);
    message.set_session(pending.session);
    message.set_workspace(session.workspace.text());
    message.set_transaction(forwarded.transaction);
    message.set_opens(forwarded.opensTransaction);
    message.set_read_only(forwarded.isReadOnly);
    message.set_service(pending.route.service.text());
    message.set_consistency(static_cast<std::uint32_t>(pending.route.consistency));
    message.set_rank(static_cast<std::uint32_t>(pending.route.rank));
    message.set_max_staleness_ms(pending.route.stalenessLimitMs);
    message.set_timeout_ms(decisions::millisecondsUntil(pending.deadline, now));
    message.set_objective_ms(pending.route.objectiveMs);
    message.set_id(forwarded.statement.id);
    message.set_kind(static_cast<std::uint32_t>(forwarded.statement.kind));
    message.set_name(forwarded.statement.name);
    message.set_arguments(forwarded.statement.arguments);
    message.set_definition(forwarded.definition);
    for (const auto &[name, value] : session.state.values()) {
        auto *sessionValue = message.add_values();
        sessionValue->set_name(name);
        sessionValue->set_value(value);
    }
    if (const auto &lastCommit = session.state.lastCommitPosition()) {
        message.mutable_own()->set_term(lastCommit->term);
        message.mutable_own()->set_number(lastCommit->position);
    }
    message.set_substitute(isSubstitute);
    if (forwarded.opensTransaction) {
        session.transactionHome = address;
    }
    if (address == localHome) {
        pending.home = {};
        m_homes.handleStatement("local", message, [this](const link::v1::StatementReply &reply) {
            m_loop.post([this, reply] {
                replyArrived({}, reply);
            });
        });
        return true;
    }
    const auto stream = m_links.send(address, frame);
    pending.home = {address, stream.value_or(0)};
    return stream.has_value();
}

void EntryService::replyArrived(const HomeStream &home, const link::v1::StatementReply &reply)
{
    const auto found = m_pendingRequests.find(reply.request());
    if (found == m_pendingRequests.end()) {
        return;
    }
    PendingRequest &pending = found->second;
    if (pending.home != home) {
        // It was sent to another home since. The answer to a read is as good as the other's; a transaction at the silent home is not used,
        // and rolled back there when its stream ends.
        const bool isPlainRead = pending.forwarded.transaction == 0 && pending.forwarded.isReadOnly;
        const Answer answer = answerOf(reply);
        if (isPlainRead && answer.isSuccess()) {
            complete(reply.request(), answer, false);
        }
        return;
    }
    const bool mayRedirect = reply.elsewhere() && (pending.forwarded.transaction == 0 || pending.forwarded.opensTransaction);
    if (mayRedirect) {
        m_homeAvoidedUntil[{pending.route.service, home.address}] = EventLoop::now() + redirectCooldown;
        pending.triedHomes.insert(home.address);
        forward(reply.request());
        return;
    }
    complete(reply.request(), answerOf(reply), reply.is_open());
}

void EntryService::complete(std::uint64_t request, const Answer &answer, bool isTransactionOpen)
{
    const PendingRequest pending = std::move(m_pendingRequests.at(request));
    m_pendingRequests.erase(request);
    const auto found = m_sessions.find(pending.session);
    logOutcome(pending, answer);
    if (found == m_sessions.end()) {
        if (isTransactionOpen) {
            endTransactionAt(pending.home.address, pending.session, pending.forwarded.transaction);
        }
        return;
    }
    Session &session = found->second;
    session.isBusy = false;
    session.channel->answer(session.state.handleAnswer(pending.forwarded, answer));
    processQueuedStatements(pending.session);
}

void EntryService::endTransactionAt(const std::string &home, SessionNumber session, std::uint64_t transaction)
{
    link::v1::Frame frame;
    frame.mutable_transaction_end()->set_session(session);
    frame.mutable_transaction_end()->set_transaction(transaction);
    if (home == localHome) {
        m_homes.endTransaction("local", frame.transaction_end());
    } else if (m_links.isEstablished(home)) {
        m_links.send(home, frame);
    }
}

void EntryService::sessionClosed(SessionNumber number)
{
    const auto found = m_sessions.find(number);
    if (found == m_sessions.end()) {
        return;
    }
    const std::uint64_t startedTransaction = found->second.state.startedTransaction();
    const bool isBusy = found->second.isBusy;
    const std::string home = found->second.transactionHome;
    m_sessions.erase(found);
    if (startedTransaction != 0 && !isBusy) {
        endTransactionAt(home, number, startedTransaction);
    }
}

void EntryService::retryOrFail(std::uint64_t request, bool wasUnsent)
{
    PendingRequest &pending = m_pendingRequests.at(request);
    const bool isCommit = pending.forwarded.statement.kind == StatementKind::Commit;
    const bool continuesTransaction = pending.forwarded.transaction != 0 && !pending.forwarded.opensTransaction;
    if (!m_sessions.contains(pending.session)) {
        m_pendingRequests.erase(request);
        return;
    }
    if (isRepeatable(pending) || (wasUnsent && !continuesTransaction)) {
        pending.triedHomes.insert(pending.home.address);
        forward(request);
    } else if (wasUnsent || (pending.forwarded.transaction != 0 && !isCommit) || pending.forwarded.isReadOnly) {
        complete(request, Answer::failure(StatementError::Aborted, "home-lost", SessionPhase::Failed), false);
    } else {
        complete(request, Answer::failure(StatementError::InDoubt, "home-lost", SessionPhase::Idle), false);
    }
}

bool EntryService::isRepeatable(const PendingRequest &pending)
{
    const bool isCommit = pending.forwarded.statement.kind == StatementKind::Commit;
    const bool continuesTransaction = pending.forwarded.transaction != 0 && !pending.forwarded.opensTransaction;
    if (continuesTransaction) {
        return false;
    }
    // The first statement of a transaction may be repeated: without a commit, its effects are rolled back.
    return pending.forwarded.opensTransaction ? !isCommit || pending.forwarded.isReadOnly : pending.forwarded.isReadOnly && !isCommit;
}

void EntryService::linkSilent(const HomeStream &home)
{
    std::vector<std::uint64_t> repeatable;
    for (const auto &[request, pending] : m_pendingRequests) {
        if (pending.home == home && isRepeatable(pending)) {
            repeatable.push_back(request);
        }
    }
    for (const std::uint64_t request : repeatable) {
        if (m_pendingRequests.contains(request)) {
            retryOrFail(request, false);
        }
    }
}

void EntryService::linkLost(const HomeStream &home, const std::deque<link::v1::Frame> &unsent)
{
    std::set<std::uint64_t> unsentRequests;
    for (const link::v1::Frame &frame : unsent) {
        if (frame.has_statement()) {
            unsentRequests.insert(frame.statement().request());
        }
    }
    std::vector<std::uint64_t> lostRequests;
    for (const auto &[request, pending] : m_pendingRequests) {
        if (pending.home == home) {
            lostRequests.push_back(request);
        }
    }
    for (const std::uint64_t request : lostRequests) {
        if (m_pendingRequests.contains(request)) {
            retryOrFail(request, unsentRequests.contains(request));
        }
    }
}

void EntryService::tick()
{
    const TimePoint now = EventLoop::now();
    std::vector<std::uint64_t> overdue;
    for (const auto &[request, pending] : m_pendingRequests) {
        if (now >= pending.deadline + replyMargin) {
            overdue.push_back(request);
        }
    }
    for (const std::uint64_t request : overdue) {
        if (m_pendingRequests.contains(request)) {
            const StatementError error = mayHaveWritten(m_pendingRequests.at(request)) ? StatementError::InDoubt : StatementError::TimedOut;
            complete(request, Answer::failure(error, "home-silent", SessionPhase::Idle), false);
        }
    }
}

bool EntryService::mayHaveWritten(const PendingRequest &pending)
{
    const bool isCommit = pending.forwarded.statement.kind == StatementKind::Commit;
    return pending.forwarded.transaction == 0 ? !pending.forwarded.isReadOnly : isCommit;
}

void EntryService::endPendingRequests()
{
    m_isEnding = true;
    std::vector<std::uint64_t> requests;
    for (const auto &[request, pending] : m_pendingRequests) {
        requests.push_back(request);
    }
    for (const std::uint64_t request : requests) {
        const StatementError error = mayHaveWritten(m_pendingRequests.at(request)) ? StatementError::InDoubt : StatementError::Aborted;
        complete(request, Answer::failure(error, "instance-stops", SessionPhase::Idle), false);
    }
}

void EntryService::closeIdleSessions()
{
    std::vector<SessionNumber> idleSessions;
    for (const auto &[number, session] : m_sessions) {
        const bool isIdle = !session.isBusy && session.queuedStatements.empty() && session.state.phase() == SessionPhase::Idle;
        if (isIdle && !session.channel->hasUnreadInput()) {
            idleSessions.push_back(number);
        }
    }
    for (const SessionNumber number : idleSessions) {
        m_sessions.at(number).channel->close();
        sessionClosed(number);
    }
}

bool EntryService::isQuiet() const
{
    return m_pendingRequests.empty() && m_sessions.empty();
}

void EntryService::logOutcome(const PendingRequest &pending, const Answer &answer)
{
    const TimePoint now = EventLoop::now();
    m_metrics.record(std::string("statement_") + consistencyName(pending.route.consistency), now - pending.arrivedAt);
    m_metrics.count(std::string("statements_") + std::string(statementErrorName(answer.error)));
    if (now - m_logWindowStart >= 1s) {
        if (m_omittedSuccesses > 0) {
            LogEvent("statements-not-logged").with("count", m_omittedSuccesses);
        }
        m_logWindowStart = now;
        m_loggedSuccesses = 0;
        m_omittedSuccesses = 0;
    }
    if (answer.isSuccess() && m_loggedSuccesses >= m_settings.logLinesPerSecond / successLinesDivisor) {
        ++m_omittedSuccesses;
        return;
    }
    m_loggedSuccesses += answer.isSuccess() ? 1 : 0;
    LogEvent(answer.isSuccess() ? "statement-answered" : "statement-failed", answer.isSuccess() ? LogLevel::Info : LogLevel::Warning)
        .with("request", pending.forwarded.statement.id)
        .with("session", pending.session)
        .with("kind", statementKindName(pending.forwarded.statement.kind))
        .with("transaction", pending.forwarded.transaction)
        .with("database", pending.route.database)
        .with("service", pending.route.service)
        .with("route", consistencyName(pending.route.consistency))
        .with("version", m_directory.configuration()->version)
        .with("home", pending.home.address.empty() ? "self" : pending.home.address)
        .with("attempts", pending.attempts)
        .with("error", answer.error)
        .with("reason", answer.errorText)
        .with("ms", decisions::millisecondsUntil(now, pending.arrivedAt));
}

} // namespace rattanbeam::sessions::internal
