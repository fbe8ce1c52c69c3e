#include "certify.hpp"
#include "domains.hpp"
#include <dandeliontack/fleet_budget.hpp>

#include <algorithm>
#include <bit>

namespace dandeliontack
{

namespace
{

// Whether a host of the pool can ever be taken out of service.
bool has_room(const config_state& s, const pool_config& pool)
{
    // The least that it promises at any time.
    auto base = pool;
    base.budget_windows.clear();
    const auto promised = promised_hosts(base, {}, {});
    return promised < pool.hosts.size() ||
           std::ranges::any_of(
               s.pools,
               [&](const auto& item) {
                   return item.second.config.spare && item.first != pool.name;
               });
}

} // namespace

std::string subject_of(const wave_config& config)
{
    return "wave " + config.name;
}

std::string certify(const state& s, const wave_config& config)
{
    const auto unknown =
        std::ranges::find_if(config.pools, [&](const std::string& pool) {
            return !s.config.pools.contains(pool);
        });
    if (unknown != config.pools.end())
        return "there is no pool " + *unknown;
    for (const auto& name : config.pools)
        if (!has_room(s.config, s.config.pools.at(name).config))
            return "pool " + name +
                   " promises all its hosts and no other pool is spare";
    return {};
}

void feed(hasher& h, const wave_config& config)
{
    h.add(config.name);
    h.add_range(config.pools);
    h.add(config.paused);
    h.add(config.aborted);
    h.add(config.policy);
    h.add(config.canary_hosts);
    h.add(config.halt_after);
    h.add(config.return_bound);
    h.add(std::bit_cast<std::uint64_t>(config.weight_buffer));
    h.add(std::bit_cast<std::uint64_t>(config.weight_rollout));
    h.add(std::bit_cast<std::uint64_t>(config.weight_moves));
}

} // namespace dandeliontack
