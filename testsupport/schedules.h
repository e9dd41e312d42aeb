#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <vector>

namespace rattanbeam::test
{

/// Generates one random choice for each step of a schedule. The fixed size makes rapidcheck draw from the whole range from the
/// first run on; otherwise ranges start narrow and widen with each run.
inline rc::Gen<std::vector<std::uint32_t>> scheduleChoices(std::size_t stepCount)
{
    // rapidcheck's ranges are complete at this size.
    constexpr int nominalSize = 100;
    constexpr std::uint32_t choiceUpperBound = 1U << 24U;
    return rc::gen::container<std::vector<std::uint32_t>>(
        stepCount, rc::gen::resize(nominalSize, rc::gen::inRange<std::uint32_t>(0, choiceUpperBound)));
}

} // namespace rattanbeam::test
