#include <dandeliontack/fleet_balance.hpp>

#include <algorithm>
#include <cmath>
#include <ranges>

namespace dandeliontack
{

namespace
{

using machine_list = std::vector<const listed_machine*>;

// The share of the platform's order rate limit that moves may use.
constexpr double move_order_share = 0.75;

bool may_leave_standby(
    const listed_machine& machine, const std::set<std::string>& pinned)
{
    return machine.state != machine_state::moving &&
           machine.state != machine_state::upkeep &&
           !pinned.contains(machine.name);
}

// The machines of a pool that run no task and may move.
machine_list idle_of(
    const pool_demand& demand, const std::vector<listed_machine>& machines,
    const std::set<std::string>& pinned)
{
    machine_list out;
    for (const auto& machine : machines)
        if (machine.pool == demand.pool && machine.state == machine_state::up &&
            !pinned.contains(machine.name) && !machine.host.empty() &&
            std::ranges::find(demand.idle, machine.host) != demand.idle.end())
            out.push_back(&machine);
    return out;
}

} // namespace

std::size_t max_moves_per_round(
    double orders_per_second, std::chrono::milliseconds interval)
{
    const double orders = orders_per_second * move_order_share *
                          std::chrono::duration<double>(interval).count();
    return std::max<std::size_t>(static_cast<std::size_t>(orders), 1);
}

void forecast_arrivals(
    std::vector<std::vector<pool_demand>>& cells,
    std::chrono::milliseconds lead)
{
    struct pooled
    {
        arrival_levels levels;
        double cells = 0;
    };
    std::map<std::string, pooled> pools;
    for (const auto& demand : cells | std::views::join)
    {
        auto& all = pools[demand.pool];
        all.levels += demand.arrivals;
        ++all.cells;
    }
    for (auto& demand : cells | std::views::join)
    {
        const auto& all = pools.at(demand.pool);
        // A cell whose own arrivals exceed its even share uses its own
        // forecast.
        demand.arriving_ms = std::max(
            all.levels.expected(lead) / all.cells,
            all.cells > 1 ? demand.arrivals.expected({}) : 0.0);
    }
}

// The state of one planning round.
struct fleet_balance::balance_round
{
    /// Machines above the pool's target size; negative for a deficit.
    std::map<std::string, std::int64_t> surplus;
    /// Machines above the pool's minimum size, which covers its long-running
    /// tasks; negative for a deficit.
    std::map<std::string, std::int64_t> floor_surplus;
    std::map<std::string, machine_list> idle;
    machine_list standby_machines;
    std::vector<machine_move> moves;
};

fleet_balance::fleet_balance(balance_terms terms) : terms_(terms) {}

void fleet_balance::forbid(const std::string& from, const std::string& to)
{
    forbidden_.emplace(from, to);
}

std::uint32_t fleet_balance::min_size(const pool_demand& demand) const
{
    return std::max(demand.long_running_hosts, terms_.least) + demand.draining;
}

std::uint32_t fleet_balance::target_size(const pool_demand& demand) const
{
    constexpr double second_ms = 1000;
    const double backlog =
        demand.running +
        demand.waiting_ms / static_cast<double>(terms_.horizon.count());
    // Late tasks that already run are left out: on average, half of a task's
    // run time remains, which is short.
    const double late =
        demand.late_ms / static_cast<double>(terms_.late_horizon.count());
    const double busy =
        std::max(backlog, demand.arriving_ms / second_ms) + late;
    const auto machines = static_cast<std::uint32_t>(
        std::ceil((busy + demand.long_running) * terms_.fragmentation));
    return std::max(machines + demand.draining, min_size(demand));
}

fleet_balance::balance_round fleet_balance::assess(
    const std::vector<pool_demand>& demands,
    const std::vector<listed_machine>& machines,
    const std::set<std::string>& standby,
    const std::set<std::string>& pinned) const
{
    balance_round out;
    for (const auto& machine : machines)
        if (standby.contains(machine.pool) &&
            may_leave_standby(machine, pinned))
            out.standby_machines.push_back(&machine);
    for (const auto& demand : demands)
    {
        const auto present =
            std::ranges::count_if(machines, [&](const listed_machine& m) {
                return m.pool == demand.pool &&
                       (m.state == machine_state::up ||
                        m.state == machine_state::moving);
            });
        out.surplus[demand.pool] = present - std::int64_t{target_size(demand)};
        out.floor_surplus[demand.pool] =
            present - std::int64_t{min_size(demand)};
        out.idle[demand.pool] = idle_of(demand, machines, pinned);
    }
    return out;
}

// Removes the first machine that may join the pool from the list and returns
// it; null if there is none.
const listed_machine* fleet_balance::take_machine(
    std::vector<const listed_machine*>& from, const std::string& to) const
{
    const auto found = std::ranges::find_if(from, [&](const auto* machine) {
        return !forbidden_.contains({machine->pool, to});
    });
    if (found == from.end())
        return nullptr;
    const auto* machine = *found;
    from.erase(found);
    return machine;
}

// Records since when each pool has had a surplus.
void fleet_balance::track_surplus(const balance_round& now, boot_time time)
{
    for (const auto& [pool, spare] : now.surplus)
        if (spare > 0)
            surplus_since_.try_emplace(pool, time);
        else
            surplus_since_.erase(pool);
}

// Finds the pool with the largest surplus that has idle machines and has had a
// surplus for at least `min_duration`. Returns its surplus, or null if there is
// none.
std::int64_t* fleet_balance::find_donor(
    balance_round& now, std::chrono::milliseconds min_duration, boot_time time,
    std::string& name) const
{
    std::int64_t* most = nullptr;
    for (auto& [pool, spare] : now.surplus)
        if (spare > 0 && !now.idle[pool].empty() &&
            time - surplus_since_.at(pool) >= min_duration &&
            (!most || spare > *most))
        {
            most = &spare;
            name = pool;
        }
    return most;
}

// Assigns one machine at a time. Sources in order of preference: a pool whose
// load peak is over, which saves a move through standby; standby; any pool with
// a surplus. Pools that can't fit their long-running tasks get machines first,
// as that need does not pass with a peak, then the pool with the largest
// deficit.
void fleet_balance::cover_deficits(balance_round& now, boot_time time) const
{
    while (now.moves.size() < terms_.max_moves)
    {
        const auto receiver =
            std::ranges::min_element(now.surplus, {}, [&](const auto& item) {
                return std::pair(
                    std::min<std::int64_t>(now.floor_surplus[item.first], 0),
                    item.second);
            });
        if (receiver == now.surplus.end() || receiver->second >= 0)
            return;
        std::string from;
        auto* spare = find_donor(now, terms_.donor_delay, time, from);
        const auto* machine =
            spare ? take_machine(now.idle[from], receiver->first) : nullptr;
        if (!machine)
        {
            spare = nullptr;
            machine = take_machine(now.standby_machines, receiver->first);
        }
        if (!machine)
        {
            spare = find_donor(now, {}, time, from);
            machine =
                spare ? take_machine(now.idle[from], receiver->first) : nullptr;
        }
        if (!machine)
            return;
        if (spare)
            --*spare;
        now.moves.push_back({*machine, receiver->first});
        ++receiver->second;
        ++now.floor_surplus[receiver->first];
    }
}

// Covers the remaining deficit with busy hosts of pools that have a surplus but
// no idle machines left; these are evacuated before they move. Late work of
// such a pool continues on the hosts that it keeps.
void fleet_balance::plan_lending(const balance_round& now)
{
    lent_.clear();
    std::int64_t deficit = 0;
    for (const auto& [pool, spare] : now.surplus)
        deficit += std::max<std::int64_t>(-spare, 0);
    std::vector<std::pair<std::int64_t, std::string>> donors;
    for (const auto& [pool, spare] : now.surplus)
        if (spare > 0 && now.idle.at(pool).empty())
            donors.emplace_back(spare, pool);
    std::ranges::sort(donors, std::greater<>());
    for (const auto& [spare, pool] : donors)
    {
        const auto count = std::min(spare, deficit);
        if (count <= 0)
            return;
        lent_[pool] = static_cast<std::uint32_t>(count);
        deficit -= count;
    }
}

const lent_hosts& fleet_balance::lent() const
{
    return lent_;
}

// Moves idle machines to standby from pools whose surplus has persisted for
// `balance_terms::standby_delay`.
void fleet_balance::release_to_standby(
    balance_round& now, const std::string& standby, boot_time time)
{
    for (auto& [pool, spare] : now.surplus)
    {
        const auto since = surplus_since_.find(pool);
        while (since != surplus_since_.end() &&
               time - since->second >= terms_.standby_delay && spare > 0 &&
               now.moves.size() < terms_.max_moves)
        {
            const auto* machine = take_machine(now.idle[pool], standby);
            if (!machine)
                break;
            now.moves.push_back({*machine, standby});
            --spare;
        }
    }
}

std::vector<machine_move> fleet_balance::plan(
    const std::vector<pool_demand>& demands,
    const std::vector<listed_machine>& machines,
    const std::set<std::string>& standby, const std::set<std::string>& pinned,
    boot_time now)
{
    auto current = assess(demands, machines, standby, pinned);
    track_surplus(current, now);
    cover_deficits(current, now);
    plan_lending(current);
    if (!standby.empty())
        release_to_standby(current, *standby.begin(), now);
    return std::move(current.moves);
}

} // namespace dandeliontack
