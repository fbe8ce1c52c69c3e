#pragma once

#include <cstdint>
#include <string_view>

namespace dandeliontack
{

/// A hash that is the same on every node and in every version: FNV-1a, with
/// the last characters spread over all bits.
constexpr std::uint64_t stable_hash(std::string_view text)
{
    constexpr std::uint64_t basis = 14695981039346656037ULL;
    constexpr std::uint64_t prime = 1099511628211ULL;
    constexpr unsigned half = 32;
    std::uint64_t hash = basis;
    for (const unsigned char c : text)
        hash = (hash ^ c) * prime;
    hash ^= hash >> half;
    return hash * prime;
}

} // namespace dandeliontack
