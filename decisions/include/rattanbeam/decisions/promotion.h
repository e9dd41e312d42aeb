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

/// One attempt to promote a new primary for a group.
namespace rattanbeam::decisions
{

/// Writes the group's object if its version still is `expectedVersion` (conditional update).
struct WriteGroup {
    DatabaseGroup group;
    std::uint64_t expectedVersion = 0;
    auto operator<=>(const WriteGroup &) const = default;
};
/// Reads the group's object, to find out whether a write whose answer was lost has been applied.
struct ReadGroup {
    auto operator<=>(const ReadGroup &) const = default;
};
/// Makes a member refuse everything of terms before `term`.
struct FenceMember {
    MemberId member;
    Term term = 0;
    AttemptId attempt;
    auto operator<=>(const FenceMember &) const = default;
};
/// Makes a member that this attempt has fenced the primary of `term`.
struct PromoteMember {
    MemberId member;
    Term term = 0;
    AttemptId attempt;
    auto operator<=>(const PromoteMember &) const = default;
};
using PromotionAction = std::variant<WriteGroup, ReadGroup, FenceMember, PromoteMember>;
using PromotionActions = std::vector<PromotionAction>;

/// The group's object and its version, as the platform stores it.
struct StoredGroup {
    DatabaseGroup group;
    std::uint64_t version = 0;
    auto operator<=>(const StoredGroup &) const = default;
};

enum class PromotionPhase {
    TakingTerm, ///< Writes the next term, without a primary, to the group's object.
    Fencing, ///< Fences the members until a majority has accepted.
    Promoting, ///< Promotes the member with the most up-to-date log.
    Publishing, ///< Writes the new primary to the group's object.
    Published, ///< Finished.
    Abandoned, ///< Given up: another attempt has a later term, a member refused, or the deadline has passed.
};

std::ostream &operator<<(std::ostream &stream, PromotionPhase phase);

/// State machine of one promotion. The platform's conditional update decides which attempt owns a term. A majority is
/// fenced before the member with the most up-to-date log is chosen, so that no acknowledged write is lost. An attempt is
/// abandoned when it meets a later term of another attempt, or at its deadline; the next attempt takes a new term.
///
/// It performs no I/O: each call returns the actions to carry out next.
///
///     PromotionAttempt attempt(stored, AttemptId(unique), deadline);
///     perform(attempt.start());
///     perform(attempt.fenceAnswered(member, true, last));
class PromotionAttempt
{
public:
    /// Members in `excluded` are leaving: they are fenced too, but neither chosen nor counted towards the majority.
    PromotionAttempt(const StoredGroup &stored, AttemptId id, TimePoint deadline, std::set<MemberId> excluded = {});

    /// Returns the write that takes the next term.
    PromotionActions start();

    /// The write was applied, or refused because of its version; `stored` is the object after it.
    PromotionActions writeAnswered(bool isApplied, const StoredGroup &stored);
    /// The answer to the write was lost, or the platform did not answer: the write may have been applied.
    PromotionActions writeUnanswered();
    /// The object was read after a lost answer. Continues if the write was applied, repeats it if the object is unchanged,
    /// and abandons the attempt if another one has changed the object.
    PromotionActions readAnswered(const StoredGroup &stored);

    /// A member's answer to the fence request; `last` is its last log entry.
    PromotionActions fenceAnswered(const MemberId &member, bool isAccepted, const LogPosition &last);
    /// The chosen member's answer to the promote request.
    PromotionActions promoteAnswered(const MemberId &member, bool isAccepted);

    /// Repeats unanswered requests, which are all idempotent, and abandons the attempt at its deadline.
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
    /// Empty before the Promoting phase.
    const MemberId &chosenPrimary() const
    {
        return m_target.primary;
    }

private:
    PromotionActions writeTarget() const;
    PromotionActions fenceUnanswered() const;
    PromotionActions promoteChosen() const;
    PromotionActions ownWriteApplied(std::uint64_t version);
    bool isOwnWrite(const DatabaseGroup &group) const;

    /// The group's object as this attempt writes it.
    DatabaseGroup m_target;
    /// The object's version that the next write expects.
    std::uint64_t m_version;
    TimePoint m_deadline;
    PromotionPhase m_phase = PromotionPhase::TakingTerm;
    /// Last log entry of each fenced member that may be chosen.
    std::map<MemberId, LogPosition> m_lastEntries;
    std::set<MemberId> m_excluded;
};

} // namespace rattanbeam::decisions
