#pragma once

#include "rattanbeam/decisions/identifiers.h"
#include "rattanbeam/decisions/logposition.h"
#include "rattanbeam/decisions/timepoint.h"

#include <map>
#include <set>

namespace rattanbeam::decisions
{

/// What to do about a group's primary after a probe.
enum class ProbeStep {
    Nothing,
    /// The old connection may just have gone silent: ask again on a new one.
    ProbeAfresh,
    /// Tell the other observers at once.
    TellPeers,
};

/// One observer's view of whether a group's primary has failed. A silent connection proves nothing; only a failed probe
/// on a new connection makes a suspicion, and only observers in a majority of the group's failure domains make it count.
///
///     if (suspicion.probeFailed() == ProbeStep::ProbeAfresh) { probeOnNewConnection(); }
///     if (suspicion.isAgreed(now)) { startPromotion(); }
class Suspicion
{
public:
    Suspicion(FailureDomain own, std::set<FailureDomain> groupDomains) : m_own(std::move(own)), m_groupDomains(std::move(groupDomains))
    {}

    /// A new term has a new primary; what was suspected of the old one is void.
    void startTerm(Term term);

    ProbeStep probeSucceeded();
    ProbeStep probeFailed();
    ProbeStep freshProbeFailed();

    /// What an observer in `domain` said of the primary of `term`; holds until `until`.
    void heard(const FailureDomain &domain, Term term, bool suspected, TimePoint until);

    bool suspectsItself() const
    {
        return m_suspected;
    }
    bool isAgreed(TimePoint now) const;
    Term term() const
    {
        return m_term;
    }

private:
    FailureDomain m_own;
    std::set<FailureDomain> m_groupDomains;
    Term m_term = 0;
    bool m_suspected = false;
    std::map<FailureDomain, TimePoint> m_suspectedUntil;
};

} // namespace rattanbeam::decisions
