#include "rattanbeam/sessions/internal/homeservice.h"

#include "rattanbeam/kernel/logevent.h"

#include <algorithm>
#include <utility>

namespace rattanbeam::sessions::internal
{

using decisions::InstanceId;
using kernel::LogEvent;
using kernel::LogLevel;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds connectTimeout = 400ms;

HomeRequest homeRequest(const std::string &entry, const link::v1::StatementRequest &message, RequestNumber number, TimePoint now)
{
    HomeRequest request;
    request.number = number;
    if (message.transaction() != 0) {
        request.transaction = {entry, message.session(), message.transaction()};
    }
    request.workspace = WorkspaceName(message.workspace());
    request.forwarded.transaction = message.transaction();
    request.forwarded.opensTransaction = message.opens();
    request.forwarded.isReadOnly = message.read_only();
    request.forwarded.definition = message.definition();
    request.forwarded.statement.id = message.id();
    request.forwarded.statement.kind = static_cast<StatementKind>(message.kind());
    request.forwarded.statement.name = message.name();
    request.forwarded.statement.arguments = message.arguments();
    request.consistency = static_cast<Consistency>(std::min(message.consistency(), 2U));
    request.rank = static_cast<decisions::Rank>(std::min(message.rank(), 2U));
    request.stalenessLimit = std::chrono::milliseconds(message.max_staleness_ms());
    request.arrivedAt = now;
    request.deadline = now + std::chrono::milliseconds(message.timeout_ms());
    request.objectiveAt = now + std::chrono::milliseconds(message.objective_ms());
    SessionValues values;
    for (const auto &value : message.values()) {
        values[value.name()] = value.value();
    }
    request.values = std::make_shared<const SessionValues>(std::move(values));
    if (message.has_own()) {
        request.lastCommitPosition = decisions::LogPosition{message.own().term(), message.own().number()};
    }
    request.isSubstitute = message.substitute();
    return request;
}

link::v1::StatementReply statementReply(std::uint64_t request, const HomeReply &reply)
{
    link::v1::StatementReply message;
    message.set_request(request);
    for (const std::string &row : reply.answer.rows) {
        message.add_rows(row);
    }
    message.set_signature(reply.answer.signature);
    message.set_error(static_cast<std::uint32_t>(reply.answer.error));
    message.set_error_text(reply.answer.errorText);
    message.set_phase(static_cast<std::uint32_t>(reply.answer.phase));
    if (reply.answer.position) {
        message.mutable_position()->set_term(reply.answer.position->term);
        message.mutable_position()->set_number(reply.answer.position->position);
    }
    message.set_elsewhere(reply.isRedirect);
    message.set_is_open(reply.isTransactionOpen);
    return message;
}

HomeReply quotaRefusal(decisions::Duration retryAfter)
{
    const auto milliseconds = std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::milliseconds>(retryAfter).count());
    HomeReply refusal;
    refusal.answer
        = Answer::failure(StatementError::Busy, "quota-exceeded retry-after-ms=" + std::to_string(milliseconds), SessionPhase::Idle);
    return refusal;
}

} // namespace

/// One service's home, and the connections and calls that carry out its decisions.
class HomeService::ServiceHome : public HomeEffects
{
public:
    ServiceHome(HomeService &service, ServiceName name)
        : m_service(service), m_name(std::move(name)), m_home(m_name, service.m_self, GroupHomeLimits(), *this)
    {}

    GroupHome &home()
    {
        return m_home;
    }

