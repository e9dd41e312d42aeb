// rattanbeam-load: an open loop of callers, which measures service and looks for broken promises.

#include "rattanbeam/standins/loadreport.h"
#include "rattanbeam/standins/programoptions.h"
#include "rattanbeam/standins/workload.h"

#include "caller.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <fstream>
#include <iostream>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>
#include <unistd.h>
#include <vector>

namespace
{

using namespace rattanbeam;
using namespace std::chrono_literals;
using decisions::Rank;
using standins::LoadReport;
using Clock = std::chrono::steady_clock;

constexpr std::size_t maxOutstanding = 20'000;

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

struct LoadOptions {
    std::vector<std::string> targets;
    std::vector<std::string> databases;
    std::string customer;
    std::string credential;
    standins::Mix mix;
    standins::Flood flood;
    double perSecond = 100;
    std::chrono::seconds length{10};
    std::uint32_t timeoutMs = 3000;
    std::uint32_t sessions = 200;
    std::uint32_t seed = 1;
};

/// One caller: a session with its token, which has one request under way at a time.
struct Session {
    std::size_t number = 0;
    std::string database;
    std::string token;
    std::uint64_t written = 0;
    std::uint64_t acknowledged = 0;
    bool isBusy = false;
};

/// A request under way.
struct Call {
    grpc::ClientContext context;
    caller::v1::StatementRequest request;
    caller::v1::StatementReply reply;
    Session *session = nullptr;
    Rank rank = Rank::Batch;
    std::uint64_t mustSee = 0;
    std::uint64_t number = 0;
    Clock::time_point sentAt;
};

class Load
{
public:
    explicit Load(const LoadOptions &options)
        : m_options(options), m_run(std::to_string(getpid()) + '-' + std::to_string(options.seed)), m_random(options.seed)
    {
        for (const std::string &target : options.targets) {
            m_stubs.push_back(caller::v1::Statements::NewStub(grpc::CreateChannel(target, grpc::InsecureChannelCredentials())));
        }
        for (std::uint32_t i = 0; i < options.sessions; ++i) {
            Session &session = *m_sessions.emplace_back(std::make_unique<Session>());
            session.number = i;
            session.database = options.databases[i % options.databases.size()];
        }
    }

    bool createTables()
    {
        for (const std::string &database : m_options.databases) {
            for (const char *sql : {"CREATE TABLE IF NOT EXISTS orders(id TEXT, run TEXT, session INTEGER, number INTEGER)",
                                    "CREATE INDEX IF NOT EXISTS orders_by_session ON orders(run, session, number)"}) {
                const auto reply = runUntilDone(database, sql, true);
                if (!reply) {
                    return false;
                }
                // Every caller has seen the tables, so that no replica without them serves it.
                m_firstTokens[database] = reply->session_token();
                for (const auto &session : m_sessions) {
                    if (session->database == database) {
                        session->token = reply->session_token();
                    }
                }
            }
        }
        return true;
    }

    void run()
    {
        standins::ArrivalSource arrivals(m_options.mix, m_options.perSecond, m_options.flood, m_options.seed);
        const auto startedAt = Clock::now();
        auto nextAt = startedAt;
        while (nextAt - startedAt < m_options.length) {
            const auto arrival = arrivals.next();
            nextAt += arrival.pause;
            std::this_thread::sleep_until(nextAt);
            send(arrival.rank);
        }
        m_report.finish(startedAt, Clock::now());
        std::unique_lock lock(m_mutex);
        m_idle.wait_for(lock, 30s, [this] {
            return m_outstanding == 0;
        });
    }

    /// Compares what the databases hold with what was acknowledged.
    void audit()
    {
        std::uint64_t lost = 0;
        std::uint64_t doubled = 0;
        for (const std::string &database : m_options.databases) {
            const auto held = numbersHeld(database);
            for (const auto &session : m_sessions) {
                if (session->database != database) {
                    continue;
                }
                for (const std::uint64_t number : m_acknowledged[session->number]) {
                    lost += held.contains({session->number, number}) ? 0 : 1;
                }
            }
            doubled += held.size() - std::set(held.begin(), held.end()).size();
        }
        m_report.setAudit(lost, doubled);
    }

    const LoadReport &report() const
    {
        return m_report;
    }

private:
    using Held = std::multiset<std::pair<std::uint64_t, std::uint64_t>>;

