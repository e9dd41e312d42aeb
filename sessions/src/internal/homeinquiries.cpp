#include "rattanbeam/sessions/internal/homeservice.h"

#include "rattanbeam/kernel/logevent.h"

#include <algorithm>
#include <memory>

/// Probes of members, and the requests that homes send to other instances.
namespace rattanbeam::sessions::internal
{

using kernel::LogEvent;
using kernel::LogLevel;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds probeTimeout = 300ms;
constexpr decisions::Duration inquiryTimeout = 400ms;
constexpr std::size_t maxAskedPeers = 3;
constexpr std::size_t maxProbedMembers = 3;

} // namespace

void HomeService::probe(const link::v1::ProbeRequest &request, const std::function<void(bool)> &reply)
{
    const auto members = m_directory.members();
    const auto found = std::find_if(members.begin(), members.end(), [&](const MemberRecord &member) {
        return member.id.text() == request.member();
    });
    if (found == members.end()) {
        reply(false);
        return;
    }
    probeMember(*found, reply);
}

void HomeService::probeMember(const MemberRecord &member, const std::function<void(bool)> &callback)
{
    const std::uint64_t number = ++m_lastInquiryNumber;
    const auto finish = [this, number, callback](bool isReachable) {
        m_probes.erase(number);
        callback(isReachable);
    };
    MemberLinkEvents events;
    events.opened = [finish] {
        finish(true);
    };
    events.failed = [finish](ConnectFailure failure) {
        finish(failure == ConnectFailure::Overloaded); // only a running member refuses so
    };
    m_probes[number] = m_ports.members->connect(member, WorkspaceName(), probeTimeout, std::move(events));
}

void HomeService::probeMembersInOtherDomains(const std::function<void(std::size_t, std::size_t)> &callback)
{
    struct ProbeCounts {
        std::size_t total = 0;
        std::size_t reachable = 0;
        std::size_t unreachable = 0;
    };
    const auto counts = std::make_shared<ProbeCounts>();
    std::vector<MemberRecord> probedMembers;
    for (const MemberRecord &member : m_directory.members()) {
        if (member.domain != m_settings.domain && probedMembers.size() < maxProbedMembers) {
            probedMembers.push_back(member);
        }
    }
    counts->total = probedMembers.size();
    for (const MemberRecord &member : probedMembers) {
        probeMember(member, [counts, callback](bool isReachable) {
            ++(isReachable ? counts->reachable : counts->unreachable);
            if (counts->reachable + counts->unreachable == counts->total) {
                callback(counts->reachable, counts->unreachable);
            }
        });
    }
}

void HomeService::askPeers(const ServiceName &service, const MemberId &member)
{
    const std::uint64_t number = ++m_lastInquiryNumber;
    // Instances of one domain are cut off together, so only one of another domain can tell a dead member from a network partition.
    std::vector<InstanceRecord> peers = m_directory.instances();
    const auto otherDomainsEnd = std::stable_partition(peers.begin(), peers.end(), [&](const InstanceRecord &peer) {
        return peer.domain != m_settings.domain;
    });
    if (otherDomainsEnd != peers.begin()) {
        peers.erase(otherDomainsEnd, peers.end());
    }
    Inquiry inquiry;
    inquiry.service = service;
    inquiry.member = member;
    std::map<decisions::FailureDomain, int> askedByDomain;
    for (const InstanceRecord &peer : peers) {
        const bool isEligible
            = peer.id != m_settings.instance && !peer.isLeaving && askedByDomain[peer.domain] < 2 && inquiry.asked < maxAskedPeers;
        link::v1::Frame frame;
        frame.mutable_probe()->set_number(number);
        frame.mutable_probe()->set_service(service.text());
        frame.mutable_probe()->set_member(member.text());
        if (isEligible && m_links.send(peer.address, frame)) {
            ++inquiry.asked;
            ++askedByDomain[peer.domain];
        }
    }
    // The only instance has nobody to ask, so that its own failure to reach the member decides.
    const bool isAlone = m_directory.instances().size() <= 1;
    inquiry.unreachable = isAlone ? 1 : 0;
    m_inquiries[number] = inquiry;
    // Without a peer to ask, the inquiry ends after a short delay, since no callback may run within this call.
    m_loop.after(inquiry.asked == 0 ? decisions::Duration(10ms) : inquiryTimeout, [this, number] {
        endInquiry(number);
    });
}

void HomeService::probeAnswered(const link::v1::ProbeReply &reply)
{
    const auto found = m_inquiries.find(reply.number());
    if (found == m_inquiries.end()) {
        return;
    }
    ++(reply.reachable() ? found->second.reachable : found->second.unreachable);
    // One peer that reaches the member decides the inquiry, and so do negative replies of all that were asked.
    if (reply.reachable() || found->second.unreachable >= found->second.asked) {
        endInquiry(reply.number());
    }
}

void HomeService::endInquiry(std::uint64_t number)
{
    const auto found = m_inquiries.find(number);
    if (found == m_inquiries.end()) {
        return;
    }
    const Inquiry inquiry = found->second;
    m_inquiries.erase(found);
    homeOf(inquiry.service).peersAnswered(inquiry.member, inquiry.reachable, inquiry.unreachable, EventLoop::now());
}

/// Asks the holder's instance even if the directory knows another process of it: the directory may be older than the term record that
/// lists the holder, and a clock that was set back makes the incarnation of a later process lower.
void HomeService::askToYield(const ServiceName &service, const std::string &home, std::uint64_t generation)
{
    const auto &records = m_directory.instanceRecords();
    const auto found = records.find(decisions::session::instanceNameOf(home));
    if (found == records.end()) {
        return; // not registered; its lease expires by itself
    }
    const auto &instance = std::get<InstanceRecord>(found->second.value);
    const std::uint64_t number = ++m_lastInquiryNumber;
    m_yieldRequests[number] = {service, home, generation};
    link::v1::Frame frame;
    frame.mutable_fence()->set_number(number);
    frame.mutable_fence()->set_service(service.text());
    frame.mutable_fence()->set_generation(generation);
    m_links.send(instance.address, frame);
}

/// The answering process was asked after the term record had listed the holder. If it belongs to the holder's instance, it is therefore the
/// holder, which has yielded, or was started after the holder had ended. An address may have been given to another instance, whose answer
/// shows nothing.
void HomeService::yieldAnswered(const link::v1::FenceReply &reply)
{
    const auto found = m_yieldRequests.find(reply.number());
    if (found == m_yieldRequests.end()) {
        return;
    }
    const YieldRequest request = found->second;
    m_yieldRequests.erase(found);
    const bool isHolderInstance = decisions::session::instanceNameOf(reply.instance()) == decisions::session::instanceNameOf(request.home);
    LogEvent("yield-answered", isHolderInstance ? LogLevel::Info : LogLevel::Warning)
        .with("service", request.service)
        .with("holder", request.home)
        .with("answered_by", reply.instance())
        .with("generation", request.generation);
    if (isHolderInstance) {
        homeOf(request.service).leaseYielded(request.home, request.generation, EventLoop::now());
    }
}

} // namespace rattanbeam::sessions::internal
