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

/// Number of a write that waits for its confirmation.
using WriteId = std::uint64_t;

/// Decides when a committed write may be acknowledged: once a majority of the members, the primary among them, hold its
/// entry under the primary's current term. The majority meets the one that a promotion fences, so that a replaced
/// primary gets nothing acknowledged and a later primary holds all that was.
///
/// A write of an earlier term also waits for the first entry of the current one (Raft, section 5.4.2): without it, a
/// majority that holds the write can still lose it to a member whose last entry has a higher term.
///
///     tracker.startTerm(term, firstPosition);
///     tracker.add(id, position);
///     for (WriteId id : tracker.held(member, term, position)) { acknowledge(id); }
class ConfirmationTracker
{
public:
    explicit ConfirmationTracker(std::size_t othersNeeded) : m_othersNeeded(othersNeeded)
    {}

    /// The primary now writes in `term`, whose first entry is `barrier`. Returns the writes that lose their chance.
    std::vector<WriteId> startTerm(Term term, std::uint64_t barrier);

    /// The member is no longer known to be a primary. Returns the writes that lose their chance.
    std::vector<WriteId> endTerm();

    /// A write stands at `position`. True if it is confirmed already.
    bool add(WriteId id, std::uint64_t position);

    /// Gives up on a write, at its deadline.
    void remove(WriteId id);

    /// Another member holds all up to `position` under `term`. Returns the writes that are now confirmed.
    std::vector<WriteId> held(const MemberId &member, Term term, std::uint64_t position);

    /// The position to ask `member` for next; nothing when no write waits for it.
    std::optional<std::uint64_t> wanted(const MemberId &member) const;

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

    std::size_t m_othersNeeded;
    Term m_term = 0;
    std::uint64_t m_barrier = 0;
    std::map<MemberId, std::uint64_t> m_heldBy;
    std::multimap<std::uint64_t, WriteId> m_waiting;
};

} // namespace rattanbeam::decisions
