// rattanbeam-measure: figures that need faults or a direct comparison with a backend server.
//
//   rattanbeam-measure gap KIND COUNT      gaps in writes over COUNT failovers by kill, freeze, cut or leave
//   rattanbeam-measure overhead            added latency, and statements a second of one core
//   rattanbeam-measure sizes               bytes of the messages between instances
//   rattanbeam-measure calls               the platform's calls, idle and under a change every second

#include "rattanbeam/systemtests/testfleet.h"

#include "backend.grpc.pb.h"
#include "caller.grpc.pb.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <grpcpp/grpcpp.h>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace
{

using namespace rattanbeam;
using namespace std::chrono_literals;
using systemtests::Relay;
using systemtests::TestFleet;
using systemtests::Writers;
using Clock = std::chrono::steady_clock;

struct GapResult {
    std::chrono::milliseconds gap{};
    std::string problems;
};

GapResult failOverOnce(const std::string &kind)
{
    TestFleet fleet;
    Writers writers(fleet, 4);
    writers.waitForAcknowledged(200, 20s);
    if (kind == "kill") {
        fleet.member("a").kill(SIGKILL);
    } else if (kind == "freeze") {
        fleet.member("a").kill(SIGSTOP);
    } else if (kind == "cut") {
        fleet.memberRelay("a").setMode(Relay::Mode::Silent);
    } else {
        backend::v1::FaultRequest leaving;
        leaving.set_leaving(true);
        leaving.set_apply_lag_ms(50);
        leaving.set_ship_lag_ms(1);
        fleet.setMemberFaults("a", leaving);
        std::this_thread::sleep_for(1s);
    }
    std::this_thread::sleep_for(100ms);
    writers.waitForAcknowledged(200, 30s);
    writers.stop();
    return {writers.longestGap(), systemtests::audit(fleet, writers)};
}

int measureGaps(const std::string &kind, int count)
{
    std::vector<std::chrono::milliseconds> gaps;
    std::string problems;
    for (int i = 0; i < count; ++i) {
        const GapResult result = failOverOnce(kind);
        gaps.push_back(result.gap);
        problems += result.problems;
    }
    std::sort(gaps.begin(), gaps.end());
    std::cout << "failover " << kind << ": " << count << " runs, gap in writes median " << gaps[gaps.size() / 2].count() << " ms, worst "
              << gaps.back().count() << " ms; promises broken: " << (problems.empty() ? "none" : problems) << std::endl;
    return problems.empty() ? 0 : 1;
}

struct Latencies {
    std::vector<double> microseconds;

    double quantile(double q)
    {
        std::sort(microseconds.begin(), microseconds.end());
        return microseconds[static_cast<std::size_t>(q * static_cast<double>(microseconds.size() - 1))];
    }
};

template<typename Operation>
Latencies timeEach(int count, Operation operation)
{
    Latencies latencies;
    for (int i = 0; i < count; ++i) {
        const auto start = Clock::now();
        operation();
        latencies.microseconds.push_back(std::chrono::duration<double, std::micro>(Clock::now() - start).count());
    }
    return latencies;
}

/// Processor time of a process so far, in seconds.
double processorSeconds(pid_t pid)
{
    std::ifstream stream("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string field;
    double ticks = 0;
    for (int i = 0; i < 13 && fields >> field; ++i) {
        ticks += i >= 11 ? std::stod(field) : 0;
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

long residentKilobytes(pid_t pid)
{
    std::ifstream stream("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(stream, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::stol(line.substr(6));
        }
    }
    return 0;
}

void report(const std::string &what, Latencies &latencies)
{
    std::cout << what << ": p50 " << static_cast<int>(latencies.quantile(0.5)) << " us, p99 " << static_cast<int>(latencies.quantile(0.99))
              << " us" << std::endl;
}

void measureLatency(TestFleet &fleet)
{
    constexpr int count = 2000;
    const auto channel = grpc::CreateChannel(fleet.member("a").address(), grpc::InsecureChannelCredentials());
    const auto member = backend::v1::Member::NewStub(channel);
    grpc::ClientContext streamContext;
    const auto stream = member->Connect(&streamContext);
    backend::v1::StatementFrame frame;
    frame.set_kind(backend::v1::SINGLE);
    frame.set_access(caller::v1::READ);
    frame.set_sql("SELECT 1");
    Latencies direct = timeEach(count, [&] {
        backend::v1::AnswerFrame answer;
        stream->Write(frame);
        stream->Read(&answer);
    });
    streamContext.TryCancel();
    const auto through = [&](const std::string &address, caller::v1::StatementRequest request) {
        const auto stub = caller::v1::Statements::NewStub(grpc::CreateChannel(address, grpc::InsecureChannelCredentials()));
        return timeEach(count, [&] {
            grpc::ClientContext context;
            caller::v1::StatementReply reply;
            stub->Execute(&context, request, &reply);
        });
    };
    const auto primary = fleet.executeUntilDone("a", fleet.write("DELETE FROM t WHERE id='none'"));
    caller::v1::StatementRequest read = fleet.read("SELECT 1");
    Latencies entry = through(fleet.instance("a").address(), read);
    Latencies writes = through(fleet.instance("a").address(), fleet.write("DELETE FROM t WHERE id='none'"));
    Latencies remoteWrites = through(fleet.instance("b").address(), fleet.write("DELETE FROM t WHERE id='none'"));
    report("read, direct to the member", direct);
    report("read through the proxy (any replica)", entry);
    report("write through the primary's home, with confirmation", writes);
    report("write through another domain's instance", remoteWrites);
    std::cout << "added to a read: p50 " << static_cast<int>(entry.quantile(0.5) - direct.quantile(0.5)) << " us, p99 "
              << static_cast<int>(entry.quantile(0.99) - direct.quantile(0.99)) << " us" << std::endl;
}

void measureThroughput(TestFleet &fleet)
{
    const std::vector<std::string> domains{"a", "b", "c"};
    const auto total = [&] {
        double seconds = 0;
        for (const std::string &domain : domains) {
            seconds += processorSeconds(fleet.instancePid(domain));
        }
        return seconds;
    };
    std::atomic<bool> stopping{false};
    std::atomic<std::uint64_t> done{0};
    std::vector<std::thread> threads;
    threads.reserve(12);
    const double before = total();
    const auto start = Clock::now();
    for (int i = 0; i < 12; ++i) {
        threads.emplace_back([&, i] {
            const std::string address = fleet.instance(domains[static_cast<std::size_t>(i) % 3]).address();
            const auto stub = caller::v1::Statements::NewStub(grpc::CreateChannel(address, grpc::InsecureChannelCredentials()));
            while (!stopping) {
                grpc::ClientContext context;
                caller::v1::StatementReply reply;
                stub->Execute(&context, fleet.read("SELECT 1"), &reply);
                done += reply.status().code() == 0 ? 1 : 0;
            }
        });
    }
    std::this_thread::sleep_for(5s);
    stopping = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    const double seconds = std::chrono::duration<double>(Clock::now() - start).count();
    const double used = total() - before;
    std::cout << "reads: " << static_cast<int>(static_cast<double>(done) / seconds) << " a second, "
              << static_cast<int>(static_cast<double>(done) / used) << " for each second of processor time of the instances" << std::endl;
}

void measureIdle(TestFleet &fleet)
{
    const double before = processorSeconds(fleet.instancePid("a"));
    std::this_thread::sleep_for(10s);
    const double used = processorSeconds(fleet.instancePid("a")) - before;
    std::cout << "idle instance: " << used * 10 << " % of a core, " << residentKilobytes(fleet.instancePid("a")) << " kB resident"
              << std::endl;
}

int measureOverhead()
{
    TestFleet fleet;
    measureIdle(fleet);
    measureLatency(fleet);
    measureThroughput(fleet);
    return 0;
}

struct CallCount {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t instanceLists = 0;
};

CallCount countCalls(TestFleet &fleet)
{
    const auto counters = fleet.setPlatformFaults({});
    return {counters.reads() + counters.lists(), counters.writes(), counters.watches(), counters.instance_lists()};
}

void reportCalls(const std::string &what, const CallCount &before, const CallCount &after)
{
    std::cout << what << " (3 instances in 3 domains, 10 s): reads " << after.reads - before.reads << ", writes "
              << after.writes - before.writes << ", watches started " << after.watches - before.watches << ", instance lists "
              << after.instanceLists - before.instanceLists << ", watches waiting " << after.watches << std::endl;
}

int measureSizes()
{
    peer::v1::InstanceReport instance;
    instance.set_name("entry-a1-0017");
    instance.set_address("10.12.13.14:7000");
    instance.set_domain("hu-central-a");
    instance.set_incarnation(1796378791147);
    instance.set_heartbeat(1'000'000);
    peer::v1::MemberReport member;
    member.set_database("orders-0017");
    member.mutable_status()->set_member("orders-0017-a");
    member.mutable_status()->set_term(12);
    member.mutable_status()->set_following(true);
    member.mutable_status()->mutable_held()->set_term(12);
    member.mutable_status()->mutable_held()->set_position(1'000'000);
    member.mutable_status()->set_applied(1'000'000);
    for (std::uint64_t term = 1; term <= 4; ++term) {
        auto *start = member.mutable_status()->add_terms();
        start->set_term(3 * term);
        start->set_start(200'000 * term);
    }
    member.set_age_ms(100);
    member.set_data_age_ms(400);
    peer::v1::Suspicion suspicion;
    suspicion.set_database("orders-0017");
    suspicion.set_term(12);
    suspicion.set_domain("hu-central-a");
    std::cout << "bytes of an instance's report " << instance.ByteSizeLong() << ", of a member's " << member.ByteSizeLong()
              << ", of its status " << member.status().ByteSizeLong() << ", of a suspicion " << suspicion.ByteSizeLong()
              << ", of a contract's text " << TestFleet::contractText(16).size() << std::endl;
    return 0;
}

int measureCalls()
{
    TestFleet fleet;
    std::this_thread::sleep_for(2s);
    const CallCount start = countCalls(fleet);
    std::this_thread::sleep_for(10s);
    const CallCount idle = countCalls(fleet);
    reportCalls("idle", start, idle);
    std::vector<std::chrono::milliseconds> spreads;
    for (int i = 0; i < 10; ++i) {
        const std::uint64_t version = fleet.readObject("contract/tiza").version();
        const auto written = fleet.writeObject("contract/tiza", TestFleet::contractText(5 + i), version);
        const auto at = Clock::now();
        for (const char *domain : {"a", "b", "c"}) {
            while (fleet.show(fleet.instance(domain).address(), "contract/tiza")->object().version() < written.object().version()) {
                std::this_thread::sleep_for(1ms);
            }
        }
        spreads.push_back(std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - at));
        std::this_thread::sleep_until(at + 1s);
    }
    reportCalls("a change every second (10 reads and 10 writes are the operator's)", idle, countCalls(fleet));
    std::sort(spreads.begin(), spreads.end());
    std::cout << "a change is in force on all instances after: median " << spreads[5].count() << " ms, worst " << spreads.back().count()
              << " ms" << std::endl;
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    if (words.size() == 3 && words[0] == "gap") {
        return measureGaps(words[1], std::stoi(words[2]));
    }
    if (words.size() == 1 && words[0] == "overhead") {
        return measureOverhead();
    }
    if (words.size() == 1 && words[0] == "sizes") {
        return measureSizes();
    }
    if (words.size() == 1 && words[0] == "calls") {
        return measureCalls();
    }
    std::cerr << "usage: rattanbeam-measure gap kill|freeze|cut|leave COUNT | overhead | calls | sizes\n";
    return 2;
}
