#include "domains.hpp"

namespace dandeliontack
{

namespace
{

void apply_one(const reduce_context& context, const host_observed& e)
{
    context.current.fleet.hosts.insert_or_assign(
        e.host, host_record{
                    e.listed, e.data_centre, e.rack, e.processors, e.memory_mb,
                    e.accelerators});
}

} // namespace

void apply(const reduce_context& context, const fleet_event& e)
{
    std::visit([&](const auto& one) { apply_one(context, one); }, e);
}

void feed(hasher& h, const fleet_state& s)
{
    h.add(s.hosts.size());
    for (const auto& [name, host] : s.hosts)
    {
        h.add(name);
        h.add(host.listed);
        h.add(host.data_centre);
        h.add(host.rack);
        h.add(host.processors);
        h.add(host.memory_mb);
        h.add(host.accelerators);
    }
}

} // namespace dandeliontack
