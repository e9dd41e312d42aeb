#include "rattanbeam/systemtests/testfleet.h"

#include "backend.grpc.pb.h"
#include "caller.grpc.pb.h"
#include "peer.grpc.pb.h"
#include "platform.grpc.pb.h"

#include <filesystem>
#include <fstream>
#include <grpcpp/grpcpp.h>
#include <sstream>
#include <stdexcept>
#include <unistd.h>

namespace rattanbeam::systemtests
{

using namespace std::chrono_literals;

namespace
{

const std::vector<std::string> domains{"a", "b", "c"};
const std::string customer = "tiza";
const std::string credential = "chalk";
constexpr std::uint32_t timeoutMs = 5000;

template<typename Service>
std::unique_ptr<typename Service::Stub> stubFor(const std::string &address)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetMaxReceiveMessageSize(-1);
    return Service::NewStub(grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
}

void setDeadline(grpc::ClientContext &context, std::chrono::milliseconds timeout)
{
    context.set_deadline(std::chrono::system_clock::now() + timeout);
}

std::string newDirectory()
{
    std::string pattern = std::filesystem::temp_directory_path() / "rattanbeam-system-XXXXXX";
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no folder for the test");
    }
    return pattern;
}

} // namespace

TestFleet::TestFleet()
    : m_directory(newDirectory())
    , m_platform(std::make_unique<Process>(RATTANBEAM_PLATFORM, std::vector<std::string>{}, m_directory + "/platform.log"))
{
    for (const std::string &domain : domains) {
        m_members[domain] = startMember(domain);
        m_memberRelays[domain] = std::make_unique<Relay>(m_members[domain]->address());
        m_platformRelays[domain] = std::make_unique<Relay>(m_platform->address());
    }
    createGroup();
    writeObject("contract/" + customer, contractText(16), 0);
    for (const std::string &domain : domains) {
        m_instances[domain] = startInstance("entry-" + domain, domain, true);
    }
    for (const std::string &domain : domains) {
        executeUntilDone(domain, write("CREATE TABLE IF NOT EXISTS t(id TEXT)", "create"));
    }
}

TestFleet::~TestFleet()
{
    m_instances.clear();
    m_members.clear();
    m_platform.reset();
    std::filesystem::remove_all(m_directory);
}

std::unique_ptr<Process> TestFleet::startMember(const std::string &domain)
{
    std::vector<std::string> arguments{
        "--name", "orders-" + domain, "--directory", m_directory + "/tables-" + domain, "--apply-lag-ms", "50", "--cost-us", "500"};
    if (domain == "a") {
        arguments.emplace_back("--primary");
    }
    return std::make_unique<Process>(RATTANBEAM_BACKEND, arguments, m_directory + "/member-" + domain + ".log");
}

void TestFleet::createGroup()
{
    std::string text = "[group]\ndatabase=orders\nslots=2\nconnections=16\nterm=1\nprimary=orders-a\n";
    for (const std::string &domain : domains) {
        text.append("[member orders-").append(domain).append("]\ndomain=").append(domain);
        text.append("\naddress=").append(m_memberRelays[domain]->address()).append("\n");
    }
    writeObject("group/orders", text, 0);
}

std::unique_ptr<Process> TestFleet::startInstance(const std::string &name, const std::string &domain, bool reachesPlatform)
{
    const std::string file = m_directory + "/" + name + ".ini";
    std::string peers;
    for (const auto &[other, instance] : m_instances) {
        peers += instance ? instance->address() + " " : "";
    }
    std::ofstream settings(file);
    settings << "[instance]\nname=" << name << "\ndomain=" << domain
             << "\nlisten=127.0.0.1:0\n[platform]\naddress=" << (reachesPlatform ? m_platformRelays.at(domain)->address() : "127.0.0.1:1")
             << "\n[tokens]\nkey=" << std::string(64, '7') << "\n[trace]\nfile=" << m_directory
             << "/spans.txt\nevery=10\n[limits]\ndrain=20s\n";
    if (!peers.empty()) {
        settings << "[peers]\naddresses=" << peers << "\n";
    }
    settings.close();
    return std::make_unique<Process>(RATTANBEAM_DAEMON, std::vector<std::string>{"--config", file}, m_directory + "/" + name + ".log");
}

