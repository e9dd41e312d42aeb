#pragma once

#include "rattanbeam/decisions/timepoint.h"

namespace rattanbeam::decisions::session
{

/// Measures how late a periodic timer fires, which shows whether this process gets the processor time that it needs.
///
///     if (const auto pause = meter.recordTick(now); pause > Duration::zero()) { extendTimeouts(pause); }
class LagMeter
{
public:
    explicit LagMeter(Duration interval);

    /// The next tick is due this long after the last one.
    void setInterval(Duration interval)
    {
        m_interval = interval;
    }
    /// Returns how long the process was paused, or zero if it was not. Pauses do not count towards the average lag.
    Duration recordTick(TimePoint now);
    /// Whether the average lag is too high. Ends only after the lag has stayed low for a while, so that the state does not flap.
    bool isOverloaded() const
    {
        return m_isOverloaded;
    }
    Duration averageLag() const
    {
        return m_averageLag;
    }

private:
    static constexpr Duration pauseThreshold = std::chrono::milliseconds(120);
    static constexpr Duration overloadThreshold = std::chrono::milliseconds(25);
    static constexpr Duration recoveryThreshold = std::chrono::milliseconds(8);
    static constexpr Duration recoveryTime = std::chrono::seconds(2);
    static constexpr int averagedTicks = 16; ///< span of the exponential moving average, in ticks

    Duration m_interval;
    TimePoint m_lastTick = distantPast;
    /// When the average lag was last above `recoveryThreshold`.
    TimePoint m_lastHighLagAt = distantPast;
    Duration m_averageLag{};
    bool m_isOverloaded = false;
};

} // namespace rattanbeam::decisions::session
