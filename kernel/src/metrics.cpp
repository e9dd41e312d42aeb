#include "rattanbeam/kernel/metrics.h"

#include <algorithm>
#include <cmath>

namespace rattanbeam::kernel
{

namespace
{
constexpr unsigned bucketCount = 200;
constexpr double leastMicroseconds = 10;
constexpr double mostMicroseconds = 1e8;

template<typename Map>
typename Map::mapped_type &boundedEntry(Map &map, const std::string &name)
{
    if (map.size() >= Metrics::maxNames && !map.contains(name)) {
        return map["other"];
    }
    return map[name];
}
} // namespace

LatencyHistogram::LatencyHistogram() : m_histogram(boost::histogram::make_histogram(Axis(bucketCount, leastMicroseconds, mostMicroseconds)))
{}

void LatencyHistogram::record(std::chrono::nanoseconds latency)
{
    const double microseconds = std::chrono::duration<double, std::micro>(latency).count();
    m_histogram(std::max(microseconds, leastMicroseconds));
    ++m_count;
}

std::chrono::microseconds LatencyHistogram::quantile(double q) const
{
    const auto wanted = static_cast<std::uint64_t>(std::ceil(q * static_cast<double>(m_count)));
    std::uint64_t seen = 0;
    const auto &axis = m_histogram.axis();
    for (int bucket = 0; bucket < axis.size(); ++bucket) {
        seen += static_cast<std::uint64_t>(m_histogram.at(bucket));
        if (seen >= wanted && seen > 0) {
            return std::chrono::microseconds(static_cast<std::int64_t>(axis.bin(bucket).upper()));
        }
    }
    return std::chrono::microseconds(m_count == 0 ? 0 : static_cast<std::int64_t>(mostMicroseconds));
}

void Metrics::count(const std::string &name, std::uint64_t amount)
{
    const std::lock_guard lock(m_mutex);
    boundedEntry(m_counters, name) += amount;
}

void Metrics::record(const std::string &name, std::chrono::nanoseconds latency)
{
    const std::lock_guard lock(m_mutex);
    boundedEntry(m_latencies, name).record(latency);
}

std::vector<CounterValue> Metrics::counters() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<CounterValue> values;
    for (const auto &[name, value] : m_counters) {
        values.push_back({name, value});
    }
    return values;
}

std::vector<LatencyValue> Metrics::latencies() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<LatencyValue> values;
    for (const auto &[name, histogram] : m_latencies) {
        values.push_back({name, histogram.count(), histogram.quantile(0.5), histogram.quantile(0.99)});
    }
    return values;
}

} // namespace rattanbeam::kernel
