#include "fleet_plan.hpp"
#include <dandeliontack/wave_policy.hpp>

#include <algorithm>
#include <iterator>

namespace dandeliontack
{

namespace
{

// What a pool has and wants, in hosts.
struct pool_need
{
    /// In service, coming, or back soon from maintenance.
    std::int64_t expected = 0;
    /// For its promise and its reserve.
    std::int64_t base = 0;
    /// With what its waves want besides.
    std::int64_t wanted = 0;
};

using home_index = std::map<std::string, std::string>;

home_index index_homes(const config_state& config)
{
    home_index homes;
    for (const auto& [name, pool] : config.pools)
        for (const auto& host : pool.config.hosts)
            homes.emplace(host, name);
    return homes;
}

std::map<std::string, std::int64_t> count_expected(const fleet_state& fleet)
{
    std::map<std::string, std::int64_t> expected;
    for (const auto& [name, host] : fleet.hosts)
    {
        if (host.purpose == disruption::move)
            ++expected[host.to_pool];
        else if (in_service(host) || host.purpose == disruption::maintenance)
            ++expected[host.pool];
    }
    return expected;
}

std::uint64_t largest_rack(const pool_capacity& pool)
{
    std::uint64_t largest = 1;
    for (const auto& [rack, count] : pool.rack_in_service)
        largest = std::max(largest, count);
    return largest;
}

// Hosts that the waves over a pool make it want beyond promise and reserve.
std::int64_t wanted_by_waves(
    const fleet_round& round, const pool_config& pool, std::int64_t slack)
{
    std::uint64_t most = 0;
    for (const auto& [name, wave] : round.s.config.waves)
    {
        const auto& progress = round.s.fleet.waves.at(name);
        const auto& pools = wave.config.pools;
        const bool idle = progress.ended || wave.config.paused ||
                          wave.config.aborted ||
                          progress.halted_revision == wave.revision ||
                          wave.config.policy != wave_policy_kind::widening ||
                          std::ranges::find(pools, pool.name) == pools.end();
        if (idle)
            continue;
        const auto left =
            std::ranges::count_if(pool.hosts, [&](const std::string& host) {
                return !progress.done.contains(host) &&
                       !progress.failed.contains(host) &&
                       round.s.fleet.hosts.at(host).phase != host_phase::failed;
            });
        const lending_terms terms{
            static_cast<std::uint64_t>(left), slack,
            largest_rack(round.capacity.at(pool.name)),
            pool.drain_time + wave.config.return_bound / 2};
        most = std::max(most, hosts_to_borrow(wave.config, terms));
    }
    return static_cast<std::int64_t>(most);
}

std::map<std::string, pool_need>
measure_needs(const fleet_round& round, const home_index& homes)
{
    std::map<std::string, std::int64_t> borrowed;
    for (const auto& [name, host] : round.s.fleet.hosts)
    {
        const auto& in =
            host.purpose == disruption::move ? host.to_pool : host.pool;
        const auto home = homes.find(name);
        if (!in.empty() && home != homes.end() && home->second != in)
            ++borrowed[in];
    }
    const auto expected = count_expected(round.s.fleet);
    std::map<std::string, pool_need> needs;
    for (const auto& [name, pool] : round.s.config.pools)
    {
        const auto has = expected.find(name);
        auto& need = needs[name];
        need.expected = has == expected.end() ? 0 : has->second;
        const auto promised = static_cast<std::int64_t>(round.promised(name));
        need.base =
            promised + static_cast<std::int64_t>(pool.config.reserve_hosts);
        need.wanted = need.base;
        if (pool.config.spare || !round.capacity.contains(name))
            continue;
        const auto own = need.expected - borrowed[name];
        const auto rack =
            static_cast<std::int64_t>(largest_rack(round.capacity.at(name)));
        const auto slack =
            own - (pool.config.reserve_rack ? promised + rack : need.base);
        const auto lent = wanted_by_waves(round, pool.config, slack);
        need.wanted = std::max(need.wanted, lent == 0 ? 0 : own + lent);
    }
    return needs;
}

// Lends the host of a spare pool whose rack the borrower has least of.
bool lend_one(fleet_round& round, const std::string& to)
{
    const auto& racks = round.capacity[to].rack_in_service;
    const auto in_rack = [&](const auto* item) {
        const auto found = racks.find(item->second.rack);
        return found == racks.end() ? 0 : found->second;
    };
    std::vector<const fleet_state::host_entry*> found;
    for (const auto& item : round.s.fleet.hosts)
    {
        const auto pool = round.s.config.pools.find(item.second.pool);
        if (pool != round.s.config.pools.end() && pool->second.config.spare &&
            pool->first != to && in_service(item.second))
            found.push_back(&item);
    }
    std::ranges::stable_sort(found, {}, in_rack);
    return std::ranges::any_of(found, [&](const auto* item) {
        return round.claim({item->first, disruption::move, {}, to}, 0);
    });
}

// Whether a host away from home has stayed long enough and isn't needed.
bool may_return(
    const fleet_round& round, const host_record& host, const std::string& home,
    const pool_need& need, const pool_need& home_need)
{
    const auto& pools = round.s.config.pools;
    const auto from = pools.find(host.pool);
    // An operator's move is not a loan: neither pool is a spare one.
    if (from == pools.end() || !pools.at(home).config.spare)
        return true;
    if (home_need.expected < home_need.wanted)
        return true;
    return need.expected > need.wanted &&
           round.input.now - host.since >= from->second.config.borrow_time;
}

// Moves hosts home that are elsewhere; those that no pool names any more leave
// the pool that they are in.
void send_home(
    fleet_round& round, const home_index& homes,
    std::map<std::string, pool_need>& needs)
{
    for (const auto& [name, host] : round.s.fleet.hosts)
    {
        const auto found = homes.find(name);
        const auto home = found == homes.end() ? std::string() : found->second;
        if (home == host.pool || !in_service(host))
            continue;
        auto& need = needs[host.pool];
        if (!home.empty() && !may_return(round, host, home, need, needs[home]))
            continue;
        if (!round.claim({name, disruption::move, {}, home}, 0))
            continue;
        --need.expected;
        if (!home.empty())
            ++needs[home].expected;
    }
}

} // namespace

void plan_moves(fleet_round& round)
{
    const auto homes = index_homes(round.s.config);
    auto needs = measure_needs(round, homes);
    send_home(round, homes, needs);
    // Every pool's promise goes before any pool's wave.
    for (const auto level : {&pool_need::base, &pool_need::wanted})
        for (auto& [name, need] : needs)
        {
            const auto pool = round.s.config.pools.find(name);
            if (pool == round.s.config.pools.end() || pool->second.config.spare)
                continue;
            while (need.expected < need.*level && lend_one(round, name))
                ++need.expected;
        }
}

} // namespace dandeliontack
