#include <dandeliontack/fleet_budget.hpp>

#include <algorithm>
#include <iterator>
#include <set>

namespace dandeliontack
{

namespace
{

std::string certify_wave(const state& s, const std::string& name)
{
    const auto config = s.config.waves.find(name);
    const auto progress = s.fleet.waves.find(name);
    if (config == s.config.waves.end() || progress == s.fleet.waves.end())
        return "there is no wave " + name;
    if (config->second.config.paused || config->second.config.aborted)
        return "wave " + name + " is held up";
    if (progress->second.halted_revision == config->second.revision)
        return "wave " + name + " is halted";
    if (progress->second.ended)
        return "wave " + name + " has ended";
    return {};
}

// What is wrong with the claim apart from the budget.
std::string certify_purpose(
    const state& s, const disruption_claimed& e, const host_record& host)
{
    if (host.phase != host_phase::serving)
        return "host " + e.host + " is not serving";
    if (e.purpose == disruption::none)
        return "a claim needs a purpose";
    if (e.purpose == disruption::move)
    {
        if (e.to_pool == host.pool)
            return "host " + e.host + " is in pool " + e.to_pool;
        if (!e.to_pool.empty() && !s.config.pools.contains(e.to_pool))
            return "there is no pool " + e.to_pool;
    }
    if (e.purpose != disruption::maintenance)
        return {};
    auto reason = certify_wave(s, e.wave);
    if (!reason.empty())
        return reason;
    const auto& progress = s.fleet.waves.at(e.wave);
    if (progress.done.contains(e.host) || progress.failed.contains(e.host))
        return "wave " + e.wave + " is done with host " + e.host;
    return {};
}

void add(pool_capacity& to, const host_record& host)
{
    ++to.members;
    if (in_service(host))
    {
        ++to.in_service;
        ++to.rack_in_service[host.rack];
    }
    if (host.purpose != disruption::none)
    {
        ++to.disrupted;
        ++to.rack_disrupted[host.rack];
    }
}

pool_capacity measure_pool(const fleet_state& s, const std::string& pool)
{
    pool_capacity found;
    for (const auto& [name, host] : s.hosts)
        if (host.pool == pool)
            add(found, host);
    return found;
}

} // namespace

std::chrono::milliseconds disruption_bound(
    const pool_config& pool, disruption purpose, const wave_config* wave)
{
    if (purpose != disruption::maintenance)
        return std::chrono::days(1);
    return pool.drain_time +
           (wave ? wave->return_bound : wave_config().return_bound);
}

bool in_service(const host_record& host)
{
    return host.observed && host.listed == listing::live &&
           host.phase == host_phase::serving;
}

std::map<std::string, pool_capacity> measure_pools(const fleet_state& s)
{
    std::map<std::string, pool_capacity> found;
    for (const auto& [name, host] : s.hosts)
        if (!host.pool.empty())
            add(found[host.pool], host);
    return found;
}

keep_level
level_of(const pool_config& pool, std::uint64_t promised, disruption purpose)
{
    return {promised, pool.reserve_rack && purpose == disruption::maintenance};
}

bool may_disrupt(
    const pool_capacity& pool, const keep_level& keep, const std::string& rack)
{
    if (pool.in_service < keep.hosts + 1)
        return false;
    const bool other_rack =
        std::ranges::any_of(pool.rack_disrupted, [&](const auto& item) {
            return item.first != rack && item.second != 0;
        });
    if (!other_rack && !keep.with_rack_lost)
        return true;
    std::uint64_t largest = 0;
    for (const auto& [name, count] : pool.rack_in_service)
        largest = std::max(largest, name == rack ? count - 1 : count);
    return pool.in_service >= keep.hosts + 1 + largest;
}

void disrupt(pool_capacity& pool, const std::string& rack)
{
    --pool.in_service;
    --pool.rack_in_service[rack];
    ++pool.disrupted;
    ++pool.rack_disrupted[rack];
}

std::string
certify_claim(const state& s, const disruption_claimed& e, event_time now)
{
    const auto host = s.fleet.hosts.find(e.host);
    if (host == s.fleet.hosts.end())
        return "there is no host " + e.host;
    auto reason = certify_purpose(s, e, host->second);
    if (!reason.empty())
        return reason;
    const auto pool = s.config.pools.find(host->second.pool);
    if (pool == s.config.pools.end() || !in_service(host->second))
        return {};
    const auto wave = s.config.waves.find(e.wave);
    const auto bound = disruption_bound(
        pool->second.config, e.purpose,
        wave == s.config.waves.end() ? nullptr : &wave->second.config);
    const auto promised = promised_hosts(pool->second.config, now, now + bound);
    const auto capacity = measure_pool(s.fleet, pool->first);
    const auto keep = level_of(pool->second.config, promised, e.purpose);
    if (!may_disrupt(capacity, keep, host->second.rack))
        return "pool " + pool->first + " has " +
               std::to_string(capacity.in_service) +
               " hosts in service and promises " + std::to_string(promised);
    return {};
}

std::chrono::milliseconds drain_time_of(const state& s, const host_record& host)
{
    const auto pool = s.config.pools.find(host.pool);
    return pool == s.config.pools.end() ? pool_config().drain_time
                                        : pool->second.config.drain_time;
}

std::chrono::milliseconds
return_bound_of(const state& s, const host_record& host)
{
    const auto wave = s.config.waves.find(host.wave);
    return wave == s.config.waves.end() ? wave_config().return_bound
                                        : wave->second.config.return_bound;
}

std::vector<std::string> hosts_left(const state& s, const std::string& wave)
{
    std::vector<std::string> left;
    const auto config = s.config.waves.find(wave);
    const auto progress = s.fleet.waves.find(wave);
    if (config == s.config.waves.end() || progress == s.fleet.waves.end())
        return left;
    for (const auto& pool : config->second.config.pools)
    {
        const auto& hosts = s.config.pools.at(pool).config.hosts;
        std::ranges::copy_if(
            hosts, std::back_inserter(left), [&](const std::string& name) {
                const auto phase = s.fleet.hosts.at(name).phase;
                return !progress->second.done.contains(name) &&
                       !progress->second.failed.contains(name) &&
                       phase != host_phase::failed &&
                       phase != host_phase::quarantined;
            });
    }
    return left;
}

std::uint64_t wave_reserve(const pool_config& pool)
{
    return pool.reserve_rack ? 0 : pool.reserve_hosts;
}

std::vector<std::string>
waiting_pools(const state& s, const std::string& wave, event_time now)
{
    std::set<std::string> waiting;
    const auto capacity = measure_pools(s.fleet);
    for (const auto& name : hosts_left(s, wave))
    {
        const auto& host = s.fleet.hosts.at(name);
        const auto pool = s.config.pools.find(host.pool);
        if (pool == s.config.pools.end())
            continue;
        const auto bound = disruption_bound(
            pool->second.config, disruption::maintenance,
            &s.config.waves.at(wave).config);
        auto keep = level_of(
            pool->second.config,
            promised_hosts(pool->second.config, now, now + bound),
            disruption::maintenance);
        keep.hosts += wave_reserve(pool->second.config);
        if (!may_disrupt(capacity.at(host.pool), keep, host.rack))
            waiting.insert(host.pool);
    }
    return {waiting.begin(), waiting.end()};
}

bool wave_has_work(const state& s, const std::string& wave)
{
    const auto config = s.config.waves.find(wave);
    if (config == s.config.waves.end())
        return false;
    const bool under_way =
        std::ranges::any_of(s.fleet.hosts, [&](const auto& item) {
            return item.second.wave == wave;
        });
    return under_way ||
           (!config->second.config.aborted && !hosts_left(s, wave).empty());
}

bool departure_settled(const state& s, const host_record& host, event_time now)
{
    if (host.departure_bound.count() != 0 &&
        now - host.since > host.departure_bound)
        return true;
    return std::ranges::all_of(s.membership.nodes, [&](const auto& node) {
        const auto applied = s.fleet.departures_applied.find(node.first);
        return applied != s.fleet.departures_applied.end() &&
               applied->second > host.offset;
    });
}

std::optional<host_command>
command_for(const std::string& name, const host_record& host)
{
    const auto command = [&](const char* action) {
        return host_command{name, action, host.term, host.offset};
    };
    if (host.phase == host_phase::leaving)
        return command("drain");
    if (host.phase == host_phase::rebooting)
        return command("reboot");
    if (host.phase == host_phase::joining)
        return command("restore");
    return std::nullopt;
}

} // namespace dandeliontack