    void openConnection(ConnectionNumber number, const MemberRecord &member, const WorkspaceName &workspace) override
    {
        MemberLinkEvents events;
        events.opened = [this, number] {
            m_home.connectionOpened(number, EventLoop::now());
        };
        events.failed = [this, number](ConnectFailure failure) {
            m_links.erase(number);
            m_home.connectionFailed(number, failure, EventLoop::now());
        };
        events.answered = [this, number](const Answer &answer, const std::optional<ReplicationStatus> &status) {
            m_home.answered(number, answer, status, EventLoop::now());
        };
        m_links[number] = m_service.m_ports.members->connect(member, workspace, connectTimeout, std::move(events));
    }
    void sendCommand(ConnectionNumber number, const MemberCommand &command) override
    {
        const auto found = m_links.find(number);
        if (found != m_links.end()) {
            found->second->send(command);
        }
    }
    void closeConnection(ConnectionNumber number) override
    {
        m_links.erase(number);
    }
    void reply(RequestNumber request, const HomeReply &reply) override
    {
        const auto found = m_service.m_replyCallbacks.find(request);
        if (found == m_service.m_replyCallbacks.end()) {
            return;
        }
        const ReplyCallback callback = std::move(found->second);
        m_service.m_replyCallbacks.erase(found);
        callback(statementReply(request, reply));
    }
    void writeTerm(const TermRecord &record, std::uint64_t expectedRevision) override
    {
        const TimePoint startedAt = EventLoop::now();
        const auto answered = [this, startedAt](StoreOutcome outcome, const std::optional<Record> &current) {
            const bool isRecordKnown = (outcome == StoreOutcome::Done || outcome == StoreOutcome::Conflict) && current;
            if (isRecordKnown && std::holds_alternative<TermRecord>(current->value)) {
                m_home.termSeen(std::get<TermRecord>(current->value), current->revision, startedAt, EventLoop::now());
            }
            if (outcome != StoreOutcome::Done) {
                LogEvent("term-write-failed", LogLevel::Warning).with("service", m_name).with("outcome", static_cast<int>(outcome));
                const bool isStoreUnavailable = outcome == StoreOutcome::Unavailable || outcome == StoreOutcome::Unknown;
                m_home.termWriteFailed(isStoreUnavailable ? TermWriteFailure::StoreUnavailable : TermWriteFailure::Superseded,
                                       EventLoop::now());
            }
        };
        m_service.m_ports.store->write(Collection::Terms, m_name.text(), record, expectedRevision, answered);
    }
    void readTerm() override
    {
        m_service.m_directory.readTerm(m_name);
    }
    void askPeers(const MemberId &member) override
    {
        m_service.askPeers(m_name, member);
    }
    void askToYield(const std::string &home, std::uint64_t generation) override
    {
        m_service.askToYield(m_name, home, generation);
    }
    void orderPromotion(const MemberId &member, std::uint64_t fencingToken) override
    {
        m_service.m_ports.promotions->order(
            m_name, member, m_service.m_settings.instance.text(), fencingToken, [this, member](PromotionResult result) {
                m_home.promotionAnswered(member, result, EventLoop::now());
            });
    }
    void report(const HomeLogEvent &event) override
    {
        LogEvent line(event.name, event.isWarning ? LogLevel::Warning : LogLevel::Info);
        for (const auto &[key, value] : event.fields) {
            line.with(key, value);
        }
    }

private:
    HomeService &m_service;
    ServiceName m_name;
    std::map<ConnectionNumber, std::unique_ptr<MemberLink>> m_links;
    GroupHome m_home;
};

HomeService::HomeService(EventLoop &loop,
                         const SessionSettings &settings,
                         std::uint64_t incarnation,
                         Directory &directory,
                         PeerLinks &links,
                         QuotaService &quotas,
                         Ports &ports)
    : m_loop(loop)
    , m_settings(settings)
    , m_self(settings.instance.text() + '/' + std::to_string(incarnation))
    , m_directory(directory)
    , m_links(links)
    , m_quotas(quotas)
    , m_ports(ports)
    , m_acceptedBudget(std::make_shared<decisions::session::StatementBudget>(settings.clients.maxAcceptedBytes))
{}

HomeService::~HomeService() = default;

HomeService::ServiceHome *HomeService::ensureServiceHome(const ServiceName &service)
{
    const auto found = m_serviceHomes.find(service);
    if (found != m_serviceHomes.end()) {
        return found->second.get();
    }
    ServiceHome &serviceHome = *m_serviceHomes.emplace(service, std::make_unique<ServiceHome>(*this, service)).first->second;
    updateServiceHome(serviceHome);
    return &serviceHome;
}

