#pragma once

#include "rattanbeam/decisions/identifiers.h"
#include "rattanbeam/decisions/logposition.h"
#include "rattanbeam/decisions/timepoint.h"

#include <map>
#include <set>

namespace rattanbeam::decisions
{

/// What to do after a probe of a group's primary.
enum class ProbeStep {
    Nothing,
    /// Probe again on a new connection: the failure may be one of the existing connection alone.
    ProbeOnNewConnection,
    /// Send the changed suspicion to the other observers at once.
    NotifyPeers,
};

/// One observer's view of whether a group's primary has failed. A connection that gets no answer proves nothing: an
/// observer suspects the primary only after a probe on a new connection has failed. A promotion needs suspicions from a
/// majority of the group's failure domains.
///
///     if (suspicion.probeFailed() == ProbeStep::ProbeOnNewConnection) { probeOnNewConnection(); }
///     if (suspicion.hasQuorum(now)) { startPromotion(); }
class Suspicion
{
public:
    Suspicion(FailureDomain ownDomain, std::set<FailureDomain> groupDomains)
        : m_ownDomain(std::move(ownDomain)), m_groupDomains(std::move(groupDomains))
    {}

    /// Clears all suspicions, since a new term has a new primary. An earlier or equal term is ignored.
    void startTerm(Term term);

    ProbeStep probeSucceeded();
    /// A probe on the existing connection has failed.
    ProbeStep probeFailed();
    ProbeStep newConnectionProbeFailed();

    /// Records whether an observer in `domain` suspects the primary of `term`. A suspicion expires at `expiry`.
    void setPeerSuspicion(const FailureDomain &domain, Term term, bool isSuspected, TimePoint expiry);

    /// True if this observer itself suspects the primary.
    bool isSuspectedLocally() const
    {
        return m_isSuspectedLocally;
    }
    /// True if this observer and unexpired suspicions of others cover a majority of the group's failure domains.
    bool hasQuorum(TimePoint now) const;
    Term term() const
    {
        return m_term;
    }

private:
    FailureDomain m_ownDomain;
    std::set<FailureDomain> m_groupDomains;
    Term m_term = 0;
    bool m_isSuspectedLocally = false;
    std::map<FailureDomain, TimePoint> m_peerSuspicionExpiry;
};

} // namespace rattanbeam::decisions
