#pragma once

#include <dandeliontack/arrival_rate.hpp>
#include <dandeliontack/host_departure.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dandeliontack
{

/// Waiting work that can still meet its objective is to start within this time.
/// Submissions of a load peak have about one second of slack beyond their run
/// time, and a machine takes as long to join a pool.
inline constexpr std::chrono::milliseconds demand_horizon{1500};

/// Demand and capacity of a pool as its owner sees them, in units of one of the
/// pool's hosts. A task counts as the larger of its shares of a host's cores
/// and memory.
struct pool_demand
{
    std::string pool;
    /// Running tasks of bounded duration that can meet their objective, in
    /// hosts.
    double running = 0;
    /// Long-running tasks, which run until they are cancelled, in hosts.
    double long_running = 0;
    /// Host milliseconds within `demand_horizon` of tasks of bounded duration
    /// that wait for resources and can meet their objective.
    double waiting_ms = 0;
    /// As `running` and `waiting_ms`, for submissions that can no longer meet
    /// their objective.
    double late_running = 0;
    double late_ms = 0;
    /// Forecast of the arriving work, in host milliseconds per second, for the
    /// time at which a machine ordered now can run tasks.
    double arriving_ms = 0;
    /// Measured arrival rates in this cell, the input of `arriving_ms`.
    arrival_levels arrivals;
    /// Hosts that may take tasks.
    std::uint32_t hosts = 0;
    /// Hosts that are draining or being evacuated and get no new tasks.
    std::uint32_t draining = 0;
    /// The minimum number of hosts that fits all long-running tasks; one more
    /// than the present hosts while such a task waits.
    std::uint32_t long_running_hosts = 0;
    /// Ids of hosts that run no task.
    std::vector<std::string> idle;
    /// When the owner said so; no epoch from a node of an earlier version.
    owner_moment answered;

    bool operator==(const pool_demand&) const = default;
};

/// The number of busy hosts that each pool should evacuate so that their
/// machines can move to a pool that needs them more.
using lent_hosts = std::map<std::string, std::uint32_t>;

/// Sets `arriving_ms` of each pool in each cell from the pool's arrival rates
/// summed over all cells. Submissions are spread evenly over cells, and a load
/// peak becomes statistically certain sooner on the larger sample.
void forecast_arrivals(
    std::vector<std::vector<pool_demand>>& cells,
    std::chrono::milliseconds lead);

} // namespace dandeliontack