GroupHome &HomeService::homeOf(const ServiceName &service)
{
    return ensureServiceHome(service)->home();
}

/// Plans again if the instances or the configuration have changed: in a large fleet a plan takes milliseconds.
void HomeService::planHomesAndRelays()
{
    const std::pair basis(m_directory.instancesDigest(), m_directory.configuration()->version);
    if (std::exchange(m_planBasis, basis) == basis) {
        return;
    }
    const auto instances = m_directory.instances();
    std::vector<ServiceName> services;
    for (const ServiceLimits &limits : m_directory.configuration()->services) {
        services.push_back(limits.service);
    }
    for (const Route &route : m_directory.configuration()->routes) {
        services.push_back(route.service);
    }
    m_rankings = decisions::session::planHomes(services, instances);
    m_relays = decisions::session::planRelays(m_rankings, instances);
}

const HomeRanking &HomeService::ranking(const ServiceName &service) const
{
    static const HomeRanking none;
    const auto found = m_rankings.find(service);
    return found == m_rankings.end() ? none : found->second;
}

bool HomeService::isFirstHome(const ServiceName &service) const
{
    const HomeRanking &rankedInstances = ranking(service);
    return !m_isRedirecting && !rankedInstances.empty() && rankedInstances.front().id == m_settings.instance;
}

bool HomeService::isRelay() const
{
    return std::any_of(m_relays.begin(), m_relays.end(), [&](const InstanceRecord &relay) {
        return relay.id == m_settings.instance;
    });
}

void HomeService::updateServiceHome(ServiceHome &serviceHome)
{
    const TimePoint now = EventLoop::now();
    for (const auto &[name, home] : m_serviceHomes) {
        if (home.get() != &serviceHome) {
            continue;
        }
        GroupHomeLimits limits;
        limits.isPaceEnabled = m_settings.isPaceEnabled;
        if (m_directory.configuration()) {
            limits.maxConnections = m_directory.configuration()->maxConnections(name);
            limits.reservedConnections = std::max(3U, limits.maxConnections / 4);
            limits.synchronousReplicas = m_directory.configuration()->limitsOf(name).synchronousReplicas;
            limits.transactionIdleTimeout = std::chrono::milliseconds(m_directory.configuration()->transactionIdleMs);
        }
        serviceHome.home().setLimits(limits);
        serviceHome.home().setFirstHome(isFirstHome(name));
        serviceHome.home().storeEpochChanged(m_directory.storeEpoch(), m_directory.storeEpochSeenAt(), now);
        serviceHome.home().membersChanged(m_directory.members(), now);
        serviceHome.home().memberListConfirmed(m_directory.membersConfirmedAt());
        if (m_directory.areTermsLoaded()) {
            const auto [term, revision] = m_directory.term(name);
            serviceHome.home().termSeen(term, revision, decisions::distantPast, now);
        }
    }
}

bool HomeService::redirect(const link::v1::StatementRequest &message, const ReplyCallback &callback) const
{
    const bool continuesTransaction = message.transaction() != 0 && !message.opens();
    if (!m_isRedirecting || continuesTransaction) {
        return false;
    }
    HomeReply refusal;
    refusal.answer = Answer::failure(StatementError::Busy, "home-away", SessionPhase::Idle);
    refusal.isRedirect = true;
    callback(statementReply(message.request(), refusal));
    return true;
}

