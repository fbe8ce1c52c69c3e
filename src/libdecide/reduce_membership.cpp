#include "domains.hpp"

namespace dandeliontack
{

namespace
{

// Notes a sign of life of the record's writer.
void note_heard(const reduce_context& context)
{
    auto& s = context.current.membership;
    const auto& origin = context.cause.origin;
    const auto known = s.nodes.find(origin.writer);
    if (known != s.nodes.end())
        known->second.heard_at = origin.offset + 1;
    if (s.term.leader == origin.writer)
        s.term.heard_at = origin.offset + 1;
}

void apply_one(const reduce_context& context, const node_joined& e)
{
    context.current.membership.nodes.insert_or_assign(
        context.cause.origin.writer,
        member{e.name, e.data_centre, e.peer_address});
    note_heard(context);
    context.todo.emplace_back(members_changed{});
}

void apply_one(const reduce_context& context, const node_left& e)
{
    auto& s = context.current.membership;
    const auto& origin = context.cause.origin;
    const auto known = s.nodes.find(e.node);
    if (known == s.nodes.end())
        return;
    // A record without a term isn't the leader's; the fence has checked any
    // other.
    const bool by_leader =
        origin.term != 0 && known->second.heard_at == e.heard_at;
    if (origin.writer != e.node && !by_leader)
        return;
    s.nodes.erase(known);
    if (s.term.leader == e.node)
        s.term.leader = {};
    context.todo.emplace_back(members_changed{});
}

void apply_one(const reduce_context& context, const node_heartbeat& e)
{
    note_heard(context);
    auto& nodes = context.current.membership.nodes;
    const auto known = nodes.find(context.cause.origin.writer);
    if (known == nodes.end())
        return;
    known->second.system_end = e.system_end;
    known->second.operators_end = e.operators_end;
}

void apply_one(const reduce_context& context, const term_claimed& e)
{
    auto& s = context.current.membership;
    const auto& origin = context.cause.origin;
    const bool holds = s.nodes.contains(origin.writer) &&
                       e.term == s.term.number + 1 &&
                       e.leader_heard_at == s.term.heard_at;
    if (!holds)
        return;
    s.term = {e.term, origin.writer, origin.offset + 1};
    note_heard(context);
    context.todo.emplace_back(leader_changed{e.term, origin.writer});
}

// Whether only the leader may write such a record.
bool is_decision(const event_body& body)
{
    if (const auto* fleet = std::get_if<fleet_event>(&body))
        return !std::holds_alternative<departures_applied>(*fleet);
    return std::holds_alternative<job_event>(body);
}

} // namespace

void apply(const reduce_context& context, const membership_event& e)
{
    std::visit([&](const auto& one) { apply_one(context, one); }, e);
}

bool is_fenced(const membership_state& s, const event& e)
{
    const auto& origin = e.origin;
    if (origin.term == 0)
        return is_decision(e.body);
    return origin.term != s.term.number || origin.writer != s.term.leader;
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
        h.add(known.heard_at);
        h.add(known.system_end);
        h.add(known.operators_end);
    }
    h.add(s.term.number);
    feed(h, s.term.leader);
    h.add(s.term.heard_at);
    h.add(s.fenced);
}

} // namespace dandeliontack
