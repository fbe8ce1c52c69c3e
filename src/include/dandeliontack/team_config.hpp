#pragma once

#include <cstdint>
#include <string>

namespace dandeliontack
{

/// A team and what its jobs may use at once over all pools, as operators
/// publish it.
struct team_config
{
    std::string name;
    std::uint64_t quota_processors = 0;
    std::uint64_t quota_memory_mb = 0;
    std::uint64_t quota_accelerators = 0;

    bool operator==(const team_config&) const = default;
};

} // namespace dandeliontack
