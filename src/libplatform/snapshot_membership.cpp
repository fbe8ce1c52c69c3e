#include "snapshot_codecs.hpp"

namespace dandeliontack
{

void encode(const membership_state& s, wire::membership_snapshot& out)
{
    for (const auto& [node, known] : s.nodes)
    {
        auto& to = *out.add_nodes();
        to.set_incarnation_high(node.high);
        to.set_incarnation_low(node.low);
        to.set_name(known.name);
        to.set_data_centre(known.data_centre);
        to.set_peer_address(to_string(known.peer_address));
        to.set_heard_at(known.heard_at);
        to.set_system_end(known.system_end);
        to.set_operators_end(known.operators_end);
    }
    out.set_term(s.term.number);
    out.set_leader_high(s.term.leader.high);
    out.set_leader_low(s.term.leader.low);
    out.set_leader_heard_at(s.term.heard_at);
    out.set_fenced(s.fenced);
}

membership_state decode(const wire::membership_snapshot& in)
{
    membership_state s;
    for (const auto& from : in.nodes())
        s.nodes.insert_or_assign(
            {from.incarnation_high(), from.incarnation_low()},
            member{
                from.name(), from.data_centre(),
                parse_endpoint(from.peer_address()).value_or(endpoint{}),
                from.heard_at(), from.system_end(), from.operators_end()});
    s.term = {
        in.term(), {in.leader_high(), in.leader_low()}, in.leader_heard_at()};
    s.fenced = in.fenced();
    return s;
}

} // namespace dandeliontack