void HomeService::handleStatement(const std::string &entry, const link::v1::StatementRequest &message, ReplyCallback callback)
{
    if (redirect(message, callback)) {
        return;
    }
    const std::size_t bytes = message.ByteSizeLong();
    if (!m_acceptedBudget->tryAdd(bytes)) {
        refuseForMemory(entry, message, callback);
        return;
    }
    // Released with the callback, whether the statement is answered, refused or dropped with its entry.
    const std::shared_ptr<const void> heldBytes(nullptr, [budget = m_acceptedBudget, bytes](const void *) {
        budget->release(bytes);
    });
    callback = [heldBytes, answer = std::move(callback)](const link::v1::StatementReply &reply) {
        answer(reply);
    };
    const TimePoint now = EventLoop::now();
    const WorkspaceName workspace(message.workspace());
    const bool isOperation = message.transaction() == 0 || message.opens();
    if (!isOperation || !m_quotas.isLimited(workspace)) {
        runStatement(entry, message, now, std::move(callback));
        return;
    }
    const QuotaService::Decision decision = m_quotas.request(workspace, now + std::chrono::milliseconds(message.timeout_ms()));
    if (decision.verdict == decisions::session::QuotaVerdict::Admitted) {
        runStatement(entry, message, now, std::move(callback));
        return;
    }
    if (decision.verdict == decisions::session::QuotaVerdict::Refused) {
        callback(statementReply(message.request(), quotaRefusal(decision.retryAfter)));
        return;
    }
    m_quotas.whenDecided(decision.operation,
                         entry,
                         [this, entry, message, now, callback = std::move(callback)](bool isAdmitted, decisions::Duration retryAfter) {
                             if (!isAdmitted) {
                                 callback(statementReply(message.request(), quotaRefusal(retryAfter)));
                             } else if (!redirect(message, callback)) {
                                 runStatement(entry, message, now, callback);
                             }
                         });
}

void HomeService::runStatement(const std::string &entry,
                               const link::v1::StatementRequest &message,
                               TimePoint arrivedAt,
                               ReplyCallback callback)
{
    const TimePoint now = EventLoop::now();
    const RequestNumber number = ++m_lastRequestNumber;
    const std::uint64_t entryRequest = message.request();
    m_replyCallbacks[number] = [entryRequest, callback = std::move(callback)](const link::v1::StatementReply &reply) {
        link::v1::StatementReply renumbered = reply;
        renumbered.set_request(entryRequest);
        callback(renumbered);
    };
    GroupHome &home = ensureServiceHome(ServiceName(message.service()))->home();
    const bool wasQuiet = home.isQuiet();
    home.request(homeRequest(entry, message, number, arrivedAt), now);
    if (wasQuiet) {
        home.tick(now); // opens connections at once instead of at the next tick, which may be far away while this instance was idle
    }
}

void HomeService::refuseForMemory(const std::string &entry, const link::v1::StatementRequest &message, const ReplyCallback &callback)
{
    ++m_refusedForMemory;
    const bool isInTransaction = message.transaction() != 0;
    if (isInTransaction && !message.opens()) {
        link::v1::TransactionEnd end;
        end.set_session(message.session());
        end.set_transaction(message.transaction());
        endTransaction(entry, end);
    }
    LogEvent("request-refused")
        .with("request", message.id())
        .with("service", message.service())
        .with("error", isInTransaction ? StatementError::Aborted : StatementError::Busy)
        .with("reason", "home-memory");
    HomeReply refusal;
    refusal.answer = Answer::failure(
        isInTransaction ? StatementError::Aborted : StatementError::Busy, "home-memory retry-after-ms=500", SessionPhase::Idle);
    callback(statementReply(message.request(), refusal));
}

void HomeService::endTransaction(const std::string &entry, const link::v1::TransactionEnd &end)
{
    const TimePoint now = EventLoop::now();
    for (auto &[name, serviceHome] : m_serviceHomes) {
        serviceHome->home().endTransaction({entry, end.session(), end.transaction()}, now);
    }
}

void HomeService::entryLost(const std::string &entry)
{
    m_quotas.entryLost(entry);
    for (auto &[name, serviceHome] : m_serviceHomes) {
        serviceHome->home().entryLost(entry, EventLoop::now());
    }
}

