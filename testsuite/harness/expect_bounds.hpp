#pragma once

#include "process_usage.hpp"

#include <gtest/gtest.h>

#include <iostream>

namespace dandeliontack::harness
{

/// Expects that a process kept within the memory and the descriptors of its
/// machine, and prints what it used.
inline void expect_within_bounds(const small_machine& machine)
{
    const auto used = machine.used();
    EXPECT_LE(used.peak_bytes, machine.most_bytes()) << to_string(used);
    EXPECT_LE(machine.most_descriptors(), small_machine::descriptors);
    std::cout << to_string(used) << ", " << machine.most_descriptors()
              << " at most\n";
}

} // namespace dandeliontack::harness
