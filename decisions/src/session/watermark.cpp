#include "rattanbeam/decisions/session/watermark.h"

#include <algorithm>

namespace rattanbeam::decisions::session
{

void Watermark::sample(LogPosition position, TimePoint sentAt)
{
    if (!m_samples.empty()) {
        const Sample &last = m_samples.back();
        if (position.term > last.position.term) {
            m_samples.clear();
        } else if (position < last.position) {
            return; // an older answer that arrived late covers fewer commits
        }
    }
    if (!m_samples.empty()) {
        Sample &last = m_samples.back();
        if (sentAt <= last.sentAt) {
            return;
        }
        const bool isDense = m_samples.size() > 1 && sentAt - m_samples[m_samples.size() - 2].sentAt < minSampleDistance;
        if (isDense) {
            last = {position, sentAt};
            return;
        }
    }
    m_samples.push_back({position, sentAt});
    if (m_samples.size() > maxSamples) {
        m_samples.pop_front();
    }
}

std::optional<LogPosition> Watermark::covering(TimePoint time) const
{
    const auto found = std::lower_bound(m_samples.begin(), m_samples.end(), time, [](const Sample &sample, TimePoint wanted) {
        return sample.sentAt < wanted;
    });
    return found == m_samples.end() ? std::nullopt : std::optional(found->position);
}

std::optional<TimePoint> Watermark::reachedAt(LogPosition position) const
{
    const auto found = std::lower_bound(m_samples.begin(), m_samples.end(), position, [](const Sample &sample, LogPosition wanted) {
        return sample.position < wanted;
    });
    return found == m_samples.end() ? std::nullopt : std::optional(found->sentAt);
}

std::optional<LogPosition> Watermark::latest() const
{
    return m_samples.empty() ? std::nullopt : std::optional(m_samples.back().position);
}

TimePoint Watermark::latestAt() const
{
    return m_samples.empty() ? distantPast : m_samples.back().sentAt;
}

} // namespace rattanbeam::decisions::session
