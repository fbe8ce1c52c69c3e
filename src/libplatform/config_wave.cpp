#include "codecs.hpp"
#include "config_kind.hpp"

#include <array>

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
    return found;
}

wire::wave_config to_wire(const wave_config& config)
{
    wire::wave_config out;
    out.set_name(config.name);
    for (const auto& pool : config.pools)
        out.add_pools(pool);
    out.set_paused(config.paused);
    return out;
}

wave_config from_wire(const wire::wave_config& in)
{
    return {in.name(), {in.pools().begin(), in.pools().end()}, in.paused()};
}

config_event read_wave(const config_section& from, findings& found)
{
    using row = field<wave_config>;
    static const std::array table{
        row{.key = "pools", .member = &wave_config::pools, .required = true},
        row{.key = "paused", .member = &wave_config::paused}};
    return read_config<wave_config>(
        from, table, {.name = from.words.at(1)}, found);
}

} // namespace dandeliontack