caller::v1::StatementReply
TestFleet::execute(const std::string &address, const caller::v1::StatementRequest &request, const std::string &operation)
{
    const auto stub = stubFor<caller::v1::Statements>(address);
    grpc::ClientContext context;
    setDeadline(context, std::chrono::milliseconds(request.timeout_ms()) + 1s);
    caller::v1::StatementReply reply;
    const grpc::Status status = operation == "Begin"      ? stub->Begin(&context, request, &reply)
                                : operation == "Commit"   ? stub->Commit(&context, request, &reply)
                                : operation == "Rollback" ? stub->Rollback(&context, request, &reply)
                                                          : stub->Execute(&context, request, &reply);
    if (!status.ok()) {
        reply.mutable_status()->set_verdict(caller::v1::VERDICT_UNSPECIFIED);
        reply.mutable_status()->set_code(-1);
        reply.mutable_status()->set_message(status.error_message());
    }
    return reply;
}

caller::v1::StatementRequest TestFleet::read(const std::string &sql, const std::string &token) const
{
    caller::v1::StatementRequest request;
    request.set_customer(customer);
    request.set_credential(credential);
    request.set_database("orders");
    request.set_rank(caller::v1::INTERACTIVE);
    request.set_access(caller::v1::READ);
    request.set_sql(sql);
    request.set_session_token(token);
    request.set_timeout_ms(timeoutMs);
    return request;
}

caller::v1::StatementRequest TestFleet::write(const std::string &sql, const std::string &id) const
{
    caller::v1::StatementRequest request = read(sql);
    request.set_rank(caller::v1::URGENT);
    request.set_access(caller::v1::WRITE);
    request.set_request_id(id);
    return request;
}

caller::v1::StatementReply TestFleet::executeUntilDone(const std::string &domain, const caller::v1::StatementRequest &request)
{
    caller::v1::StatementReply reply;
    for (int tries = 0; tries < 200; ++tries) {
        reply = execute(instance(domain).address(), request);
        if (reply.status().verdict() == caller::v1::RAN && reply.status().code() == 0) {
            return reply;
        }
        std::this_thread::sleep_for(100ms);
    }
    throw std::runtime_error(request.sql() + ": " + reply.status().message() + "\n" + logs());
}

std::optional<peer::v1::ShowReply> TestFleet::show(const std::string &address, const std::string &key)
{
    const auto stub = stubFor<peer::v1::Operations>(address);
    grpc::ClientContext context;
    setDeadline(context, 2s);
    peer::v1::ShowRequest request;
    request.set_key(key);
    peer::v1::ShowReply reply;
    return stub->Show(&context, request, &reply).ok() ? std::optional(reply) : std::nullopt;
}

platform::v1::Counters TestFleet::setPlatformFaults(const platform::v1::FaultRequest &faults)
{
    const auto stub = stubFor<platform::v1::Faults>(m_platform->address());
    grpc::ClientContext context;
    platform::v1::Counters counters;
    stub->Set(&context, faults, &counters);
    return counters;
}

void TestFleet::setMemberFaults(const std::string &domain, const backend::v1::FaultRequest &faults)
{
    const auto stub = stubFor<backend::v1::Faults>(member(domain).address());
    grpc::ClientContext context;
    backend::v1::FaultReply reply;
    stub->Set(&context, faults, &reply);
}

backend::v1::MemberStatus TestFleet::memberStatus(const std::string &domain)
{
    const auto stub = stubFor<backend::v1::Member>(member(domain).address());
    grpc::ClientContext context;
    setDeadline(context, 2s);
    backend::v1::MemberStatus status;
    stub->GetStatus(&context, {}, &status);
    return status;
}

platform::v1::Object TestFleet::readObject(const std::string &key)
{
    const auto stub = stubFor<platform::v1::Objects>(m_platform->address());
    grpc::ClientContext context;
    platform::v1::ReadRequest request;
    request.set_key(key);
    platform::v1::Object object;
    stub->Read(&context, request, &object);
    return object;
}

platform::v1::WriteReply TestFleet::writeObject(const std::string &key, const std::string &text, std::uint64_t expectedVersion)
{
    const auto stub = stubFor<platform::v1::Objects>(m_platform->address());
    grpc::ClientContext context;
    platform::v1::WriteRequest request;
    request.set_key(key);
    request.set_text(text);
    request.set_expected_version(expectedVersion);
    platform::v1::WriteReply reply;
    stub->Write(&context, request, &reply);
    return reply;
}

int TestFleet::control(const std::string &platform, const std::vector<std::string> &arguments) const
{
    std::vector<std::string> all{"--platform", platform};
    all.insert(all.end(), arguments.begin(), arguments.end());
    return Process::run(RATTANBEAM_CTL, all, m_directory + "/control.log");
}

