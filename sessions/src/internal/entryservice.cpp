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

const std::string localHome; // this instance itself
constexpr std::size_t mostWaiting = 32; // statements that a client sent ahead
constexpr std::uint32_t mostAttempts = 4;
constexpr decisions::Duration unfitFor = 1s;
constexpr decisions::Duration replySlack = 100ms; // beyond the home's own deadline
constexpr std::uint32_t successShare = 10; // of the log's lines that successes may take

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
    : m_loop(loop), m_settings(settings), m_directory(directory), m_links(links), m_homes(homes), m_metrics(metrics)
{}

SessionNumber EntryService::sessionOpened(const std::shared_ptr<ClientChannel> &channel, const decisions::DatabaseName &database)
{
    if (!m_directory.isReady()) {
        channel->refuse(StatementError::Busy, "starting retry-after-ms=500");
        return 0;
    }
    if (m_directory.configuration()->route(database) == nullptr) {
        m_metrics.count("sessions_refused");
        LogEvent("session-refused").with("database", database).with("version", m_directory.configuration()->version);
        channel->refuse(StatementError::UnknownDatabase, database.text());
        return 0;
    }
    const SessionNumber number = ++m_lastSession;
    Session &session = m_sessions[number];
    session.channel = channel;
    session.database = database;
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
    if (found->second.waiting.size() >= mostWaiting) {
        found->second.channel->close();
        sessionClosed(number);
        return;
    }
    found->second.waiting.push_back(statement);
    advance(number);
}

void EntryService::advance(SessionNumber number)
{
    auto found = m_sessions.find(number);
    while (found != m_sessions.end() && !found->second.isBusy && !found->second.waiting.empty()) {
        const Statement statement = found->second.waiting.front();
        found->second.waiting.pop_front();
        offer(number, statement);
        found = m_sessions.find(number);
    }
}

