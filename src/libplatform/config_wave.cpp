#include "codecs.hpp"
#include "config_kind.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>

namespace dandeliontack
{

findings check(const wave_config& config)
{
    findings found;
    const auto subject = subject_of(config);
    check_name(subject, "name", config.name, found);
    for (const auto& pool : config.pools)
        check_name(subject, "pool", pool, found);
    if (config.pools.empty())
        found.push_back({"", 0, subject, "names no pool"});
    const std::set<std::string> distinct(
        config.pools.begin(), config.pools.end());
    if (distinct.size() != config.pools.size())
        found.push_back({"", 0, subject, "names a pool twice"});
    if (config.canary_hosts == 0)
        found.push_back({"", 0, subject, "canary_hosts must be above 0"});
    if (config.halt_after == 0)
        found.push_back({"", 0, subject, "halt_after must be above 0"});
    if (config.return_bound <= std::chrono::milliseconds(0))
        found.push_back({"", 0, subject, "return_bound must be above 0"});
    const std::array weights{
        config.weight_buffer, config.weight_rollout, config.weight_moves};
    if (!std::ranges::all_of(
            weights, [](double w) { return w >= 0 && std::isfinite(w); }))
        found.push_back({"", 0, subject, "a weight is not 0 or above"});
    return found;
}

wire::wave_config to_wire(const wave_config& config)
{
    wire::wave_config out;
    out.set_name(config.name);
    for (const auto& pool : config.pools)
        out.add_pools(pool);
    out.set_paused(config.paused);
    out.set_aborted(config.aborted);
    out.set_policy(static_cast<std::uint32_t>(config.policy));
    out.set_canary_hosts(config.canary_hosts);
    out.set_halt_after(config.halt_after);
    out.set_return_bound_ms(
        static_cast<std::uint64_t>(config.return_bound.count()));
    out.set_weight_buffer(config.weight_buffer);
    out.set_weight_rollout(config.weight_rollout);
    out.set_weight_moves(config.weight_moves);
    return out;
}

wave_config from_wire(const wire::wave_config& in)
{
    // An unknown policy is the default one: it keeps the budgets alike.
    const auto known = in.policy() <= static_cast<std::uint32_t>(
                                          wave_policy_kind::fixed_tenth);
    return {
        in.name(),
        {in.pools().begin(), in.pools().end()},
        in.paused(),
        in.aborted(),
        known ? static_cast<wave_policy_kind>(in.policy())
              : wave_policy_kind::widening,
        in.canary_hosts(),
        in.halt_after(),
        std::chrono::milliseconds(in.return_bound_ms()),
        in.weight_buffer(),
        in.weight_rollout(),
        in.weight_moves()};
}

config_event read_wave(const config_section& from, findings& found)
{
    using row = field<wave_config>;
    static const std::array table{
        row{.key = "pools", .member = &wave_config::pools, .required = true},
        row{.key = "paused", .member = &wave_config::paused},
        row{.key = "aborted", .member = &wave_config::aborted},
        row{.key = "policy",
            .member = choice_member<&wave_config::policy>(
                {"widening", "one-at-a-time", "fixed-tenth"})},
        row{.key = "canary_hosts",
            .member = &wave_config::canary_hosts,
            .least = 1},
        row{.key = "halt_after",
            .member = &wave_config::halt_after,
            .least = 1},
        row{.key = "return_bound",
            .member = &wave_config::return_bound,
            .least = 1},
        row{.key = "weight_buffer", .member = &wave_config::weight_buffer},
        row{.key = "weight_rollout", .member = &wave_config::weight_rollout},
        row{.key = "weight_moves", .member = &wave_config::weight_moves}};
    return read_config<wave_config>(
        from, table, {.name = from.words.at(1)}, found);
}

} // namespace dandeliontack
