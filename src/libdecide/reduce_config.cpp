#include "domains.hpp"

#include <algorithm>

namespace dandeliontack
{

namespace
{

std::string stale_base(std::uint64_t base, std::uint64_t current)
{
    return "based on revision " + std::to_string(base) + ", but revision " +
           std::to_string(current) + " is in force";
}

// Puts a value in force if it is based on the revision in force now.
template <class Map, class Config>
bool accept(
    const reduce_context& context, Map& map, const typename Map::key_type& key,
    std::uint64_t base, const Config& config, const std::string& subject)
{
    const auto known = map.find(key);
    const auto revision = known == map.end() ? 0 : known->second.revision;
    if (base != revision)
    {
        context.reject(subject, stale_base(base, revision));
        return false;
    }
    map.insert_or_assign(
        key, typename Map::mapped_type{
                 config, revision + 1, context.cause.origin.offset});
    context.todo.emplace_back(config_accepted{subject, revision + 1});
    context.todo.emplace_back(routing_changed{});
    return true;
}

// The name of another pool that has the host, or an empty text.
std::string other_pool_of(
    const config_state& s, const std::string& pool, const std::string& host)
{
    const auto owner = std::ranges::find_if(s.pools, [&](const auto& item) {
        return item.first != pool &&
               std::ranges::find(item.second.config.hosts, host) !=
                   item.second.config.hosts.end();
    });
    return owner == s.pools.end() ? std::string() : owner->first;
}

void apply_one(const reduce_context& context, const pool_published& e)
{
    const auto subject = "pool " + e.config.name;
    for (const auto& host : e.config.hosts)
    {
        const auto other =
            other_pool_of(context.current.config, e.config.name, host);
        if (!other.empty())
        {
            context.reject(
                subject, "host " + host + " belongs to pool " + other);
            return;
        }
    }
    accept(
        context, context.current.config.pools, e.config.name, e.base, e.config,
        subject);
}

void apply_one(const reduce_context& context, const service_published& e)
{
    const auto& key = e.config.key;
    const auto subject =
        "service " + key.name + " " + std::to_string(key.schema_version);
    if (!context.current.config.pools.contains(e.config.pool))
    {
        context.reject(subject, "there is no pool " + e.config.pool);
        return;
    }
    accept(
        context, context.current.config.services, key, e.base, e.config,
        subject);
}

void feed(hasher& h, const pool_config& c)
{
    h.add(c.name);
    h.add_range(c.hosts);
    h.add(c.budget_hosts);
    h.add(c.staleness_bound);
    h.add(c.when_stale);
}

void feed(hasher& h, const service_config& c)
{
    h.add(c.key.name);
    h.add(c.key.schema_version);
    h.add(c.pool);
    h.add(c.deadline);
}

} // namespace

void apply(const reduce_context& context, const config_event& e)
{
    std::visit([&](const auto& one) { apply_one(context, one); }, e);
}

void feed(hasher& h, const config_state& s)
{
    const auto feed_all = [&](const auto& map) {
        h.add(map.size());
        for (const auto& [key, value] : map)
        {
            feed(h, value.config);
            h.add(value.revision);
            h.add(value.offset);
        }
    };
    feed_all(s.pools);
    feed_all(s.services);
}

} // namespace dandeliontack