link::v1::FenceReply HomeService::yieldLease(const link::v1::FenceRequest &request)
{
    const auto found = m_serviceHomes.find(ServiceName(request.service()));
    const bool isYielded = found == m_serviceHomes.end() || found->second->home().yieldLease(request.generation(), EventLoop::now());
    LogEvent(isYielded ? "lease-yielded" : "lease-kept").with("service", request.service()).with("generation", request.generation());
    link::v1::FenceReply reply;
    reply.set_number(request.number());
    if (isYielded) {
        reply.set_instance(m_self);
    }
    return reply;
}

void HomeService::fleetChanged()
{
    if (m_directory.configuration() && m_directory.isReady()) {
        planHomesAndRelays();
        for (const ServiceLimits &limits : m_directory.configuration()->services) {
            if (isFirstHome(limits.service)) {
                ensureServiceHome(limits.service);
            }
        }
    }
    for (auto &[name, serviceHome] : m_serviceHomes) {
        updateServiceHome(*serviceHome);
    }
}

void HomeService::termSeen(const ServiceName &service, const std::optional<TermRecord> &record, std::uint64_t revision, TimePoint startedAt)
{
    const TimePoint now = EventLoop::now();
    for (auto &[name, serviceHome] : m_serviceHomes) {
        if (service.isEmpty() || name == service) {
            serviceHome->home().termSeen(record, revision, startedAt, now);
        }
    }
}

void HomeService::storeEpochChanged(std::uint64_t epoch, TimePoint seenAt)
{
    const TimePoint now = EventLoop::now();
    for (auto &[name, serviceHome] : m_serviceHomes) {
        serviceHome->home().storeEpochChanged(epoch, seenAt, now);
    }
}

void HomeService::paused(decisions::Duration pause)
{
    for (auto &[name, serviceHome] : m_serviceHomes) {
        serviceHome->home().paused(pause);
    }
}

void HomeService::setRedirecting(bool isRedirecting)
{
    m_isRedirecting = isRedirecting;
    for (auto &[name, serviceHome] : m_serviceHomes) {
        serviceHome->home().setFirstHome(isFirstHome(name));
    }
}

void HomeService::tick()
{
    const TimePoint now = EventLoop::now();
    for (auto &[name, serviceHome] : m_serviceHomes) {
        if (!m_directory.isChangeReportPending()) {
            serviceHome->home().memberListConfirmed(m_directory.membersConfirmedAt());
        }
        serviceHome->home().tick(now);
    }
}

bool HomeService::isQuiet() const
{
    return m_quotas.waiting() == 0 && std::all_of(m_serviceHomes.begin(), m_serviceHomes.end(), [](const auto &item) {
               return item.second->home().isQuiet();
           });
}

bool HomeService::isIdle() const
{
    const bool hasFirstHome = std::any_of(m_serviceHomes.begin(), m_serviceHomes.end(), [this](const auto &item) {
        return isFirstHome(item.first);
    });
    return !hasFirstHome && isQuiet();
}

std::size_t HomeService::connections() const
{
    std::size_t total = 0;
    for (const auto &[name, serviceHome] : m_serviceHomes) {
        total += serviceHome->home().connections();
    }
    return total;
}

std::map<ServiceName, ConnectionCounters> HomeService::connectionCounters() const
{
    std::map<ServiceName, ConnectionCounters> counters;
    for (const auto &[name, serviceHome] : m_serviceHomes) {
        counters[name] = serviceHome->home().connectionCounters();
    }
    return counters;
}

std::size_t HomeService::openTransactions() const
{
    std::size_t total = 0;
    for (const auto &[name, serviceHome] : m_serviceHomes) {
        total += serviceHome->home().openTransactions();
    }
    return total;
}

std::map<ServiceName, std::map<MemberId, std::size_t>> HomeService::memberLimits() const
{
    std::map<ServiceName, std::map<MemberId, std::size_t>> limits;
    for (const auto &[name, serviceHome] : m_serviceHomes) {
        limits[name] = serviceHome->home().memberLimits();
    }
    return limits;
}

} // namespace rattanbeam::sessions::internal
