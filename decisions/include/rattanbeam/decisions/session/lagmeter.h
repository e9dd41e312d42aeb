#pragma once

#include "rattanbeam/decisions/timepoint.h"

namespace rattanbeam::decisions::session
{

/// How late a periodic timer fires, which shows whether this process gets the processor time that it needs.
///
///     if (const auto pause = meter.ticked(now); pause > Duration::zero()) { forgive(pause); }
class LagMeter
{
public:
    explicit LagMeter(Duration interval);

    /// Returns how long the process stood still, zero if it did not.
    Duration ticked(TimePoint now);
    bool isOverloaded() const
    {
        return m_isOverloaded;
    }
    Duration averageLag() const
    {
        return m_averageLag;
    }

private:
    static constexpr Duration pauseLimit = std::chrono::milliseconds(120);
    static constexpr Duration overloadLimit = std::chrono::milliseconds(25);
    static constexpr Duration calmLimit = std::chrono::milliseconds(8);
    static constexpr Duration calmTime = std::chrono::seconds(2);
    static constexpr int smoothing = 16; ///< ticks that the average spans

    Duration m_interval;
    TimePoint m_lastTick = distantPast;
    TimePoint m_calmSince = distantPast;
    Duration m_averageLag{};
    bool m_isOverloaded = false;
};

} // namespace rattanbeam::decisions::session
