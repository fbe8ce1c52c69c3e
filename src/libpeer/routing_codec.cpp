#include "routing_codec.hpp"

#include "../libplatform/codecs.hpp"

namespace dandeliontack
{

namespace
{

wire::upstream to_wire(const upstream& from)
{
    wire::upstream out;
    out.set_host(from.host);
    out.set_address(to_string(from.address));
    out.set_data_centre(from.data_centre);
    out.set_slots(from.slots);
    out.set_connections(from.connections);
    return out;
}

wire::route to_wire(const route& from)
{
    wire::route out;
    *out.mutable_service() = to_wire(from.service);
    out.set_revision(from.revision);
    out.set_staleness_bound_ms(
        static_cast<std::uint64_t>(from.staleness_bound.count()));
    out.set_refuse_when_stale(from.when_stale == stale_policy::refuse);
    for (const auto& target : from.upstreams)
        *out.add_upstreams() = to_wire(target);
    return out;
}

route from_wire(const wire::route& in)
{
    route out{
        dandeliontack::from_wire(in.service()),
        in.revision(),
        std::chrono::milliseconds(in.staleness_bound_ms()),
        in.refuse_when_stale() ? stale_policy::refuse : stale_policy::serve,
        {}};
    for (const auto& target : in.upstreams())
        if (const auto address = parse_endpoint(target.address()))
            out.upstreams.push_back(
                {target.host(), *address, target.data_centre(), target.slots(),
                 target.connections()});
    return out;
}

} // namespace

wire::routing_table to_wire(const routing_table& table)
{
    wire::routing_table out;
    out.set_system_end(table.system_end);
    out.set_operators_end(table.operators_end);
    out.set_state_hash(table.state_hash);
    for (const auto& [key, route] : table.routes)
        *out.add_routes() = to_wire(route);
    return out;
}

routing_table from_wire(const wire::routing_table& in)
{
    routing_table table{
        in.system_end(), in.operators_end(), in.state_hash(), {}};
    for (const auto& entry : in.routes())
    {
        auto route = from_wire(entry);
        const auto key = route.service.key;
        table.routes.insert_or_assign(key, std::move(route));
    }
    return table;
}

} // namespace dandeliontack
