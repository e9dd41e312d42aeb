#pragma once

#include "rattanbeam/decisions/databasegroup.h"
#include "rattanbeam/decisions/identifiers.h"
#include "rattanbeam/decisions/logposition.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace rattanbeam::decisions
{

/// Number of a write whose confirmation is tracked.
using WriteId = std::uint64_t;

/// Decides when a committed write may be acknowledged: once a majority of the members, including the primary, holds its
/// entry under the primary's current term. This majority overlaps each majority that a promotion fences. So a replaced
/// primary gets no write acknowledged, and a later primary holds every acknowledged write.
///
/// A write of an earlier term also waits for the barrier, the first entry of the current term (Raft, section 5.4.2). Otherwise a
/// majority that holds the write can still lose it when a member whose last entry has a higher term is promoted.
///
///     tracker.startTerm(term, barrier);
///     tracker.add(id, position);
///     for (WriteId id : tracker.held(member, term, position)) { acknowledge(id); }
class ConfirmationTracker
{
public:
    explicit ConfirmationTracker(std::size_t confirmationsNeeded) : m_confirmationsNeeded(confirmationsNeeded)
    {}

    /// The primary now writes in `term`. `barrier` is the position of the term's first entry, which the promotion itself writes.
    /// Returns the writes that can no longer be confirmed.
    std::vector<WriteId> startTerm(Term term, std::uint64_t barrier);

    /// The member is no longer known to be a primary. Returns the writes that can no longer be confirmed.
    std::vector<WriteId> endTerm();

    /// Tracks a write whose entry is at `position`. True if it is confirmed already.
    bool add(WriteId id, std::uint64_t position);

    /// Stops tracking a write, for example at its deadline.
    void remove(WriteId id);

    /// Another member holds the log up to `position` under `term`. Returns the writes that are thereby confirmed.
    std::vector<WriteId> held(const MemberId &member, Term term, std::uint64_t position);

    /// The next position for which to ask `member`, or nothing when no write waits for it.
    std::optional<std::uint64_t> nextAwaitedPosition(const MemberId &member) const;

    Term term() const
    {
        return m_term;
    }
    std::uint64_t barrier() const
    {
        return m_barrier;
    }
    std::size_t waiting() const
    {
        return m_waiting.size();
    }

private:
    std::uint64_t confirmedPosition() const;

    std::size_t m_confirmationsNeeded;
    Term m_term = 0;
    std::uint64_t m_barrier = 0;
    std::map<MemberId, std::uint64_t> m_heldBy;
    std::multimap<std::uint64_t, WriteId> m_waiting;
};

} // namespace rattanbeam::decisions
