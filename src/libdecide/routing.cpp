#include <dandeliontack/routing.hpp>

#include <map>
#include <string_view>
#include <vector>

namespace dandeliontack
{

namespace
{

using host_index = std::map<std::string_view, const listed_host*>;
using pool_upstreams = std::map<std::string_view, std::vector<upstream>>;

host_index index_live(const std::vector<listed_host>& hosts)
{
    host_index index;
    for (const auto& host : hosts)
        if (host.listed == listing::live)
            index.emplace(host.name, &host);
    return index;
}

// The upstreams of every pool, in the order of their names.
pool_upstreams group_by_pool(const fleet_state& fleet, const host_index& live)
{
    pool_upstreams grouped;
    for (const auto& [name, record] : fleet.hosts)
    {
        const auto host = live.find(name);
        if (record.phase != host_phase::serving || host == live.end())
            continue;
        const auto& listed = *host->second;
        grouped[record.pool].push_back(
            {name, listed.address, listed.data_centre, listed.slots,
             listed.connections});
    }
    return grouped;
}

} // namespace

routing_table
make_routing_table(const state& s, const std::vector<listed_host>& hosts)
{
    routing_table table{
        s.order.system_end, s.order.operators_end, hash_of(s), {}};
    const auto upstreams = group_by_pool(s.fleet, index_live(hosts));
    for (const auto& [key, service] : s.config.services)
    {
        const auto pool = s.config.pools.find(service.config.pool);
        if (pool == s.config.pools.end())
            continue;
        const auto& config = pool->second.config;
        const auto found = upstreams.find(config.name);
        table.routes.emplace(
            key, route{
                     service.config, service.revision, config.staleness_bound,
                     config.when_stale,
                     found == upstreams.end() ? std::vector<upstream>()
                                              : found->second});
    }
    return table;
}

} // namespace dandeliontack
