#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

/// Time as a value: decisions never read a clock, they are told `now`.
namespace rattanbeam::decisions
{

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// Earlier than anything that can have happened: the time of what was never seen.
inline constexpr TimePoint longAgo{-std::chrono::hours(24 * 365 * 10)};

/// Whole milliseconds from `now` to `deadline`, never negative. This is how a deadline crosses the wire, since
/// instances share no clock.
inline std::uint32_t millisecondsUntil(TimePoint deadline, TimePoint now)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(left, 0, UINT32_MAX));
}

} // namespace rattanbeam::decisions
