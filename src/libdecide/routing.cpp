#include <dandeliontack/routing.hpp>

#include <algorithm>
#include <iterator>

namespace dandeliontack
{

namespace
{

using host_index = std::map<std::string, const listed_host*>;

host_index index_live(const std::vector<listed_host>& hosts)
{
    host_index index;
    for (const auto& host : hosts)
        if (host.listed == listing::live)
            index.emplace(host.name, &host);
    return index;
}

std::vector<upstream> upstreams_of(
    const fleet_state& fleet, const std::string& pool, const host_index& live)
{
    std::vector<upstream> found;
    for (const auto& [name, record] : fleet.hosts)
    {
        if (record.pool != pool || record.phase != host_phase::serving)
            continue;
        const auto host = live.find(name);
        if (host != live.end())
            found.push_back(
                {name, host->second->address, host->second->data_centre,
                 host->second->slots, host->second->connections});
    }
    return found;
}

} // namespace

routing_table
make_routing_table(const state& s, const std::vector<listed_host>& hosts)
{
    routing_table table{
        s.order.system_end, s.order.operators_end, hash_of(s), {}};
    const auto live = index_live(hosts);
    for (const auto& [key, service] : s.config.services)
    {
        const auto pool = s.config.pools.find(service.config.pool);
        if (pool == s.config.pools.end())
            continue;
        const auto& config = pool->second.config;
        table.routes.emplace(
            key,
            route{
                service.config, service.revision, config.staleness_bound,
                config.when_stale, upstreams_of(s.fleet, config.name, live)});
    }
    return table;
}

} // namespace dandeliontack
