#pragma once

#include <cstdint>
#include <string_view>

namespace dandeliontack
{

/// How many of a worker's slots one of `sharers` entry processes may use. The
/// shares of all of them add up to exactly `slots`; what doesn't divide goes
/// to different processes for different workers.
std::uint64_t slot_share(
    std::uint64_t slots, std::uint64_t sharers, std::uint64_t index,
    std::string_view worker);

} // namespace dandeliontack
