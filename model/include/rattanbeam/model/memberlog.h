#pragma once

#include "rattanbeam/decisions/identifiers.h"
#include "rattanbeam/decisions/logposition.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

/// A model of the database groups that rattanbeam serves.
namespace rattanbeam::model
{

using decisions::AttemptId;
using decisions::LogPosition;
using decisions::Term;
using decisions::TermHistory;
using decisions::TermStart;

enum class MemberRole {
    Fenced, ///< Accepts and confirms no entries until it is promoted or follows a primary.
    Primary,
    Follower,
};

/// The length of the longest common prefix of two logs, computed from their term histories and lengths. Logs with the same
/// term at a position are equal up to that position.
std::uint64_t
commonPrefixLength(const TermHistory &firstHistory, std::uint64_t firstEnd, const TermHistory &secondHistory, std::uint64_t secondEnd);

/// The log and role of one member, with the behaviour that rattanbeam's guarantees require from the members of a database
/// group. The stand-in backend server and the property tests of failover both use it.
///
///     MemberLog<Statement> log;
///     log.fence(2, attempt);
///     log.promote(2, attempt);
///     log.append(2, statement);
template<typename Payload>
class MemberLog
{
public:
    struct Entry {
        LogPosition at;
        Payload payload;

        auto operator<=>(const Entry &) const = default;
    };

    /// What a primary sends to a follower: entries after the common prefix of both logs, and the terms and the end of the
    /// primary's whole log. `term` is 0 if the sender is not the primary of the follower's term.
    struct Batch {
        Term term = 0;
        TermHistory history;
        std::uint64_t primaryEnd = 0;
        std::vector<Entry> entries;

        auto operator<=>(const Batch &) const = default;
    };

    Term term() const
    {
        return m_term;
    }
    MemberRole role() const
    {
        return m_role;
    }
    const TermHistory &history() const
    {
        return m_history;
    }
    const std::vector<Entry> &entries() const
    {
        return m_entries;
    }
    /// The position of the last entry; 0 if the log is empty.
    std::uint64_t end() const
    {
        return m_entries.size();
    }
    LogPosition last() const
    {
        return {m_history.termAt(end()), end()};
    }

    /// Enters `term`, and stops accepting and confirming entries of earlier terms. Returns false if the member is in a later
    /// term, or entered this term otherwise than through this attempt. Idempotent for one attempt.
    bool fence(Term term, const AttemptId &attempt)
    {
        const bool isRepeat = term == m_term && attempt == m_attempt;
        if (term < m_term || (term == m_term && !isRepeat)) {
            return false;
        }
        if (!isRepeat) {
            enterTerm(term, MemberRole::Fenced);
            m_attempt = attempt;
        }
        return true;
    }

    /// Makes the member the primary and appends the term's first entry, with an empty payload. Returns false unless this
    /// attempt fenced the member in `term` and it has not followed a primary since. Idempotent.
    bool promote(Term term, const AttemptId &attempt)
    {
        if (term != m_term || attempt != m_attempt || m_role == MemberRole::Follower) {
            return false;
        }
        if (m_role == MemberRole::Fenced) {
            m_role = MemberRole::Primary;
            m_history.append({term, end()});
            appendEntry({term, end() + 1}, Payload{});
        }
        return true;
    }

    /// Follows the primary of `term`. The first batch reconciles the log; until then the member confirms nothing. Returns
    /// false if the member is in a later term or is itself the primary of `term`.
    bool follow(Term term)
    {
        if (term < m_term || (term == m_term && m_role == MemberRole::Primary)) {
            return false;
        }
        if (term > m_term || m_role == MemberRole::Fenced) {
            enterTerm(term, MemberRole::Follower);
        }
        return true;
    }

    /// Appends an entry as the primary of `term`. Returns false if the member is not, or no longer, that primary.
    bool append(Term term, Payload payload)
    {
        if (m_role != MemberRole::Primary || term != m_term) {
            return false;
        }
        appendEntry({term, end() + 1}, std::move(payload));
        return true;
    }

    /// Up to `maxEntries` entries that a follower of `term` with this log lacks. The batch's term is 0 if this member is not
    /// the primary of `term`.
    Batch batchFor(Term term, const TermHistory &followerHistory, std::uint64_t followerEnd, std::size_t maxEntries) const
    {
        Batch batch;
        if (m_role != MemberRole::Primary || term != m_term) {
            return batch;
        }
        batch.term = m_term;
        batch.history = m_history;
        batch.primaryEnd = end();
        const std::uint64_t commonLength = commonPrefixLength(followerHistory, followerEnd, m_history, end());
        const std::uint64_t batchEnd = std::min<std::uint64_t>(end(), commonLength + maxEntries);
        batch.entries.assign(m_entries.begin() + static_cast<std::ptrdiff_t>(commonLength),
                             m_entries.begin() + static_cast<std::ptrdiff_t>(batchEnd));
        return batch;
    }

    /// Accepts a batch from the primary that this member follows: removes the entries that the primary's log does not have,
    /// then appends those of the batch. Ignores a batch of another term. Returns the length of the log that was kept, so that
    /// the caller can rebuild tables to which removed entries were applied.
    std::uint64_t accept(const Batch &batch)
    {
        if (m_role != MemberRole::Follower || batch.term != m_term) {
            return end();
        }
        // A reconciled log is a prefix of the primary's, so a delayed batch must not shorten it.
        const std::uint64_t keptLength = m_isReconciled ? end() : commonPrefixLength(m_history, end(), batch.history, batch.primaryEnd);
        m_entries.resize(keptLength);
        m_history.truncate(keptLength);
        for (const Entry &entry : batch.entries) {
            if (entry.at.position != end() + 1) {
                continue;
            }
            m_history.append({entry.at.term, end()});
            appendEntry(entry.at, entry.payload);
        }
        m_isReconciled = true;
        return keptLength;
    }

    /// The position up to which this member confirms that it holds the log under `term`; 0 if it confirms nothing under it.
    std::uint64_t heldPosition(Term term) const
    {
        const bool isConfirming = m_role == MemberRole::Primary || (m_role == MemberRole::Follower && m_isReconciled);
        return isConfirming && term == m_term ? end() : 0;
    }

    /// Whether this log is known to be a prefix of the log of the primary that the member follows.
    bool isReconciled() const
    {
        return m_isReconciled;
    }

private:
    void enterTerm(Term term, MemberRole role)
    {
        m_term = term;
        m_role = role;
        m_attempt = AttemptId();
        m_isReconciled = false;
    }

    void appendEntry(const LogPosition &at, Payload payload)
    {
        m_entries.push_back({at, std::move(payload)});
    }

    Term m_term = 0;
    MemberRole m_role = MemberRole::Fenced;
    AttemptId m_attempt;
    bool m_isReconciled = false;
    std::vector<Entry> m_entries;
    TermHistory m_history;
};

} // namespace rattanbeam::model
