#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <vector>

namespace rattanbeam::test
{

/// Choices for the steps of a schedule: many, and spread over all values from the first run on.
inline rc::Gen<std::vector<std::uint32_t>> scheduleOf(std::size_t steps)
{
    constexpr int fullRange = 100;
    constexpr std::uint32_t mostChoice = 1U << 24U;
    return rc::gen::container<std::vector<std::uint32_t>>(steps,
                                                          rc::gen::resize(fullRange, rc::gen::inRange<std::uint32_t>(0, mostChoice)));
}

} // namespace rattanbeam::test
