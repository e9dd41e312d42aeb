#include "rattanbeam/sessions/internal/homeservice.h"

#include "rattanbeam/kernel/logevent.h"

#include <algorithm>
#include <memory>

/// What homes ask other instances, and members of other domains.
namespace rattanbeam::sessions::internal
{

using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds probeTimeout = 300ms;
constexpr decisions::Duration inquiryTimeout = 400ms;
constexpr std::size_t peersAsked = 3;
constexpr std::size_t membersLookedAt = 3;

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
    tryMember(*found, reply);
}

void HomeService::tryMember(const MemberRecord &member, const std::function<void(bool)> &tried)
{
    const std::uint64_t number = ++m_lastInquiry;
    const auto end = [this, number, tried](bool isReachable) {
        m_probes.erase(number);
        tried(isReachable);
    };
    MemberLinkEvents events;
    events.opened = [end] {
        end(true);
    };
    events.failed = [end](ConnectFailure failure) {
        end(failure == ConnectFailure::Overloaded);
    };
    m_probes[number] = m_ports.members->connect(member, probeTimeout, std::move(events));
}

void HomeService::lookAtForeignMembers(const std::function<void(std::size_t, std::size_t)> &seen)
{
    struct Look {
        std::size_t asked = 0;
        std::size_t reachable = 0;
        std::size_t unreachable = 0;
    };
    const auto look = std::make_shared<Look>();
    std::vector<MemberRecord> foreign;
    for (const MemberRecord &member : m_directory.members()) {
        if (member.domain != m_settings.domain && foreign.size() < membersLookedAt) {
            foreign.push_back(member);
        }
    }
    look->asked = foreign.size();
    for (const MemberRecord &member : foreign) {
        tryMember(member, [look, seen](bool isReachable) {
            ++(isReachable ? look->reachable : look->unreachable);
            if (look->reachable + look->unreachable == look->asked) {
                seen(look->reachable, look->unreachable);
            }
        });
    }
}

void HomeService::askPeers(const ServiceName &service, const MemberId &member)
{
    const std::uint64_t number = ++m_lastInquiry;
    // Neighbours are cut off together, so only another domain's word tells a dead member from a cut.
    std::vector<InstanceRecord> peers = m_directory.instances();
    const auto foreign = std::stable_partition(peers.begin(), peers.end(), [&](const InstanceRecord &peer) {
        return peer.domain != m_settings.domain;
    });
    if (foreign != peers.begin()) {
        peers.erase(foreign, peers.end());
    }
    Inquiry inquiry;
    inquiry.service = service;
    inquiry.member = member;
    std::map<decisions::FailureDomain, int> asked;
    for (const InstanceRecord &peer : peers) {
        const bool isUseful = peer.id != m_settings.instance && !peer.isLeaving && asked[peer.domain] < 2 && inquiry.asked < peersAsked;
        link::v1::Frame frame;
        frame.mutable_probe()->set_number(number);
        frame.mutable_probe()->set_service(service.text());
        frame.mutable_probe()->set_member(member.text());
        if (isUseful && m_links.send(peer.address, frame)) {
            ++inquiry.asked;
            ++asked[peer.domain];
        }
    }
    const bool isAlone = m_directory.instances().size() <= 1;
    inquiry.unreachable = isAlone ? 1 : 0;
    m_inquiries[number] = inquiry;
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
    // One that reaches the member settles it; so do all that were asked.
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

void HomeService::askToYield(const ServiceName &service, const std::string &home, std::uint64_t generation)
{
    const std::string name = home.substr(0, home.rfind('/'));
    const auto &records = m_directory.instanceRecords();
    const auto found = records.find(name);
    if (found == records.end()) {
        return; // the lease lapses
    }
    const auto &instance = std::get<InstanceRecord>(found->second.value);
    if (home != name + '/' + std::to_string(instance.incarnation)) {
        m_loop.post([this, service, home, generation] {
            homeOf(service).leaseYielded(home, generation, EventLoop::now());
        });
        return;
    }
    const std::uint64_t number = ++m_lastInquiry;
    m_yieldRequests[number] = {service, home, generation};
    link::v1::Frame frame;
    frame.mutable_fence()->set_number(number);
    frame.mutable_fence()->set_service(service.text());
    frame.mutable_fence()->set_generation(generation);
    m_links.send(instance.address, frame);
}

void HomeService::fenceAnswered(const link::v1::FenceReply &reply)
{
    const auto found = m_yieldRequests.find(reply.number());
    if (found == m_yieldRequests.end()) {
        return;
    }
    const YieldRequest request = found->second;
    m_yieldRequests.erase(found);
    homeOf(request.service).leaseYielded(request.home, request.generation, EventLoop::now());
}

} // namespace rattanbeam::sessions::internal
