#pragma once

#include "rattanbeam/decisions/logposition.h"
#include "rattanbeam/decisions/timepoint.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace rattanbeam::decisions::session
{

/// Positions of a primary, each with a time before which every acknowledged commit is at or below it.
///
///     watermark.sample(position, sentAt);
///     const auto needed = watermark.covering(now - maxStaleness);
class Watermark
{
public:
    /// The primary answered with `position` to a request sent at `sentAt`. A later term replaces all samples.
    void sample(LogPosition position, TimePoint sentAt);
    /// The lowest sampled position that covers all commits acknowledged before `time`; none when the samples are older.
    std::optional<LogPosition> covering(TimePoint time) const;
    /// When `position` had been reached, as far as the samples tell.
    std::optional<TimePoint> reachedAt(LogPosition position) const;
    std::optional<LogPosition> latest() const;
    TimePoint latestAt() const;
    void clear()
    {
        m_samples.clear();
    }

private:
    static constexpr std::size_t mostSamples = 512;
    static constexpr Duration leastDistance = std::chrono::milliseconds(10);

    struct Sample {
        LogPosition position;
        TimePoint sentAt;
    };
    std::deque<Sample> m_samples;
};

} // namespace rattanbeam::decisions::session
