#pragma once

#include <dandeliontack/arrival_rate.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dandeliontack
{

/// Work that waits and can be in time is to be begun within this. A turn's
/// submissions have about a second more than their work takes, and a machine
/// needs as long to come.
inline constexpr std::chrono::milliseconds demand_horizon{1500};

/// What a pool needs and has, in whole hosts of its kind, as its owner sees
/// it. A task counts with the larger of its shares of a host's cores and
/// memory.
struct pool_demand
{
    std::string pool;
    /// Hosts' worth of tasks of limited time that run now and can be in time.
    double running = 0;
    /// Hosts' worth of tasks that run until they are cancelled.
    double lasting = 0;
    /// Host milliseconds within `demand_horizon` of such tasks that wait for
    /// room.
    double waiting_ms = 0;
    /// The same of submissions that can't end within their objective any more.
    double late_running = 0;
    double late_ms = 0;
    /// Host milliseconds that will arrive a second when a machine that is
    /// ordered now takes tasks.
    double arriving_ms = 0;
    /// What `arriving_ms` was worked out from, in the cell of this demand.
    arrival_levels arrivals;
    /// Hosts that may take tasks.
    std::uint32_t hosts = 0;
    /// Hosts that are being emptied or leave, and take no tasks.
    std::uint32_t leaving = 0;
    /// The fewest hosts on which all lasting tasks find a place; one more than
    /// there are while one waits.
    std::uint32_t lasting_hosts = 0;
    /// Hosts that run nothing.
    std::vector<std::string> idle;

    bool operator==(const pool_demand&) const = default;
};

/// By pool, how many of its hosts that are in use should be cleared, so that
/// their machines can join a pool that needs them more.
using lendings = std::map<std::string, std::uint32_t>;

/// Works out what will arrive in each pool of each cell, from what all cells
/// have seen of the pool: submissions are spread evenly over cells, and the
/// beginning of a turn is certain sooner where more of it is seen.
void expect_arrivals(
    std::vector<std::vector<pool_demand>>& cells,
    std::chrono::milliseconds lead);

} // namespace dandeliontack
