#pragma once

#include <algorithm>
#include <cstdint>

namespace dandeliontack
{

/// What a job takes of a host or of a quota, or what a host has to give.
struct job_size
{
    std::uint64_t processors = 0;
    std::uint64_t memory_mb = 0;
    std::uint64_t accelerators = 0;

    bool operator==(const job_size&) const = default;
};

/// The members of a size, for loops over all three.
constexpr std::uint64_t job_size::* job_size_members[] = {
    &job_size::processors, &job_size::memory_mb, &job_size::accelerators};

/// Whether a size is at most the room in every member.
inline bool fits(const job_size& size, const job_size& room)
{
    return std::ranges::all_of(job_size_members, [&](auto member) {
        return size.*member <= room.*member;
    });
}

/// Applies a function of two numbers to each member.
template <class Function>
job_size combine(const job_size& a, const job_size& b, Function function)
{
    job_size result;
    for (const auto member : job_size_members)
        result.*member = function(a.*member, b.*member);
    return result;
}

inline job_size operator+(const job_size& a, const job_size& b)
{
    return combine(a, b, [](auto x, auto y) { return x + y; });
}

/// The difference, and 0 where it would be negative.
inline job_size remaining(const job_size& room, const job_size& taken)
{
    return combine(
        room, taken, [](auto x, auto y) { return x > y ? x - y : 0; });
}

/// The larger of the two in each member.
inline job_size larger_of(const job_size& a, const job_size& b)
{
    return combine(a, b, [](auto x, auto y) { return std::max(x, y); });
}

} // namespace dandeliontack