void EntryService::offer(SessionNumber number, const Statement &statement)
{
    Session &session = m_sessions.at(number);
    const bool opensTransaction = session.state.phase() == SessionPhase::Idle;
    if (opensTransaction) {
        // A change of the route applies from the next transaction on.
        const Route *route = m_directory.configuration()->route(session.database);
        if (route == nullptr) {
            session.channel->refuse(StatementError::UnknownDatabase, session.database.text());
            sessionClosed(number);
            return;
        }
        session.transactionRoute = *route;
    }
    const std::uint64_t started = session.state.startedTransaction();
    const auto next = session.state.handleStatement(statement);
    if (const auto *answer = std::get_if<Answer>(&next)) {
        if (started != 0 && session.state.startedTransaction() == 0) {
            endTransactionAt(session.transactionHome, number, started);
        }
        answerLocally(number, statement, *answer);
        return;
    }
    const std::uint64_t request = ++m_lastRequest;
    Pending &pending = m_pending[request];
    pending.session = number;
    pending.forwarded = std::get<ForwardedStatement>(next);
    pending.route = session.transactionRoute;
    pending.arrivedAt = EventLoop::now();
    pending.deadline = pending.arrivedAt + std::chrono::milliseconds(pending.route.timeoutMs);
    session.isBusy = true;
    forward(request);
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
    Pending &pending = m_pending.at(request);
    if (!m_sessions.contains(pending.session)) {
        m_pending.erase(request); // its client has left, and nothing ran
        return;
    }
    const TimePoint now = EventLoop::now();
    const bool isContinued = pending.forwarded.transaction != 0 && !pending.forwarded.opensTransaction;
    if (isContinued) {
        const std::string home = m_sessions.at(pending.session).transactionHome;
        if (!sendTo(home, request, false)) {
            complete(request, Answer::failure(StatementError::Aborted, "home-lost", SessionPhase::Failed), false);
        }
        return;
    }
    bool isSubstitute = false;
    if (++pending.attempts <= mostAttempts && now < pending.deadline) {
        for (const InstanceRecord &instance : m_homes.ranking(pending.route.service)) {
            const bool isSelf = instance.id == m_settings.instance;
            const std::string address = isSelf ? localHome : instance.address;
            const auto unfit = m_unfitUntil.find({pending.route.service, address});
            const bool isUnfit = unfit != m_unfitUntil.end() && now < unfit->second;
            const bool isAway = !isSelf && (m_links.isUnreachable(address) || m_links.isLeaving(address));
            if (isUnfit || isAway || pending.tried.contains(address)) {
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
    Pending &pending = m_pending.at(request);
    Session &session = m_sessions.at(pending.session);
    const TimePoint now = EventLoop::now();
    link::v1::Frame frame;
    link::v1::StatementRequest &message = *frame.mutable_statement();
    const ForwardedStatement &forwarded = pending.forwarded;
    message.set_request(request);
    message.set_session(pending.session);
    message.set_transaction(forwarded.transaction);
    message.set_opens(forwarded.opensTransaction);
    message.set_read_only(forwarded.isReadOnly);
    message.set_service(pending.route.service.text());
    message.set_consistency(static_cast<std::uint32_t>(pending.route.consistency));
    message.set_rank(static_cast<std::uint32_t>(pending.route.rank));
    message.set_max_staleness_ms(pending.route.maxStalenessMs);
    message.set_timeout_ms(decisions::millisecondsUntil(pending.deadline, now));
    message.set_objective_ms(pending.route.objectiveMs);
    message.set_id(forwarded.statement.id);
    message.set_kind(static_cast<std::uint32_t>(forwarded.statement.kind));
    message.set_name(forwarded.statement.name);
    message.set_arguments(forwarded.statement.arguments);
    message.set_definition(forwarded.definition);
    for (const auto &[name, value] : session.state.values()) {
        auto *each = message.add_values();
        each->set_name(name);
        each->set_value(value);
    }
    if (const auto &own = session.state.lastCommitPosition()) {
        message.mutable_own()->set_term(own->term);
        message.mutable_own()->set_number(own->position);
    }
    message.set_substitute(isSubstitute);
    pending.home = address;
    if (forwarded.opensTransaction) {
        session.transactionHome = address;
    }
    if (address == localHome) {
        m_homes.handle("local", message, [this](const link::v1::StatementReply &reply) {
            m_loop.post([this, reply] {
                replied(reply);
            });
        });
        return true;
    }
    return m_links.send(address, frame);
}

void EntryService::replied(const link::v1::StatementReply &reply)
{
    const auto found = m_pending.find(reply.request());
    if (found == m_pending.end()) {
        return;
    }
    Pending &pending = found->second;
    const bool mayMove = reply.elsewhere() && (pending.forwarded.transaction == 0 || pending.forwarded.opensTransaction);
    if (mayMove) {
        m_unfitUntil[{pending.route.service, pending.home}] = EventLoop::now() + unfitFor;
        pending.tried.insert(pending.home);
        forward(reply.request());
        return;
    }
    complete(reply.request(), answerOf(reply), reply.is_open());
}

void EntryService::complete(std::uint64_t request, const Answer &answer, bool isOpen)
{
    const Pending pending = m_pending.at(request);
    m_pending.erase(request);
    const auto found = m_sessions.find(pending.session);
    logOutcome(pending, answer);
    if (found == m_sessions.end()) {
        if (isOpen) {
            endTransactionAt(pending.home, pending.session, pending.forwarded.transaction);
        }
        return;
    }
    Session &session = found->second;
    session.isBusy = false;
    session.channel->answer(session.state.handleAnswer(pending.forwarded, answer));
    advance(pending.session);
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
    const std::uint64_t started = found->second.state.startedTransaction();
    const bool isBusy = found->second.isBusy;
    const std::string home = found->second.transactionHome;
    m_sessions.erase(found);
    if (started != 0 && !isBusy) {
        endTransactionAt(home, number, started);
    }
}

void EntryService::homeLost(std::uint64_t request, bool isUnsent)
{
    Pending &pending = m_pending.at(request);
    const bool isCommit = pending.forwarded.statement.kind == StatementKind::Commit;
    const bool isContinued = pending.forwarded.transaction != 0 && !pending.forwarded.opensTransaction;
    if (!m_sessions.contains(pending.session)) {
        m_pending.erase(request);
        return;
    }
    const bool mayRepeat = !isContinued && (isUnsent || (pending.forwarded.isReadOnly && !isCommit) || pending.forwarded.opensTransaction);
    if (mayRepeat && !(isCommit && !isUnsent && !pending.forwarded.isReadOnly)) {
        pending.tried.insert(pending.home);
        forward(request);
    } else if (isUnsent || (pending.forwarded.transaction != 0 && !isCommit) || pending.forwarded.isReadOnly) {
        complete(request, Answer::failure(StatementError::Aborted, "home-lost", SessionPhase::Failed), false);
    } else {
        complete(request, Answer::failure(StatementError::InDoubt, "home-lost", SessionPhase::Idle), false);
    }
}

void EntryService::linkLost(const std::string &address, const std::deque<link::v1::Frame> &unsent)
{
    std::set<std::uint64_t> unsentRequests;
    for (const link::v1::Frame &frame : unsent) {
        if (frame.has_statement()) {
            unsentRequests.insert(frame.statement().request());
        }
    }
    std::vector<std::uint64_t> lost;
    for (const auto &[request, pending] : m_pending) {
        if (pending.home == address) {
            lost.push_back(request);
        }
    }
    for (const std::uint64_t request : lost) {
        if (m_pending.contains(request)) {
            homeLost(request, unsentRequests.contains(request));
        }
    }
}

void EntryService::tick()
{
    const TimePoint now = EventLoop::now();
    std::vector<std::uint64_t> overdue;
    for (const auto &[request, pending] : m_pending) {
        if (now >= pending.deadline + replySlack) {
            overdue.push_back(request);
        }
    }
    for (const std::uint64_t request : overdue) {
        if (m_pending.contains(request)) {
            const Pending &pending = m_pending.at(request);
            const bool mayHaveWritten = pending.forwarded.transaction == 0 ? !pending.forwarded.isReadOnly
                                                                           : pending.forwarded.statement.kind == StatementKind::Commit;
            complete(
                request,
                Answer::failure(mayHaveWritten ? StatementError::InDoubt : StatementError::TimedOut, "home-silent", SessionPhase::Idle),
                false);
        }
    }
}

void EntryService::closeResting()
{
    std::vector<SessionNumber> resting;
    for (const auto &[number, session] : m_sessions) {
        if (!session.isBusy && session.waiting.empty() && session.state.phase() == SessionPhase::Idle) {
            resting.push_back(number);
        }
    }
    for (const SessionNumber number : resting) {
        m_sessions.at(number).channel->close();
        sessionClosed(number);
    }
}

bool EntryService::isQuiet() const
{
    return m_pending.empty() && m_sessions.empty();
}

void EntryService::logOutcome(const Pending &pending, const Answer &answer)
{
    const TimePoint now = EventLoop::now();
    m_metrics.record(std::string("statement_") + consistencyName(pending.route.consistency), now - pending.arrivedAt);
    m_metrics.count(std::string("statements_") + std::string(statementErrorName(answer.error)));
    if (now - m_logSecond >= 1s) {
        if (m_logOmitted > 0) {
            LogEvent("statements-not-logged").with("count", m_logOmitted);
        }
        m_logSecond = now;
        m_logLines = 0;
        m_logOmitted = 0;
    }
    if (answer.isSuccess() && m_logLines >= m_settings.logLinesPerSecond / successShare) {
        ++m_logOmitted;
        return;
    }
    m_logLines += answer.isSuccess() ? 1 : 0;
    LogEvent(answer.isSuccess() ? "statement-answered" : "statement-failed", answer.isSuccess() ? LogLevel::Info : LogLevel::Warning)
        .with("request", pending.forwarded.statement.id)
        .with("session", pending.session)
        .with("kind", statementKindName(pending.forwarded.statement.kind))
        .with("transaction", pending.forwarded.transaction)
        .with("database", pending.route.database)
        .with("service", pending.route.service)
        .with("route", consistencyName(pending.route.consistency))
        .with("version", m_directory.configuration()->version)
        .with("home", pending.home.empty() ? "self" : pending.home)
        .with("attempts", pending.attempts)
        .with("error", answer.error)
        .with("reason", answer.errorText)
        .with("ms", decisions::millisecondsUntil(now, pending.arrivedAt));
}

} // namespace rattanbeam::sessions::internal
