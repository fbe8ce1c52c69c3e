#include <dandeliontack/fleet_balance.hpp>

#include <algorithm>
#include <cmath>

namespace dandeliontack
{

namespace
{

// Machines of a pool, by what they are good for.
struct pool_machines
{
    std::uint32_t present = 0;
    std::vector<const listed_machine*> idle;
};

} // namespace

fleet_balance::fleet_balance(balance_terms terms) : terms_(terms) {}

void fleet_balance::forbid(const std::string& from, const std::string& to)
{
    forbidden_.emplace(from, to);
}

std::uint32_t fleet_balance::wanted(const pool_demand& demand) const
{
    constexpr double second_ms = 1000;
    const double backlog =
        demand.running +
        demand.waiting_ms / static_cast<double>(terms_.horizon.count());
    const double busy = std::max(backlog, demand.arriving_ms / second_ms);
    const auto machines = static_cast<std::uint32_t>(
        std::ceil((busy + demand.lasting) * terms_.fragmentation));
    return std::max({machines, demand.lasting_hosts, terms_.least}) +
           demand.leaving;
}

std::vector<machine_move> fleet_balance::plan(
    const std::vector<pool_demand>& demands,
    const std::vector<listed_machine>& machines,
    const std::set<std::string>& standby, const std::set<std::string>& kept,
    boot_time now)
{
    std::map<std::string, pool_machines> pools;
    std::vector<const listed_machine*> off;
    for (const auto& machine : machines)
    {
        auto& pool = pools[machine.pool];
        if (machine.state == machine_state::up ||
            machine.state == machine_state::moving)
            ++pool.present;
        if (standby.contains(machine.pool) &&
            machine.state != machine_state::moving &&
            machine.state != machine_state::upkeep &&
            !kept.contains(machine.name))
            off.push_back(&machine);
    }
    for (const auto& demand : demands)
        for (const auto& machine : machines)
            if (machine.pool == demand.pool &&
                machine.state == machine_state::up &&
                !kept.contains(machine.name) && !machine.host.empty() &&
                std::ranges::find(demand.idle, machine.host) !=
                    demand.idle.end())
                pools[demand.pool].idle.push_back(&machine);

    std::vector<machine_move> moves;
    std::map<std::string, std::int64_t> surplus;
    for (const auto& demand : demands)
        surplus[demand.pool] =
            std::int64_t{pools[demand.pool].present} - wanted(demand);
    const auto may_move = [&](const listed_machine* machine,
                              const std::string& to) {
        return !forbidden_.contains({machine->pool, to});
    };
    const auto take = [&](std::vector<const listed_machine*>& from,
                          const std::string& to) -> const listed_machine* {
        const auto found = std::ranges::find_if(
            from, [&](const auto* m) { return may_move(m, to); });
        if (found == from.end())
            return nullptr;
        const auto* machine = *found;
        from.erase(found);
        return machine;
    };
    // The pool that lacks most takes first, one machine at a time: from
    // standby, else from the pool that has most to spare.
    while (moves.size() < terms_.most_moves)
    {
        const auto needy = std::ranges::min_element(
            surplus, {}, [](const auto& item) { return item.second; });
        if (needy == surplus.end() || needy->second >= 0)
            break;
        const auto* machine = take(off, needy->first);
        if (!machine)
        {
            const auto giver =
                std::ranges::max_element(surplus, {}, [&](const auto& item) {
                    return pools[item.first].idle.empty() ? std::int64_t{0}
                                                          : item.second;
                });
            if (giver->second <= 0 || pools[giver->first].idle.empty())
                break;
            machine = take(pools[giver->first].idle, needy->first);
            if (!machine)
                break;
            --giver->second;
        }
        moves.push_back({*machine, needy->first});
        ++needy->second;
    }
    if (standby.empty())
        return moves;
    for (auto& [pool, spare] : surplus)
    {
        if (spare <= 0)
        {
            surplus_since_.erase(pool);
            continue;
        }
        const auto since = surplus_since_.try_emplace(pool, now).first->second;
        auto& idle = pools[pool].idle;
        while (now - since >= terms_.surplus && spare > 0 && !idle.empty() &&
               moves.size() < terms_.most_moves)
        {
            const auto* machine = take(idle, *standby.begin());
            if (!machine)
                break;
            moves.push_back({*machine, *standby.begin()});
            --spare;
        }
    }
    return moves;
}

} // namespace dandeliontack
