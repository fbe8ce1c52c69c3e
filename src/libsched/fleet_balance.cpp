#include <dandeliontack/fleet_balance.hpp>

#include <algorithm>
#include <cmath>
#include <ranges>

namespace dandeliontack
{

namespace
{

using machine_list = std::vector<const listed_machine*>;

// The share of the orders that the platform takes which moves may use.
constexpr double share_for_moves = 0.75;

bool may_leave_standby(
    const listed_machine& machine, const std::set<std::string>& kept)
{
    return machine.state != machine_state::moving &&
           machine.state != machine_state::upkeep &&
           !kept.contains(machine.name);
}

// The machines of a pool that run nothing and may move.
machine_list idle_of(
    const pool_demand& demand, const std::vector<listed_machine>& machines,
    const std::set<std::string>& kept)
{
    machine_list out;
    for (const auto& machine : machines)
        if (machine.pool == demand.pool && machine.state == machine_state::up &&
            !kept.contains(machine.name) && !machine.host.empty() &&
            std::ranges::find(demand.idle, machine.host) != demand.idle.end())
            out.push_back(&machine);
    return out;
}

} // namespace

std::size_t
moves_a_round(double orders_per_second, std::chrono::milliseconds round)
{
    const double orders = orders_per_second * share_for_moves *
                          std::chrono::duration<double>(round).count();
    return std::max<std::size_t>(static_cast<std::size_t>(orders), 1);
}

void expect_arrivals(
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
        // A cell that has more than its share keeps what it sees itself.
        demand.arriving_ms = std::max(
            all.levels.expected(lead) / all.cells,
            all.cells > 1 ? demand.arrivals.expected({}) : 0.0);
    }
}

// What a round of planning looks at.
struct fleet_balance::round
{
    /// Machines more than a pool needs; negative where it lacks some.
    std::map<std::string, std::int64_t> surplus;
    /// Machines more than a pool needs for its lasting tasks alone.
    std::map<std::string, std::int64_t> floor_surplus;
    std::map<std::string, machine_list> idle;
    machine_list off;
    std::vector<machine_move> moves;
};

fleet_balance::fleet_balance(balance_terms terms) : terms_(terms) {}

void fleet_balance::forbid(const std::string& from, const std::string& to)
{
    forbidden_.emplace(from, to);
}

std::uint32_t fleet_balance::floor_of(const pool_demand& demand) const
{
    return std::max(demand.lasting_hosts, terms_.least) + demand.leaving;
}

std::uint32_t fleet_balance::wanted(const pool_demand& demand) const
{
    constexpr double second_ms = 1000;
    const double backlog =
        demand.running +
        demand.waiting_ms / static_cast<double>(terms_.horizon.count());
    // What runs late goes on for some half of a task, which is little.
    const double late =
        demand.late_ms / static_cast<double>(terms_.late_horizon.count());
    const double busy =
        std::max(backlog, demand.arriving_ms / second_ms) + late;
    const auto machines = static_cast<std::uint32_t>(
        std::ceil((busy + demand.lasting) * terms_.fragmentation));
    return std::max(machines + demand.leaving, floor_of(demand));
}

fleet_balance::round fleet_balance::look(
    const std::vector<pool_demand>& demands,
    const std::vector<listed_machine>& machines,
    const std::set<std::string>& standby,
    const std::set<std::string>& kept) const
{
    round out;
    for (const auto& machine : machines)
        if (standby.contains(machine.pool) && may_leave_standby(machine, kept))
            out.off.push_back(&machine);
    for (const auto& demand : demands)
    {
        const auto present =
            std::ranges::count_if(machines, [&](const listed_machine& m) {
                return m.pool == demand.pool &&
                       (m.state == machine_state::up ||
                        m.state == machine_state::moving);
            });
        out.surplus[demand.pool] = present - std::int64_t{wanted(demand)};
        out.floor_surplus[demand.pool] =
            present - std::int64_t{floor_of(demand)};
        out.idle[demand.pool] = idle_of(demand, machines, kept);
    }
    return out;
}

