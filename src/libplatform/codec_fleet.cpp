#include "codecs.hpp"

namespace dandeliontack
{

namespace
{

void encode_one(const host_observed& e, wire::fleet_record& out)
{
    auto& to = *out.mutable_observed();
    to.set_host(e.host);
    to.set_listed(static_cast<std::uint32_t>(e.listed));
    to.set_data_centre(e.data_centre);
    to.set_rack(e.rack);
    to.set_processors(e.processors);
    to.set_memory_mb(e.memory_mb);
    to.set_accelerators(e.accelerators);
}

void encode_one(const disruption_claimed& e, wire::fleet_record& out)
{
    auto& to = *out.mutable_claimed();
    to.set_host(e.host);
    to.set_purpose(static_cast<std::uint32_t>(e.purpose));
    to.set_wave(e.wave);
    to.set_to_pool(e.to_pool);
}

void encode_one(const host_advanced& e, wire::fleet_record& out)
{
    auto& to = *out.mutable_advanced();
    to.set_host(e.host);
    to.set_from(static_cast<std::uint32_t>(e.from));
    to.set_to(static_cast<std::uint32_t>(e.to));
}

void encode_one(const departures_applied& e, wire::fleet_record& out)
{
    out.mutable_applied()->set_system_end(e.system_end);
}

void encode_one(const wave_ended& e, wire::fleet_record& out)
{
    out.mutable_ended()->set_wave(e.wave);
}

// The value of an enumeration, with a finding where it is past the last.
template <class Enum>
Enum read_enum(std::uint32_t value, Enum last, const char* key, findings& found)
{
    if (value > static_cast<std::uint32_t>(last))
        found.push_back({"", 0, key, "is not a known value"});
    return static_cast<Enum>(value);
}

host_observed decode_one(const wire::host_observed& in, findings& found)
{
    return {in.host(),
            read_enum(in.listed(), listing::gone, "listed", found),
            in.data_centre(),
            in.rack(),
            in.processors(),
            in.memory_mb(),
            in.accelerators()};
}

disruption_claimed
decode_one(const wire::disruption_claimed& in, findings& found)
{
    return {
        in.host(),
        read_enum(in.purpose(), disruption::quarantine, "purpose", found),
        in.wave(), in.to_pool()};
}

host_advanced decode_one(const wire::host_advanced& in, findings& found)
{
    return {
        in.host(), read_enum(in.from(), host_phase::quarantined, "from", found),
        read_enum(in.to(), host_phase::quarantined, "to", found)};
}

} // namespace

void encode(const fleet_event& e, wire::fleet_record& out)
{
    std::visit([&](const auto& one) { encode_one(one, out); }, e);
}

fleet_event decode(const wire::fleet_record& in, findings& found)
{
    switch (in.kind_case())
    {
    case wire::fleet_record::kObserved:
        return decode_one(in.observed(), found);
    case wire::fleet_record::kClaimed:
        return decode_one(in.claimed(), found);
    case wire::fleet_record::kAdvanced:
        return decode_one(in.advanced(), found);
    case wire::fleet_record::kApplied:
        return departures_applied{in.applied().system_end()};
    case wire::fleet_record::kEnded:
        return wave_ended{in.ended().wave()};
    case wire::fleet_record::KIND_NOT_SET:
        break;
    }
    found.push_back({"", 0, "kind", "is missing or unknown"});
    return host_observed{};
}

} // namespace dandeliontack
