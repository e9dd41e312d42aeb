#pragma once

#include "rattanbeam/decisions/identifiers.h"
#include "rattanbeam/decisions/logposition.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

/// Our model of the database groups that rattanbeam serves.
namespace rattanbeam::model
{

using decisions::AttemptId;
using decisions::LogPosition;
using decisions::Term;
using decisions::TermHistory;
using decisions::TermStart;

enum class MemberRole {
    Fenced, ///< Takes and confirms nothing until it is promoted or follows.
    Primary,
    Follower,
};

/// The longest common prefix of two logs, given their terms and ends. Equal terms at a position mean equal prefixes.
std::uint64_t commonPrefix(const TermHistory &mine, std::uint64_t myEnd, const TermHistory &theirs, std::uint64_t theirEnd);

/// One member's log and role: what a database group's member must do for rattanbeam's promises to hold. The stand-in
/// backend server and the properties of failover both run on it.
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

    /// What a follower gets from its primary: entries after the common prefix of both logs.
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
    std::uint64_t end() const
    {
        return m_entries.size();
    }
    LogPosition last() const
    {
        return {m_history.termAt(end()), end()};
    }

    /// Stops taking and confirming anything of earlier terms. Idempotent for one attempt.
    bool fence(Term term, const AttemptId &attempt)
    {
        const bool repeats = term == m_term && attempt == m_attempt;
        if (term < m_term || (term == m_term && !repeats)) {
            return false;
        }
        if (!repeats) {
            enterTerm(term, MemberRole::Fenced);
            m_attempt = attempt;
        }
        return true;
    }

    /// Makes a member that this attempt fenced the primary, and writes the term's first entry. Idempotent.
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

    /// Follows the primary of `term`. The log is reconciled by the first batch; until then nothing is confirmed.
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

    /// Adds an entry as the primary of `term`. False when it is no longer that.
    bool append(Term term, Payload payload)
    {
        if (m_role != MemberRole::Primary || term != m_term) {
            return false;
        }
        appendEntry({term, end() + 1}, std::move(payload));
        return true;
    }

    /// What a follower of `term` with this log still needs; an empty term when this is not that term's primary.
    Batch batchFor(Term term, const TermHistory &follower, std::uint64_t followerEnd, std::size_t most) const
    {
        Batch batch;
        if (m_role != MemberRole::Primary || term != m_term) {
            return batch;
        }
        batch.term = m_term;
        batch.history = m_history;
        batch.primaryEnd = end();
        const std::uint64_t common = commonPrefix(follower, followerEnd, m_history, end());
        const std::uint64_t until = std::min<std::uint64_t>(end(), common + most);
        batch.entries.assign(m_entries.begin() + static_cast<std::ptrdiff_t>(common),
                             m_entries.begin() + static_cast<std::ptrdiff_t>(until));
        return batch;
    }

    /// Takes a batch of the followed primary: drops what its log does not have, then appends. Returns the length of the
    /// log that was kept, so that a table state built from more can be rebuilt.
    std::uint64_t accept(const Batch &batch)
    {
        if (m_role != MemberRole::Follower || batch.term != m_term) {
            return end();
        }
        // A reconciled log is a prefix of the primary's; a batch that comes late must not shorten it.
        const std::uint64_t kept = m_reconciled ? end() : commonPrefix(m_history, end(), batch.history, batch.primaryEnd);
        m_entries.resize(kept);
        m_history.truncate(kept);
        for (const Entry &entry : batch.entries) {
            if (entry.at.position != end() + 1) {
                continue;
            }
            m_history.append({entry.at.term, end()});
            appendEntry(entry.at, entry.payload);
        }
        m_reconciled = true;
        return kept;
    }

    /// The position up to which this member confirms under `term`; 0 when it confirms nothing of it.
    std::uint64_t heldUnder(Term term) const
    {
        const bool confirms = m_role == MemberRole::Primary || (m_role == MemberRole::Follower && m_reconciled);
        return confirms && term == m_term ? end() : 0;
    }

    bool isReconciled() const
    {
        return m_reconciled;
    }

private:
    void enterTerm(Term term, MemberRole role)
    {
        m_term = term;
        m_role = role;
        m_attempt = AttemptId();
        m_reconciled = false;
    }

    void appendEntry(const LogPosition &at, Payload payload)
    {
        m_entries.push_back({at, std::move(payload)});
    }

    Term m_term = 0;
    MemberRole m_role = MemberRole::Fenced;
    AttemptId m_attempt;
    bool m_reconciled = false;
    std::vector<Entry> m_entries;
    TermHistory m_history;
};

} // namespace rattanbeam::model
