// Generated schedules for property tests: a step has a kind and two numbers that select its
// details.

#ifndef TANAGERSPUR_TESTING_STEPS_HPP
#define TANAGERSPUR_TESTING_STEPS_HPP

#include <rapidcheck.h>

#include <cstdint>
#include <ostream>
#include <vector>

namespace tanagerspur::testing
{

struct step
{
    int kind = 0;
    std::uint32_t first = 0;
    std::uint32_t second = 0;
};

// RapidCheck calls a function of this name. NOLINTNEXTLINE(readability-identifier-naming)
inline void showValue(const step& each, std::ostream& out)
{
    out << "{" << each.kind << "," << each.first << "," << each.second << "}";
}

// Generates long schedules with kinds from 0 to kinds - 1. RapidCheck scales ranges with its size
// parameter, so each step is generated at the nominal size to cover the whole ranges.
inline rc::Gen<std::vector<step>> make_steps(int kinds)
{
    const auto numbers = rc::gen::inRange<std::uint32_t>(0, 1'000'000);
    const auto one = rc::gen::build<step>(rc::gen::set(&step::kind, rc::gen::inRange(0, kinds)),
                                          rc::gen::set(&step::first, numbers),
                                          rc::gen::set(&step::second, numbers));
    return rc::gen::scale(
        4.0, rc::gen::container<std::vector<step>>(rc::gen::resize(rc::kNominalSize, one)));
}

} // namespace tanagerspur::testing

#endif
