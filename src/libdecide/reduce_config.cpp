#include "certify.hpp"
#include "domains.hpp"

namespace dandeliontack
{

namespace
{

// The map that holds values of a type.
auto& map_of(config_state& s, const pool_config&)
{
    return s.pools;
}
auto& map_of(config_state& s, const service_config&)
{
    return s.services;
}
auto& map_of(config_state& s, const wave_config&)
{
    return s.waves;
}
auto& map_of(config_state& s, const team_config&)
{
    return s.teams;
}
auto& map_of(config_state& s, const job_config&)
{
    return s.jobs;
}

std::string stale_base(std::uint64_t base, std::uint64_t current)
{
    return "based on revision " + std::to_string(base) + ", but revision " +
           std::to_string(current) + " is in force";
}

// Puts a value in force if it is based on the revision in force now and fits
// the other values.
template <class Config>
void apply_one(const reduce_context& context, const published<Config>& e)
{
    auto& map = map_of(context.current.config, e.config);
    const auto subject = subject_of(e.config);
    const auto& key = key_of(e.config);
    const auto known = map.find(key);
    const auto revision = known == map.end() ? 0 : known->second.revision;
    if (e.base != revision)
        return context.reject(subject, stale_base(e.base, revision));
    const auto reason = certify(context.current, e.config);
    if (!reason.empty())
        return context.reject(subject, reason);
    map.insert_or_assign(
        key,
        in_force<Config>{e.config, revision + 1, context.cause.origin.offset});
    adopt(context, e.config);
    context.todo.emplace_back(config_accepted{subject, revision + 1});
    context.todo.emplace_back(routing_changed{});
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
    feed_all(s.waves);
    feed_all(s.teams);
    feed_all(s.jobs);
}

} // namespace dandeliontack
