#pragma once

#include <boost/histogram.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace rattanbeam::kernel
{

/// Latencies in logarithmic buckets from 10 microseconds to 100 seconds, each 8% wide.
///
///     LatencyHistogram latencies;
///     latencies.record(elapsed);
///     latencies.quantile(0.99);
class LatencyHistogram
{
public:
    LatencyHistogram();
    void record(std::chrono::nanoseconds latency);
    /// Upper edge of the bucket that holds quantile `q`; zero when nothing was recorded.
    std::chrono::microseconds quantile(double q) const;
    std::uint64_t count() const
    {
        return m_count;
    }

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    boost::histogram::histogram<std::tuple<Axis>> m_histogram;
    std::uint64_t m_count = 0;
};

struct CounterValue {
    std::string name;
    std::uint64_t value = 0;
};

struct LatencyValue {
    std::string name;
    std::uint64_t count = 0;
    std::chrono::microseconds median{};
    std::chrono::microseconds p99{};
};

/// Counters and latencies of one instance by name, bounded in number: further names are counted as `other`.
class Metrics
{
public:
    static constexpr std::size_t maxNames = 1024;

    void count(const std::string &name, std::uint64_t amount = 1);
    void record(const std::string &name, std::chrono::nanoseconds latency);
    std::vector<CounterValue> counters() const;
    std::vector<LatencyValue> latencies() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_counters;
    std::map<std::string, LatencyHistogram> m_latencies;
};

} // namespace rattanbeam::kernel
