#include "rattanbeam/sessions/internal/directory.h"

#include "rattanbeam/kernel/logevent.h"

/// What instances learn of each other's directories from pongs.
namespace rattanbeam::sessions::internal
{

using kernel::LogEvent;
using namespace std::chrono_literals;

namespace
{

constexpr decisions::Duration peerLookPause = 1500ms;
constexpr decisions::Duration askPause = 400ms; // between requests for what peers know
constexpr decisions::Duration disagreementLimit = 1000ms; // before a farther peer's difference counts

} // namespace

void Directory::describe(link::v1::Pong &pong) const
{
    if (!isReady()) {
        return;
    }
    pong.set_configuration_version(m_configuration->version);
    pong.set_members_digest(m_members.digest);
    pong.set_instances_digest(m_instances.digest);
    pong.set_terms_digest(m_terms.digest);
    pong.set_follows_store(m_isFollowing && m_storeConfirmedAt != decisions::distantPast);
    pong.set_store_age_ms(decisions::millisecondsUntil(EventLoop::now(), m_storeConfirmedAt));
}

void Directory::peerKnows(const PeerKnowledge &peer)
{
    if (peer.configurationVersion == 0) {
        return; // it knows nothing yet, or only said that it leaves
    }
    if (peer.confirmedAt) {
        m_trust.recordConfirmation(peer.address, *peer.confirmedAt);
    } else {
        m_trust.removePeer(peer.address);
    }
    updateFollowing();
    if (!isReady()) {
        return;
    }
    if (m_isFollowing) {
        lookAgain(peer);
    }
    if (!m_isFollowing || !m_isStoreReachable) {
        takeFrom(peer);
    }
}

/// A peer knows another configuration or other members: this instance's own watch may have gone silent.
void Directory::lookAgain(const PeerKnowledge &peer)
{
    const TimePoint now = EventLoop::now();
    const bool isBehind = peer.configurationVersion > m_configuration->version;
    // A difference that lasts over two looks is more than an event on its way.
    const bool isDifferent = peer.membersDigest != m_members.digest && peer.membersDigest == m_peerDigest;
    m_peerDigest = peer.membersDigest;
    if ((!isBehind && !isDifferent) || now - m_peerLookAt < peerLookPause) {
        return;
    }
    m_peerLookAt = now;
    LogEvent("behind-a-peer").with("version", m_configuration->version).with("peer_version", peer.configurationVersion);
    for (Followed *followed : {&m_configurations, &m_members}) {
        if (followed->isWatching && (isBehind || followed == &m_members)) {
            watch(*followed);
        }
    }
}

/// Asks the peer for the parts in which it differs.
void Directory::takeFrom(const PeerKnowledge &peer)
{
    const TimePoint now = EventLoop::now();
    link::v1::SnapshotRequest request;
    request.set_configuration(peer.configurationVersion > m_configuration->version);
    request.set_members(peer.membersDigest != m_members.digest);
    request.set_instances(peer.instancesDigest != m_instances.digest);
    request.set_terms(peer.termsDigest != m_terms.digest);
    const bool isDifferent = request.members() || request.instances() || request.terms();
    if (!isDifferent) {
        m_agreedAt = now;
    }
    const std::uint64_t digests = peer.membersDigest ^ (peer.instancesDigest * 3) ^ (peer.termsDigest * 5);
    std::uint64_t &asked = m_askedDigests[peer.address];
    // A peer that was asked already and still differs knows less.
    const bool isUseful = isDifferent && asked != digests && (peer.isNear || now - m_agreedAt > disagreementLimit);
    if (!request.configuration() && (!isUseful || now - m_askedAt < askPause)) {
        return;
    }
    if (isUseful) {
        asked = digests;
        m_askedAt = now;
    } else {
        request.clear_members();
        request.clear_instances();
        request.clear_terms();
    }
    m_askForSnapshot(peer.address, request);
}

} // namespace rattanbeam::sessions::internal
