#include "rattanbeam/decisions/session/lagmeter.h"

#include <algorithm>

namespace rattanbeam::decisions::session
{

LagMeter::LagMeter(Duration interval) : m_interval(interval)
{}

Duration LagMeter::recordTick(TimePoint now)
{
    if (m_lastTick == distantPast) {
        m_lastTick = now;
        m_lastHighLagAt = now;
        return {};
    }
    const Duration lag = std::max(Duration::zero(), now - m_lastTick - m_interval);
    m_lastTick = now;
    if (lag > pauseThreshold) {
        return lag; // a pause says nothing about load
    }
    m_averageLag += (lag - m_averageLag) / averagedTicks;
    if (m_averageLag > recoveryThreshold) {
        m_lastHighLagAt = now;
    }
    m_isOverloaded = m_averageLag > overloadThreshold || (m_isOverloaded && now - m_lastHighLagAt < recoveryTime);
    return {};
}

} // namespace rattanbeam::decisions::session
