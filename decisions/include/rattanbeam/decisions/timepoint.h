#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

/// Types for times. The decision code never reads a clock; its callers pass `now`.
namespace rattanbeam::decisions
{

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// Earlier than any real event: the time of an event that has not happened.
inline constexpr TimePoint distantPast{-std::chrono::hours(24 * 365 * 10)};

/// Whole milliseconds from `now` to `deadline`, 0 if it has passed. Deadlines are sent as the time that remains, since
/// instances share no clock.
inline std::uint32_t millisecondsUntil(TimePoint deadline, TimePoint now)
{
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(remaining, 0, UINT32_MAX));
}

} // namespace rattanbeam::decisions
