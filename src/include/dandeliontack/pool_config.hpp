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
    /// The hosts whose home this pool is. A host that belongs to another pool
    /// is moved here within the budgets.
    std::vector<std::string> hosts;
    /// How many hosts must stay in service through maintenance.
    std::uint64_t budget_hosts = 0;
    /// How old unconfirmed state may get before `when_stale` applies.
    std::chrono::milliseconds staleness_bound = std::chrono::seconds(10);
    stale_policy when_stale = stale_policy::serve;
    /// The same as a share of `hosts` in percent; the larger one holds.
    std::uint64_t budget_share = 0;
    /// Times with a larger budget, each as `parse_budget_window` reads it.
    std::vector<std::string> budget_windows = {};
    /// Hosts kept above the budget while a wave runs, for hosts that fail.
    std::uint64_t reserve_hosts = 0;
    /// Whether a wave must leave the budget whole with one more rack lost.
    bool reserve_rack = false;
    /// Whether other pools may borrow from this one.
    bool spare = false;
    /// How long a host that gets no new work needs to finish what runs.
    std::chrono::milliseconds drain_time = std::chrono::seconds(10);
    /// How long a borrowed host stays at least.
    std::chrono::milliseconds borrow_time = std::chrono::minutes(10);

    bool operator==(const pool_config&) const = default;
};

} // namespace dandeliontack