// Takes the first machine that may join the pool off the list; null where
// there is none.
const listed_machine* fleet_balance::take(
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

// Since when each pool has had more than it needs.
void fleet_balance::note_surplus(const round& now, boot_time time)
{
    for (const auto& [pool, spare] : now.surplus)
        if (spare > 0)
            surplus_since_.try_emplace(pool, time);
        else
            surplus_since_.erase(pool);
}

// The pool that has most to spare for longer than `least`, and runs nothing on
// it; null where there is none.
std::int64_t* fleet_balance::giver(
    round& now, std::chrono::milliseconds least, boot_time time,
    std::string& name) const
{
    std::int64_t* most = nullptr;
    for (auto& [pool, spare] : now.surplus)
        if (spare > 0 && !now.idle[pool].empty() &&
            time - surplus_since_.at(pool) >= least && (!most || spare > *most))
        {
            most = &spare;
            name = pool;
        }
    return most;
}

// One machine at a time: from the pool whose turn is over, which saves the way
// through standby, then from standby, else from any pool with more than it
// needs now. Pools without a place for their lasting tasks take first, which
// wait for no turn, then the pool that lacks most.
void fleet_balance::fill(round& now, boot_time time) const
{
    while (now.moves.size() < terms_.most_moves)
    {
        const auto needy =
            std::ranges::min_element(now.surplus, {}, [&](const auto& item) {
                return std::pair(
                    std::min<std::int64_t>(now.floor_surplus[item.first], 0),
                    item.second);
            });
        if (needy == now.surplus.end() || needy->second >= 0)
            return;
        std::string from;
        auto* spare = giver(now, terms_.ebb, time, from);
        const auto* machine =
            spare ? take(now.idle[from], needy->first) : nullptr;
        if (!machine)
        {
            spare = nullptr;
            machine = take(now.off, needy->first);
        }
        if (!machine)
        {
            spare = giver(now, {}, time, from);
            machine = spare ? take(now.idle[from], needy->first) : nullptr;
        }
        if (!machine)
            return;
        if (spare)
            --*spare;
        now.moves.push_back({*machine, needy->first});
        ++needy->second;
        ++now.floor_surplus[needy->first];
    }
}

// Machines that run nothing were given already; what else a pool has to spare
// is cleared first. Late work goes on in what it keeps.
void fleet_balance::lend(const round& now)
{
    lent_.clear();
    std::int64_t lacking = 0;
    for (const auto& [pool, spare] : now.surplus)
        lacking += std::max<std::int64_t>(-spare, 0);
    std::vector<std::pair<std::int64_t, std::string>> givers;
    for (const auto& [pool, spare] : now.surplus)
        if (spare > 0 && now.idle.at(pool).empty())
            givers.emplace_back(spare, pool);
    std::ranges::sort(givers, std::greater<>());
    for (const auto& [spare, pool] : givers)
    {
        const auto count = std::min(spare, lacking);
        if (count <= 0)
            return;
        lent_[pool] = static_cast<std::uint32_t>(count);
        lacking -= count;
    }
}

const lendings& fleet_balance::lent() const
{
    return lent_;
}

// Sends to standby what has been more than enough for a while.
void fleet_balance::release(
    round& now, const std::string& standby, boot_time time)
{
    for (auto& [pool, spare] : now.surplus)
    {
        const auto since = surplus_since_.find(pool);
        while (since != surplus_since_.end() &&
               time - since->second >= terms_.surplus && spare > 0 &&
               now.moves.size() < terms_.most_moves)
        {
            const auto* machine = take(now.idle[pool], standby);
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
    const std::set<std::string>& standby, const std::set<std::string>& kept,
    boot_time now)
{
    auto current = look(demands, machines, standby, kept);
    note_surplus(current, now);
    fill(current, now);
    lend(current);
    if (!standby.empty())
        release(current, *standby.begin(), now);
    return std::move(current.moves);
}

} // namespace dandeliontack
