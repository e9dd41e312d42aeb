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
    m_suspected = false;
    m_suspectedUntil.clear();
}

ProbeStep Suspicion::probeSucceeded()
{
    if (!m_suspected) {
        return ProbeStep::Nothing;
    }
    m_suspected = false;
    return ProbeStep::TellPeers;
}

ProbeStep Suspicion::probeFailed()
{
    return ProbeStep::ProbeAfresh;
}

ProbeStep Suspicion::freshProbeFailed()
{
    if (m_suspected) {
        return ProbeStep::Nothing;
    }
    m_suspected = true;
    return ProbeStep::TellPeers;
}

void Suspicion::heard(const FailureDomain &domain, Term term, bool suspected, TimePoint until)
{
    if (term != m_term || !m_groupDomains.contains(domain)) {
        return;
    }
    if (suspected) {
        m_suspectedUntil[domain] = until;
    } else {
        m_suspectedUntil.erase(domain);
    }
}

bool Suspicion::isAgreed(TimePoint now) const
{
    if (!m_suspected) {
        return false;
    }
    std::set<FailureDomain> suspecting{m_own};
    for (const auto &[domain, until] : m_suspectedUntil) {
        if (until > now) {
            suspecting.insert(domain);
        }
    }
    const auto inGroup = std::count_if(suspecting.begin(), suspecting.end(), [this](const FailureDomain &each) {
        return m_groupDomains.contains(each);
    });
    return static_cast<std::size_t>(inGroup) >= m_groupDomains.size() / 2 + 1;
}

} // namespace rattanbeam::decisions
