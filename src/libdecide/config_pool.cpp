#include "certify.hpp"
#include "domains.hpp"

#include <algorithm>

namespace dandeliontack
{

namespace
{

// The name of another pool that has the host, or an empty text.
std::string other_pool_of(
    const config_state& s, const std::string& pool, const std::string& host)
{
    const auto owner = std::ranges::find_if(s.pools, [&](const auto& item) {
        const auto& hosts = item.second.config.hosts;
        return item.first != pool &&
               std::ranges::find(hosts, host) != hosts.end();
    });
    return owner == s.pools.end() ? std::string() : owner->first;
}

} // namespace

std::string subject_of(const pool_config& config)
{
    return "pool " + config.name;
}

std::string certify(const state& s, const pool_config& config)
{
    for (const auto& host : config.hosts)
    {
        const auto other = other_pool_of(s.config, config.name, host);
        if (!other.empty())
            return "host " + host + " belongs to pool " + other;
    }
    return {};
}

void feed(hasher& h, const pool_config& config)
{
    h.add(config.name);
    h.add_range(config.hosts);
    h.add(config.budget_hosts);
    h.add(config.staleness_bound);
    h.add(config.when_stale);
    h.add(config.budget_share);
    h.add_range(config.budget_windows);
    h.add(config.reserve_hosts);
    h.add(config.reserve_rack);
    h.add(config.spare);
    h.add(config.drain_time);
    h.add(config.borrow_time);
}

} // namespace dandeliontack
