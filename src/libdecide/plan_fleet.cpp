#include "fleet_plan.hpp"

#include <algorithm>
#include <utility>

namespace dandeliontack
{

namespace
{

// The longest that a disruption of the pool's hosts lasts under any wave.
std::chrono::milliseconds
longest_disruption(const state& s, const pool_config& pool)
{
    constexpr auto purpose = disruption::maintenance;
    auto longest = disruption_bound(pool, purpose, nullptr);
    for (const auto& [name, wave] : s.config.waves)
        longest =
            std::max(longest, disruption_bound(pool, purpose, &wave.config));
    return longest;
}

} // namespace

fleet_round::fleet_round(const state& from, const planning_input& seen)
    : s(from), input(seen), capacity(measure_pools(from.fleet))
{
    const auto until = [&](std::chrono::milliseconds bound) {
        return input.now + bound;
    };
    for (const auto& [name, pool] : s.config.pools)
    {
        const auto& config = pool.config;
        promised_.emplace(
            name, promised_hosts(
                      config, input.now, until(longest_disruption(s, config))));
        const auto away = disruption_bound(config, disruption::move, nullptr);
        promised_long_.emplace(
            name, promised_hosts(config, input.now, until(away)));
    }
}

std::uint64_t
fleet_round::promised(const std::string& pool, disruption purpose) const
{
    const auto& of =
        purpose == disruption::maintenance ? promised_ : promised_long_;
    const auto found = of.find(pool);
    return found == of.end() ? 0 : found->second;
}

bool fleet_round::claim(const disruption_claimed& e, std::uint64_t reserve)
{
    const auto& host = s.fleet.hosts.at(e.host);
    if (!in_service(host) || claimed_.contains(e.host))
        return false;
    auto& pool = capacity[host.pool];
    if (host.pool.empty())
    {
        // It is capacity of no pool, so no budget speaks against it.
        claimed_.insert(e.host);
        proposals.emplace_back(e);
        return true;
    }
    keep_level keep{promised(host.pool, e.purpose), false};
    const auto config = s.config.pools.find(host.pool);
    if (config != s.config.pools.end())
        keep = level_of(config->second.config, keep.hosts, e.purpose);
    keep.hosts += reserve;
    if (!may_disrupt(pool, keep, host.rack))
        return false;
    disrupt(pool, host.rack);
    claimed_.insert(e.host);
    proposals.emplace_back(e);
    return true;
}

std::vector<event_body> plan_fleet(const state& s, const planning_input& input)
{
    // Decisions wait until the state shows what the list says.
    auto observed = plan_observations(s, input);
    if (!observed.empty())
        return observed;
    fleet_round round(s, input);
    plan_advances(round);
    plan_moves(round);
    plan_waves(round);
    return std::move(round.proposals);
}

} // namespace dandeliontack
