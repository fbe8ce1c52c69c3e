#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace dandeliontack
{

/// A random identity of 128 bits that a process takes at each start.
struct incarnation
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const incarnation&) const = default;
};

/// Draws a new identity from the system's source of randomness.
incarnation make_incarnation();

/// 32 hexadecimal digits.
std::string to_string(const incarnation& value);

} // namespace dandeliontack
