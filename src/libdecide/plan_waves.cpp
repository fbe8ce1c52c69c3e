#include "fleet_plan.hpp"
#include <dandeliontack/wave_policy.hpp>

#include <algorithm>
#include <tuple>

namespace dandeliontack
{

namespace
{

// A wave's work in a pool, as far as it can be claimed now.
struct candidate
{
    std::string host;
    std::string rack;
    std::string pool;
};

class wave_round
{
public:
    wave_round(
        fleet_round& round, const wave_config& config,
        const wave_progress& progress)
        : round_(round),
          config_(config),
          policy_(policy_of(config.policy)),
          view_{config.canary_hosts, progress.done.size(), 0}
    {
        for (const auto& [name, host] : round.s.fleet.hosts)
            if (host.wave == config.name)
            {
                ++view_.away;
                ++away_in_pool_[host.pool];
            }
    }

    void claim_hosts()
    {
        for (const auto& item : candidates())
        {
            if (view_.away >= policy_.wave_limit(view_))
                return;
            claim(item);
        }
    }

private:
    std::vector<candidate> candidates() const;
    void claim(const candidate& item);

    fleet_round& round_;
    const wave_config& config_;
    const wave_policy& policy_;
    wave_view view_;
    std::map<std::string, std::uint64_t> away_in_pool_;
};

// Racks with disruptions first, so that a pool is not opened in two racks;
// then the pools with the most to spare.
std::vector<candidate> wave_round::candidates() const
{
    std::vector<candidate> found;
    for (const auto& name : hosts_left(round_.s, config_.name))
    {
        const auto& host = round_.s.fleet.hosts.at(name);
        if (in_service(host) && !host.pool.empty())
            found.push_back({name, host.rack, host.pool});
    }
    const auto rank = [&](const candidate& item) {
        const auto& pool = round_.capacity.at(item.pool);
        const auto open = pool.rack_disrupted.find(item.rack);
        const bool closed =
            open == pool.rack_disrupted.end() || open->second == 0;
        const auto promised = round_.promised(item.pool);
        const auto slack = static_cast<std::int64_t>(pool.in_service) -
                           static_cast<std::int64_t>(promised);
        return std::tuple(closed, -slack, item.rack, item.host);
    };
    std::ranges::sort(found, {}, rank);
    return found;
}

void wave_round::claim(const candidate& item)
{
    const auto& members = round_.capacity.at(item.pool).members;
    auto& away = away_in_pool_[item.pool];
    if (away >= policy_.pool_limit(members))
        return;
    const auto pool = round_.s.config.pools.find(item.pool);
    const auto reserve =
        policy_.keeps_reserve && pool != round_.s.config.pools.end()
            ? wave_reserve(pool->second.config)
            : 0;
    const disruption_claimed e{
        item.host, disruption::maintenance, config_.name, {}};
    if (!round_.claim(e, reserve))
        return;
    ++away;
    ++view_.away;
}

bool may_claim(const in_force<wave_config>& wave, const wave_progress& progress)
{
    return !wave.config.paused && !wave.config.aborted &&
           progress.halted_revision != wave.revision;
}

} // namespace

void plan_waves(fleet_round& round)
{
    for (const auto& [name, wave] : round.s.config.waves)
    {
        const auto& progress = round.s.fleet.waves.at(name);
        if (progress.ended)
            continue;
        if (!wave_has_work(round.s, name))
            round.proposals.emplace_back(wave_ended{name});
        else if (may_claim(wave, progress))
            wave_round(round, wave.config, progress).claim_hosts();
    }
}

} // namespace dandeliontack
