#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace dandeliontack
{

/// What a node does for a pool when it can't confirm that its state is fresh.
enum class stale_policy : std::uint8_t
{
    serve,
    refuse
};

/// A pool of hosts, as operators publish it.
struct pool_config
{
    std::string name;
    std::vector<std::string> hosts;
    /// How many hosts must stay in service through maintenance.
    std::uint64_t budget_hosts = 0;
    /// How old unconfirmed state may get before `when_stale` applies.
    std::chrono::milliseconds staleness_bound = std::chrono::seconds(10);
    stale_policy when_stale = stale_policy::serve;

    bool operator==(const pool_config&) const = default;
};

} // namespace dandeliontack