std::unique_ptr<Process> TestFleet::startPlatform(const std::string &name) const
{
    return std::make_unique<Process>(RATTANBEAM_PLATFORM, std::vector<std::string>{}, m_directory + "/" + name + ".log");
}

std::string TestFleet::contractText(int connections)
{
    return "[contract]\ncustomer=" + customer + "\ncredential-sha256=" + RATTANBEAM_CHALK_HASH + "\n[database orders]\nconnections="
           + std::to_string(connections) + "\nmax-age=3s\n[ranks]\nurgent=70\ninteractive=20\nbatch=10\n";
}

std::string TestFleet::logs() const
{
    std::string text;
    for (const auto &[domain, instance] : m_instances) {
        text += instance ? instance->log() : "";
    }
    return text;
}

Writers::Writers(TestFleet &fleet, int count) : m_fleet(fleet)
{
    for (int number = 0; number < count; ++number) {
        m_threads.emplace_back([this, number] {
            loop(number);
        });
    }
}

Writers::~Writers()
{
    stop();
}

void Writers::stop()
{
    m_stopping = true;
    for (std::thread &thread : m_threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

void Writers::loop(int number)
{
    std::vector<std::unique_ptr<caller::v1::Statements::Stub>> stubs;
    stubs.reserve(domains.size());
    for (const std::string &domain : domains) {
        stubs.push_back(stubFor<caller::v1::Statements>(m_fleet.instance(domain).address()));
    }
    for (int i = 0; !m_stopping; ++i) {
        const std::string id = "w" + std::to_string(number) + "-" + std::to_string(i);
        const auto request = m_fleet.write("INSERT INTO t VALUES('" + id + "')", id);
        grpc::ClientContext context;
        setDeadline(context, std::chrono::milliseconds(timeoutMs) + 1s);
        caller::v1::StatementReply reply;
        const bool isAnswered = stubs[static_cast<std::size_t>(i) % stubs.size()]->Execute(&context, request, &reply).ok();
        const std::lock_guard lock(m_mutex);
        if (!isAnswered) {
            ++m_unanswered;
        } else if (reply.status().code() == 0) {
            m_acknowledged.insert(id);
            const auto at = std::chrono::steady_clock::now();
            if (m_acknowledged.size() > 1) {
                m_longestGap = std::max(m_longestGap, at - m_lastAcknowledged);
            }
            m_lastAcknowledged = at;
        } else {
            ++m_failures[reply.status().message()];
            (reply.status().verdict() == caller::v1::NOT_RUN ? m_notRun : m_mayHaveRun).insert(id);
        }
    }
}

bool Writers::waitForAcknowledged(std::size_t more, std::chrono::seconds limit)
{
    const std::size_t before = acknowledged().size();
    const auto until = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < until) {
        if (acknowledged().size() >= before + more) {
            return true;
        }
        std::this_thread::sleep_for(20ms);
    }
    return false;
}

std::set<std::string> Writers::acknowledged() const
{
    const std::lock_guard lock(m_mutex);
    return m_acknowledged;
}

std::set<std::string> Writers::notRun() const
{
    const std::lock_guard lock(m_mutex);
    return m_notRun;
}

std::set<std::string> Writers::mayHaveRun() const
{
    const std::lock_guard lock(m_mutex);
    return m_mayHaveRun;
}

std::chrono::milliseconds Writers::longestGap() const
{
    const std::lock_guard lock(m_mutex);
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_longestGap);
}

std::string Writers::failures() const
{
    const std::lock_guard lock(m_mutex);
    std::string text;
    for (const auto &[message, count] : m_failures) {
        text += message + " x" + std::to_string(count) + "; ";
    }
    return text;
}

std::string audit(TestFleet &fleet, const Writers &writers)
{
    const auto barrier = fleet.executeUntilDone("b", fleet.write("DELETE FROM t WHERE id='none'"));
    const auto rows = fleet.executeUntilDone("b", fleet.read("SELECT id, count(*) FROM t GROUP BY id", barrier.session_token()));
    std::map<std::string, std::string> held;
    for (const auto &row : rows.rows()) {
        held[row.values(0)] = row.values(1);
    }
    std::string problems;
    for (const auto &[id, count] : held) {
        if (count != "1") {
            problems.append(id).append(" stands ").append(count).append(" times; ");
        }
    }
    for (const std::string &id : writers.acknowledged()) {
        problems += held.contains(id) ? "" : id + " was acknowledged and is missing; ";
    }
    for (const std::string &id : writers.notRun()) {
        problems += held.contains(id) ? id + " was said not to have run, and did; " : "";
    }
    return problems;
}

} // namespace rattanbeam::systemtests
