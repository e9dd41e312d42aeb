#include "rattanbeam/decisions/session/lagmeter.h"

#include <algorithm>

namespace rattanbeam::decisions::session
{

LagMeter::LagMeter(Duration interval) : m_interval(interval)
{}

Duration LagMeter::ticked(TimePoint now)
{
    if (m_lastTick == distantPast) {
        m_lastTick = now;
        m_calmSince = now;
        return {};
    }
    const Duration lag = std::max(Duration::zero(), now - m_lastTick - m_interval);
    m_lastTick = now;
    if (lag > pauseLimit) {
        return lag; // a pause is no measure of load
    }
    m_averageLag += (lag - m_averageLag) / smoothing;
    if (m_averageLag > calmLimit) {
        m_calmSince = now;
    }
    m_isOverloaded = m_averageLag > overloadLimit || (m_isOverloaded && now - m_calmSince < calmTime);
    return {};
}

} // namespace rattanbeam::decisions::session
