#include "snapshot_codecs.hpp"

namespace dandeliontack
{

void encode(const fleet_state& s, wire::fleet_snapshot& out)
{
    for (const auto& [name, host] : s.hosts)
    {
        auto& to = *out.add_hosts();
        to.set_host(name);
        to.set_listed(static_cast<std::uint32_t>(host.listed));
        to.set_data_centre(host.data_centre);
        to.set_rack(host.rack);
        to.set_processors(host.processors);
        to.set_memory_mb(host.memory_mb);
        to.set_accelerators(host.accelerators);
    }
}

fleet_state decode(const wire::fleet_snapshot& in)
{
    fleet_state s;
    for (const auto& from : in.hosts())
    {
        host_record host;
        host.listed = static_cast<listing>(from.listed());
        host.data_centre = from.data_centre();
        host.rack = from.rack();
        host.processors = from.processors();
        host.memory_mb = from.memory_mb();
        host.accelerators = from.accelerators();
        s.hosts.insert_or_assign(from.host(), std::move(host));
    }
    return s;
}

} // namespace dandeliontack