    Session *idleSession()
    {
        const std::size_t first = m_random() % m_sessions.size();
        for (std::size_t i = 0; i < m_sessions.size(); ++i) {
            Session &session = *m_sessions[(first + i) % m_sessions.size()];
            if (!session.isBusy) {
                return &session;
            }
        }
        // All are busy: one more caller comes.
        Session &session = *m_sessions.emplace_back(std::make_unique<Session>());
        session.number = m_sessions.size() - 1;
        session.database = m_options.databases[session.number % m_options.databases.size()];
        session.token = m_firstTokens[session.database];
        return &session;
    }

    void send(Rank rank)
    {
        auto call = std::make_shared<Call>();
        std::size_t target = 0;
        {
            const std::lock_guard lock(m_mutex);
            if (m_outstanding >= maxOutstanding) {
                m_report.sent(rank);
                m_report.unanswered(rank);
                return;
            }
            ++m_outstanding;
            prepare(*call, rank);
            target = m_random() % m_stubs.size();
        }
        m_report.sent(rank);
        start(call, target);
    }

    void prepare(Call &call, Rank rank)
    {
        const standins::RankMix &mix = m_options.mix.ranks[rank];
        Session &session = *idleSession();
        session.isBusy = true;
        call.session = &session;
        call.rank = rank;
        call.mustSee = session.acknowledged;
        const std::string number = std::to_string(session.number);
        fill(call.request, session.database, mix.isWrite);
        call.request.set_rank(static_cast<caller::v1::Rank>(decisions::rankIndex(rank) + 1));
        call.request.set_max_age_ms(mix.maxAgeMs);
        call.request.set_session_token(session.token);
        if (mix.isWrite) {
            call.number = ++session.written;
            const std::string id = m_run + '-' + number + '-' + std::to_string(call.number);
            call.request.set_request_id(id);
            call.request.set_sql("INSERT INTO orders VALUES('" + id + "','" + m_run + "'," + number + "," + std::to_string(call.number)
                                 + ")");
        } else {
            call.request.set_sql("SELECT coalesce(max(number),0), work_ms(" + std::to_string(mix.workMs) + ") FROM orders WHERE run='"
                                 + m_run + "' AND session=" + number);
        }
        call.sentAt = Clock::now();
        call.context.set_deadline(std::chrono::system_clock::now() + std::chrono::milliseconds(m_options.timeoutMs) + 1s);
    }

    void fill(caller::v1::StatementRequest &request, const std::string &database, bool isWrite) const
    {
        request.set_customer(m_options.customer);
        request.set_credential(m_options.credential);
        request.set_database(database);
        request.set_rank(caller::v1::URGENT);
        request.set_access(isWrite ? caller::v1::WRITE : caller::v1::READ);
        request.set_timeout_ms(m_options.timeoutMs);
    }

    void start(const std::shared_ptr<Call> &call, std::size_t target)
    {
        m_stubs[target]->async()->Execute(&call->context, &call->request, &call->reply, [this, call](const grpc::Status &status) {
            ended(*call, status);
        });
    }

    void ended(Call &call, const grpc::Status &status)
    {
        const auto at = Clock::now();
        const bool isWrite = m_options.mix.ranks[call.rank].isWrite;
        const bool isOk = status.ok() && call.reply.status().code() == 0;
        if (!status.ok()) {
            m_report.unanswered(call.rank);
        } else {
            m_report.answered(call.rank, isWrite, call.reply, at - call.sentAt);
        }
        if (isOk && isWrite) {
            m_report.writeAcknowledged(call.session->database, at);
        }
        if (isOk && !isWrite && std::stoull(call.reply.rows(0).values(0)) < call.mustSee) {
            m_report.staleRead();
        }
        const std::lock_guard lock(m_mutex);
        Session &session = *call.session;
        if (status.ok() && !call.reply.session_token().empty()) {
            session.token = call.reply.session_token();
        }
        if (isOk && isWrite) {
            session.acknowledged = call.number;
            m_acknowledged[session.number].push_back(call.number);
        }
        session.isBusy = false;
        --m_outstanding;
        m_idle.notify_all();
    }

    /// For set-up and audit: tries all targets until the statement has run.
    std::optional<caller::v1::StatementReply> runUntilDone(const std::string &database, const std::string &sql, bool isWrite)
    {
        caller::v1::StatementRequest request;
        fill(request, database, isWrite);
        request.set_sql(sql);
        request.set_timeout_ms(5000);
        request.set_request_id(isWrite ? m_run + sql.substr(0, 40) + database : "");
        caller::v1::StatementReply reply;
        for (int tries = 0; tries < 100; ++tries) {
            grpc::ClientContext context;
            context.set_deadline(std::chrono::system_clock::now() + 6s);
            const auto status = m_stubs[static_cast<std::size_t>(tries) % m_stubs.size()]->Execute(&context, request, &reply);
            if (status.ok() && reply.status().code() == 0) {
                return reply;
            }
            std::this_thread::sleep_for(100ms);
        }
        std::cerr << database << ": " << reply.status().message() << '\n';
        return std::nullopt;
    }

