#include "codecs.hpp"
#include "snapshot_codecs.hpp"

namespace dandeliontack
{

namespace
{

template <class Map, class Repeated>
void encode_all(const Map& values, Repeated& out)
{
    for (const auto& [key, value] : values)
    {
        auto& to = *out.Add();
        *to.mutable_config() = to_wire(value.config);
        to.set_revision(value.revision);
        to.set_offset(value.offset);
    }
}

template <class Config, class Map, class Repeated>
void decode_all(const Repeated& in, Map& values)
{
    for (const auto& from : in)
    {
        auto config = from_wire(from.config());
        const auto key = key_of(config);
        values.insert_or_assign(
            key, in_force<Config>{
                     std::move(config), from.revision(), from.offset()});
    }
}

} // namespace

void encode(const config_state& s, wire::config_snapshot& out)
{
    encode_all(s.pools, *out.mutable_pools());
    encode_all(s.services, *out.mutable_services());
    encode_all(s.waves, *out.mutable_waves());
    encode_all(s.teams, *out.mutable_teams());
    encode_all(s.jobs, *out.mutable_jobs());
}

config_state decode(const wire::config_snapshot& in)
{
    config_state s;
    decode_all<pool_config>(in.pools(), s.pools);
    decode_all<service_config>(in.services(), s.services);
    decode_all<wave_config>(in.waves(), s.waves);
    decode_all<team_config>(in.teams(), s.teams);
    decode_all<job_config>(in.jobs(), s.jobs);
    return s;
}

} // namespace dandeliontack
