#include "rattanbeam/decisions/suspicion.h"

#include <algorithm>

namespace rattanbeam::decisions
{

void Suspicion::startTerm(Term term)
{
    if (term <= m_term) {
        return;
    }
    m_term = term;
    m_isSuspectedLocally = false;
    m_peerSuspicionExpiry.clear();
}

ProbeStep Suspicion::probeSucceeded()
{
    if (!m_isSuspectedLocally) {
        return ProbeStep::Nothing;
    }
    m_isSuspectedLocally = false;
    return ProbeStep::NotifyPeers;
}

ProbeStep Suspicion::probeFailed()
{
    return ProbeStep::ProbeOnNewConnection;
}

ProbeStep Suspicion::newConnectionProbeFailed()
{
    if (m_isSuspectedLocally) {
        return ProbeStep::Nothing;
    }
    m_isSuspectedLocally = true;
    return ProbeStep::NotifyPeers;
}

void Suspicion::setPeerSuspicion(const FailureDomain &domain, Term term, bool isSuspected, TimePoint expiry)
{
    if (term != m_term || !m_groupDomains.contains(domain)) {
        return;
    }
    if (isSuspected) {
        m_peerSuspicionExpiry[domain] = expiry;
    } else {
        m_peerSuspicionExpiry.erase(domain);
    }
}

bool Suspicion::hasQuorum(TimePoint now) const
{
    if (!m_isSuspectedLocally) {
        return false;
    }
    std::set<FailureDomain> suspectingDomains{m_ownDomain};
    for (const auto &[domain, expiry] : m_peerSuspicionExpiry) {
        if (expiry > now) {
            suspectingDomains.insert(domain);
        }
    }
    const auto suspectingCount = std::count_if(suspectingDomains.begin(), suspectingDomains.end(), [this](const FailureDomain &each) {
        return m_groupDomains.contains(each);
    });
    return static_cast<std::size_t>(suspectingCount) >= m_groupDomains.size() / 2 + 1;
}

} // namespace rattanbeam::decisions
