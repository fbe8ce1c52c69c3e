#include "snapshot_codecs.hpp"

#include <chrono>

namespace dandeliontack
{

namespace
{

using std::chrono::milliseconds;

void encode_one(const host_record& from, wire::snapshot_host& to)
{
    to.set_listed(static_cast<std::uint32_t>(from.listed));
    to.set_data_centre(from.data_centre);
    to.set_rack(from.rack);
    to.set_processors(from.processors);
    to.set_memory_mb(from.memory_mb);
    to.set_accelerators(from.accelerators);
    to.set_observed(from.observed);
    to.set_pool(from.pool);
    to.set_phase(static_cast<std::uint32_t>(from.phase));
    to.set_purpose(static_cast<std::uint32_t>(from.purpose));
    to.set_wave(from.wave);
    to.set_to_pool(from.to_pool);
    to.set_since_ms(from.since.time_since_epoch().count());
    to.set_offset(from.offset);
    to.set_term(from.term);
    to.set_seen_away(from.seen_away);
    to.set_departure_bound_ms(from.departure_bound.count());
}

host_record decode_one(const wire::snapshot_host& from)
{
    host_record to;
    to.listed = static_cast<listing>(from.listed());
    to.data_centre = from.data_centre();
    to.rack = from.rack();
    to.processors = from.processors();
    to.memory_mb = from.memory_mb();
    to.accelerators = from.accelerators();
    to.observed = from.observed();
    to.pool = from.pool();
    to.phase = static_cast<host_phase>(from.phase());
    to.purpose = static_cast<disruption>(from.purpose());
    to.wave = from.wave();
    to.to_pool = from.to_pool();
    to.since =
        std::chrono::sys_time<milliseconds>(milliseconds(from.since_ms()));
    to.offset = from.offset();
    to.term = from.term();
    to.seen_away = from.seen_away();
    to.departure_bound = milliseconds(from.departure_bound_ms());
    return to;
}

void encode_one(const wave_progress& from, wire::snapshot_wave_progress& to)
{
    to.mutable_done()->Add(from.done.begin(), from.done.end());
    to.mutable_failed()->Add(from.failed.begin(), from.failed.end());
    to.set_recent_failures(from.recent_failures);
    to.set_halted_revision(from.halted_revision);
    to.set_ended(from.ended);
}

wave_progress decode_one(const wire::snapshot_wave_progress& from)
{
    return {
        {from.done().begin(), from.done().end()},
        {from.failed().begin(), from.failed().end()},
        from.recent_failures(),
        from.halted_revision(),
        from.ended()};
}

} // namespace

void encode(const fleet_state& s, wire::fleet_snapshot& out)
{
    for (const auto& [name, host] : s.hosts)
    {
        auto& to = *out.add_hosts();
        to.set_host(name);
        encode_one(host, to);
    }
    for (const auto& [name, progress] : s.waves)
    {
        auto& to = *out.add_waves();
        to.set_wave(name);
        encode_one(progress, to);
    }
    for (const auto& [node, end] : s.departures_applied)
    {
        auto& to = *out.add_departures();
        to.set_incarnation_high(node.high);
        to.set_incarnation_low(node.low);
        to.set_system_end(end);
    }
}

fleet_state decode(const wire::fleet_snapshot& in)
{
    fleet_state s;
    for (const auto& from : in.hosts())
        s.hosts.insert_or_assign(from.host(), decode_one(from));
    for (const auto& from : in.waves())
        s.waves.insert_or_assign(from.wave(), decode_one(from));
    for (const auto& from : in.departures())
        s.departures_applied.insert_or_assign(
            {from.incarnation_high(), from.incarnation_low()},
            from.system_end());
    return s;
}

} // namespace dandeliontack
