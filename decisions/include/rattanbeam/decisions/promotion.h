#pragma once

#include "rattanbeam/decisions/databasegroup.h"
#include "rattanbeam/decisions/groupview.h"
#include "rattanbeam/decisions/timepoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

/// One attempt to give a group a new primary.
namespace rattanbeam::decisions
{

/// Conditional update of the group's object.
struct WriteGroup {
    DatabaseGroup group;
    std::uint64_t expectedVersion = 0;
    auto operator<=>(const WriteGroup &) const = default;
};
/// Reads the group's object, to learn whether a write whose answer was lost took effect.
struct ReadGroup {
    auto operator<=>(const ReadGroup &) const = default;
};
struct FenceMember {
    MemberId member;
    Term term = 0;
    AttemptId attempt;
    auto operator<=>(const FenceMember &) const = default;
};
struct PromoteMember {
    MemberId member;
    Term term = 0;
    AttemptId attempt;
    auto operator<=>(const PromoteMember &) const = default;
};
using PromotionAction = std::variant<WriteGroup, ReadGroup, FenceMember, PromoteMember>;
using PromotionActions = std::vector<PromotionAction>;

/// The group's object as the platform gave it.
struct StoredGroup {
    DatabaseGroup group;
    std::uint64_t version = 0;
    auto operator<=>(const StoredGroup &) const = default;
};

enum class PromotionPhase {
    TakingTerm,
    Fencing,
    Promoting,
    Publishing,
    Published,
    Abandoned,
};

std::ostream &operator<<(std::ostream &stream, PromotionPhase phase);

/// A promotion from its first write to its last. The platform's conditional update decides who owns a term; fencing a
/// majority before the best member is chosen keeps every acknowledged write. An attempt that meets another one's later
/// term, or its own deadline, is abandoned; whoever goes on takes a term of its own.
///
///     PromotionAttempt attempt(stored, AttemptId(unique), deadline);
///     perform(attempt.start());
///     perform(attempt.fenced(member, true, last));
class PromotionAttempt
{
public:
    /// Members in `avoided` are leaving: they are fenced too, but neither chosen nor counted.
    PromotionAttempt(const StoredGroup &from, AttemptId id, TimePoint deadline, std::set<MemberId> avoided = {});

    PromotionActions start();

    /// The write's answer: applied, or refused with the object as it stands.
    PromotionActions written(bool applied, const StoredGroup &now);
    /// The write's answer was lost, or the platform did not answer.
    PromotionActions writeUnanswered();
    PromotionActions readBack(const StoredGroup &now);

    /// A member's answer to its fence; `last` is its last log entry.
    PromotionActions fenced(const MemberId &member, bool accepted, const LogPosition &last);
    PromotionActions promoted(const MemberId &member, bool accepted);

    /// Repeats what was not answered; all requests are idempotent. Abandons the attempt at its deadline.
    PromotionActions tick(TimePoint now);

    PromotionPhase phase() const
    {
        return m_phase;
    }
    bool isOver() const
    {
        return m_phase == PromotionPhase::Published || m_phase == PromotionPhase::Abandoned;
    }
    Term term() const
    {
        return m_target.term;
    }
    const AttemptId &id() const
    {
        return m_target.attempt;
    }
    const MemberId &chosen() const
    {
        return m_target.primary;
    }

private:
    PromotionActions writeTarget() const;
    PromotionActions fenceAll() const;
    PromotionActions promoteChosen() const;
    PromotionActions ownWriteTookEffect(std::uint64_t version);
    bool isOwnWrite(const DatabaseGroup &stored) const;

    DatabaseGroup m_target;
    std::uint64_t m_version;
    TimePoint m_deadline;
    PromotionPhase m_phase = PromotionPhase::TakingTerm;
    std::map<MemberId, LogPosition> m_fenced;
    std::set<MemberId> m_avoided;
};

} // namespace rattanbeam::decisions