    Held numbersHeld(const std::string &database)
    {
        constexpr int page = 5000;
        Held held;
        // A write that changes nothing gives a session that has seen all that was acknowledged.
        const auto barrier = runUntilDone(database, "DELETE FROM orders WHERE run='none'", true);
        std::string token = barrier ? barrier->session_token() : std::string();
        for (int offset = 0;; offset += page) {
            caller::v1::StatementRequest request;
            fill(request, database, false);
            request.set_session_token(token);
            request.set_timeout_ms(5000);
            request.set_sql("SELECT session, number FROM orders WHERE run='" + m_run + "' ORDER BY session, number LIMIT "
                            + std::to_string(page) + " OFFSET " + std::to_string(offset));
            caller::v1::StatementReply reply;
            for (int tries = 0; tries < 50; ++tries) {
                grpc::ClientContext context;
                if (m_stubs[static_cast<std::size_t>(tries) % m_stubs.size()]->Execute(&context, request, &reply).ok()
                    && reply.status().code() == 0) {
                    break;
                }
                std::this_thread::sleep_for(100ms);
            }
            for (const auto &row : reply.rows()) {
                held.emplace(std::stoull(row.values(0)), std::stoull(row.values(1)));
            }
            if (reply.rows_size() < page) {
                return held;
            }
        }
    }

    LoadOptions m_options;
    std::string m_run;
    std::vector<std::unique_ptr<caller::v1::Statements::Stub>> m_stubs;
    std::mutex m_mutex;
    std::condition_variable m_idle;
    std::mt19937 m_random;
    std::vector<std::unique_ptr<Session>> m_sessions;
    std::map<std::uint64_t, std::vector<std::uint64_t>> m_acknowledged;
    std::map<std::string, std::string> m_firstTokens;
    std::size_t m_outstanding = 0;
    LoadReport m_report;
};

} // namespace

int main(int argc, const char **argv)
{
    std::string targets;
    std::string databases = "orders";
    std::string mix = "order-desk";
    std::string floodRank = "batch";
    std::string jsonFile;
    int rate = 100;
    int floodRate = 0;
    int seconds = 10;
    int sessions = 200;
    int timeoutMs = 3000;
    int seed = 1;
    LoadOptions load;
    standins::ProgramOptions options("rattanbeam-load");
    options.text("targets", targets, "addresses of instances, separated by commas")
        .text("databases", databases, "databases, separated by commas")
        .text("customer", load.customer, "the customer")
        .text("credential", load.credential, "its credential")
        .text("mix", mix, "order-desk or rota")
        .text("flood", floodRank, "rank that floods")
        .text("json", jsonFile, "file for the report as JSON")
        .number("rate", rate, "requests a second")
        .number("flood-rate", floodRate, "further requests a second of the flooding rank")
        .number("seconds", seconds, "length of the run")
        .number("sessions", sessions, "callers")
        .number("timeout-ms", timeoutMs, "time for each request")
        .number("seed", seed, "seed of the arrivals");
    if (!options.parse(argc, argv)) {
        return standins::usageError;
    }
    const auto chosen = standins::mixByName(mix);
    const auto flooding = decisions::rankFromName(floodRank);
    if (!chosen || !flooding || targets.empty() || rate < 1 || floodRate < 0 || seconds < 1 || sessions < 1) {
        std::cerr << "rattanbeam-load: --targets is needed, --mix is order-desk or rota, --flood a rank, and numbers are positive\n";
        return standins::usageError;
    }
    load.targets = splitList(targets);
    load.databases = splitList(databases);
    load.mix = *chosen;
    load.flood = {*flooding, static_cast<double>(floodRate)};
    load.perSecond = rate;
    load.length = std::chrono::seconds(seconds);
    load.sessions = static_cast<std::uint32_t>(sessions);
    load.timeoutMs = static_cast<std::uint32_t>(timeoutMs);
    load.seed = static_cast<std::uint32_t>(seed);
    Load run(load);
    if (!run.createTables()) {
        return 1;
    }
    run.run();
    run.audit();
    std::cout << run.report().text();
    if (!jsonFile.empty()) {
        std::ofstream(jsonFile) << run.report().json() << '\n';
    }
    return run.report().keptPromises() ? 0 : 1;
}
