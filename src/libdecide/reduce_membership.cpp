#include "domains.hpp"

namespace dandeliontack
{

namespace
{

void apply_one(const reduce_context& context, const node_joined& e)
{
    context.current.membership.nodes.insert_or_assign(
        context.cause.origin.writer,
        member{e.name, e.data_centre, e.peer_address});
}

void apply_one(const reduce_context& context, const node_left& e)
{
    context.current.membership.nodes.erase(e.node);
}

} // namespace

void apply(const reduce_context& context, const membership_event& e)
{
    std::visit([&](const auto& one) { apply_one(context, one); }, e);
}

void feed(hasher& h, const membership_state& s)
{
    h.add(s.nodes.size());
    for (const auto& [node, known] : s.nodes)
    {
        feed(h, node);
        h.add(known.name);
        h.add(known.data_centre);
        h.add(known.peer_address.address);
        h.add(known.peer_address.port);
    }
}

} // namespace dandeliontack
