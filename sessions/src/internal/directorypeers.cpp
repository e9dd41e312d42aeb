#include "rattanbeam/sessions/internal/directory.h"

#include "rattanbeam/kernel/logevent.h"

/// Exchange of directory states between instances, in pongs.
namespace rattanbeam::sessions::internal
{

using kernel::LogEvent;
using namespace std::chrono_literals;

namespace
{

constexpr decisions::Duration minWatchRestartInterval = 1500ms; // between restarts because of peers' reports
constexpr decisions::Duration minSnapshotRequestInterval = 400ms; // between requests for records; configurations are requested at once
constexpr decisions::Duration crossDomainRequestDelay = 1000ms; // time without a matching peer before one of another domain is asked

} // namespace

void Directory::fillPong(link::v1::Pong &pong) const
{
    if (!isReady()) {
        return;
    }
    pong.set_store_epoch(m_storeEpoch);
    pong.set_store_epoch_age_ms(decisions::millisecondsUntil(EventLoop::now(), m_storeEpochSeenAt));
    pong.set_configuration_version(m_configuration->version);
    pong.set_members_digest(m_members.digest);
    pong.set_instances_digest(m_instances.digest);
    pong.set_terms_digest(m_terms.digest);
    if (m_members.confirmedAt != decisions::distantPast) {
        pong.set_members_age_ms(decisions::millisecondsUntil(EventLoop::now(), m_members.confirmedAt) + 1);
    }
    pong.set_follows_store(m_isWatchingStore && m_storeConfirmedAt != decisions::distantPast);
    pong.set_store_age_ms(decisions::millisecondsUntil(EventLoop::now(), m_storeConfirmedAt));
}

void Directory::peerReported(const PeerDirectoryState &peer)
{
    if (peer.configurationVersion == 0) {
        return; // its directory is still empty, or the pong only announced that it leaves
    }
    storeEpochSeen(peer.storeEpoch, peer.storeEpochSeenAt, "peer");
    if (peer.confirmedAt && peer.storeEpoch == m_storeEpoch) {
        m_relayTrust.recordConfirmation(peer.address, *peer.confirmedAt);
    } else {
        m_relayTrust.removePeer(peer.address);
    }
    updateStoreWatching();
    if (!isReady()) {
        return;
    }
    if (peer.membersConfirmedAt && peer.storeEpoch == m_storeEpoch && peer.membersDigest == m_members.digest) {
        m_members.confirmedAt = std::max(m_members.confirmedAt, *peer.membersConfirmedAt);
    }
    if (m_isWatchingStore) {
        restartWatchesIfBehind(peer);
    }
    if (!m_isWatchingStore || !m_isStoreReachable) {
        requestDifferences(peer);
    }
}

/// Restarts watches if the peer has a newer configuration or other members, since the connection of an own watch may have gone silent.
void Directory::restartWatchesIfBehind(const PeerDirectoryState &peer)
{
    const TimePoint now = EventLoop::now();
    const bool isBehind = peer.configurationVersion > m_configuration->version;
    // A difference in a single report may be an event that has not arrived yet; the same digest in two reports in a row is not.
    const bool isDifferent = peer.membersDigest != m_members.digest && peer.membersDigest == m_previousPeerMembersDigest;
    m_previousPeerMembersDigest = peer.membersDigest;
    if ((!isBehind && !isDifferent) || now - m_watchesRestartedAt < minWatchRestartInterval) {
        return;
    }
    m_watchesRestartedAt = now;
    LogEvent("behind-a-peer").with("version", m_configuration->version).with("peer_version", peer.configurationVersion);
    for (CollectionState *state : {&m_configurationCollection, &m_members}) {
        if (state->isWatching && (isBehind || state == &m_members)) {
            watch(*state);
        }
    }
}

/// Requests from the peer the parts of its directory that differ.
void Directory::requestDifferences(const PeerDirectoryState &peer)
{
    const TimePoint now = EventLoop::now();
    link::v1::SnapshotRequest request;
    request.set_configuration(peer.configurationVersion > m_configuration->version);
    const bool isOfThisEpoch = peer.storeEpoch == m_storeEpoch;
    request.set_members(isOfThisEpoch && peer.membersDigest != m_members.digest);
    request.set_instances(isOfThisEpoch && peer.instancesDigest != m_instances.digest);
    request.set_terms(isOfThisEpoch && peer.termsDigest != m_terms.digest);
    const bool isDifferent = request.members() || request.instances() || request.terms();
    if (!isDifferent) {
        m_digestsMatchedAt = now;
    }
    const std::uint64_t peerDigests = peer.membersDigest ^ (peer.instancesDigest * 3) ^ (peer.termsDigest * 5);
    std::uint64_t &requestedDigests = m_requestedDigests[peer.address];
    // A peer that still differs although its records were already requested has older ones.
    const bool isUseful
        = isDifferent && requestedDigests != peerDigests && (peer.isSameDomain || now - m_digestsMatchedAt > crossDomainRequestDelay);
    if (!request.configuration() && (!isUseful || now - m_snapshotRequestedAt < minSnapshotRequestInterval)) {
        return;
    }
    if (isUseful) {
        requestedDigests = peerDigests;
        m_snapshotRequestedAt = now;
    } else {
        request.clear_members();
        request.clear_instances();
        request.clear_terms();
    }
    m_requestSnapshot(peer.address, request);
}

} // namespace rattanbeam::sessions::internal
