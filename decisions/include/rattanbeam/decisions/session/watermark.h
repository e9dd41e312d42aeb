#pragma once

#include "rattanbeam/decisions/logposition.h"
#include "rattanbeam/decisions/timepoint.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace rattanbeam::decisions::session
{

/// Samples of a primary's log position. Every commit acknowledged before a sample's time is at or below its position, so a
/// replica that has applied the position holds them all.
///
///     watermark.sample(position, sentAt);
///     const auto needed = watermark.covering(now - stalenessLimit);
class Watermark
{
public:
    /// The primary has answered a request sent at `sentAt` with `position`. A sample of a later term replaces all others.
    void sample(LogPosition position, TimePoint sentAt);
    /// The lowest sampled position that covers all commits acknowledged before `time`; none if all samples are older.
    std::optional<LogPosition> covering(TimePoint time) const;
    /// Time of the earliest sample at or above `position`; none if all samples are below it.
    std::optional<TimePoint> reachedAt(LogPosition position) const;
    std::optional<LogPosition> latest() const;
    /// Time of the latest sample; distantPast without samples.
    TimePoint latestAt() const;
    void clear()
    {
        m_samples.clear();
    }

private:
    static constexpr std::size_t maxSamples = 512;
    /// Samples closer together than this are merged.
    static constexpr Duration minSampleDistance = std::chrono::milliseconds(10);

    struct Sample {
        LogPosition position;
        TimePoint sentAt;
    };
    std::deque<Sample> m_samples;
};

} // namespace rattanbeam::decisions::session
