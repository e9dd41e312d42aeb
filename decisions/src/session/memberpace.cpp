#include "rattanbeam/decisions/session/memberpace.h"

#include <algorithm>
#include <chrono>

namespace rattanbeam::decisions::session
{

namespace
{

constexpr double usualTimeSmoothing = 0.05; // weight of the newest answer; single statements differ by a factor of ten
// In a row, and as many as the member has slots: a member that fails a part of its statements whatever its load is not limited for that.
constexpr std::size_t minFailuresToLimit = 3;
constexpr double inTimeRatio = 2.5; // up to this multiple of the usual time, a round is in time
constexpr double tooSlowRatio = 4; // above this, a round is too slow unless the load is not the reason
constexpr double steadyFactor = 1.5; // a round this much slower than the fastest one is not slowed down by the load
constexpr double slowedFactor = 3; // a round this much slower than the fastest one is
constexpr std::uint32_t maxUnchangedRounds = 3; // then the limit rises by one, to find out whether the member carries more by now

} // namespace

void UsualAnswerTimes::answered(Rank rank, Duration time)
{
    const double seconds = std::chrono::duration<double>(time).count();
    double &mean = m_meanSeconds[rank];
    mean = mean == 0 ? seconds : mean + usualTimeSmoothing * (seconds - mean);
}

double UsualAnswerTimes::ratioTo(Rank rank, Duration time) const
{
    const double mean = m_meanSeconds[rank];
    return mean == 0 ? 1 : std::chrono::duration<double>(time).count() / mean;
}

MemberPace::Change MemberPace::start(std::size_t slots)
{
    m_slots = std::max<std::size_t>(1, slots);
    m_failuresInRow = 0;
    m_lowestRatio = 0;
    m_unchangedRounds = 0;
    beginRound();
    if (m_slots == 1) {
        m_limit.reset(); // there is nothing to limit
        return Change::None;
    }
    m_limit = 1;
    return Change::Started;
}

MemberPace::Change MemberPace::answered(double ratio)
{
    m_failuresInRow = 0;
    if (!m_limit) {
        return Change::None;
    }
    ++m_answers;
    m_ratioSum += ratio;
    return m_answers + m_failures >= *m_limit ? endRound() : Change::None;
}

MemberPace::Change MemberPace::failed(std::size_t slots)
{
    if (m_limit) {
        ++m_failures;
        return m_answers + m_failures >= *m_limit ? endRound() : Change::None;
    }
    if (++m_failuresInRow < std::max(minFailuresToLimit, slots) || slots <= 1) {
        return Change::None;
    }
    const std::size_t limit = slots / 2;
    start(slots);
    m_limit = limit;
    return Change::Started;
}

/// Judges the round that has ended, and sets the limit of the next one.
MemberPace::Change MemberPace::endRound()
{
    const std::size_t limit = *m_limit;
    const bool isFailing = m_failures > m_answers;
    const double ratio = m_answers == 0 ? 0 : m_ratioSum / static_cast<double>(m_answers);
    beginRound();
    if (isFailing) {
        return setLimit(limit / 2);
    }
    m_lowestRatio = m_lowestRatio == 0 ? ratio : std::min(m_lowestRatio, ratio);
    if (ratio <= std::max(inTimeRatio, steadyFactor * m_lowestRatio)) {
        return setLimit(limit * 2);
    }
    if (ratio > std::max(tooSlowRatio, slowedFactor * m_lowestRatio)) {
        return setLimit(limit / 2);
    }
    return ++m_unchangedRounds < maxUnchangedRounds ? Change::None : setLimit(limit + 1);
}

/// Sets a limit from 1; one that reaches the slots ends.
MemberPace::Change MemberPace::setLimit(std::size_t limit)
{
    const std::size_t previous = m_limit.value_or(m_slots);
    m_unchangedRounds = 0;
    if (limit >= m_slots) {
        m_limit.reset();
        return Change::Ended;
    }
    m_limit = std::max<std::size_t>(1, limit);
    return *m_limit > previous ? Change::Raised : *m_limit < previous ? Change::Lowered : Change::None;
}

void MemberPace::beginRound()
{
    m_answers = 0;
    m_failures = 0;
    m_ratioSum = 0;
}

} // namespace rattanbeam::decisions::session
