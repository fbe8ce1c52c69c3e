#include "codecs.hpp"

namespace dandeliontack
{

namespace
{

void encode_one(const node_joined& e, wire::membership_record& out)
{
    auto& to = *out.mutable_joined();
    to.set_name(e.name);
    to.set_data_centre(e.data_centre);
    to.set_peer_address(to_string(e.peer_address));
}
void encode_one(const node_left& e, wire::membership_record& out)
{
    auto& to = *out.mutable_left();
    to.set_incarnation_high(e.node.high);
    to.set_incarnation_low(e.node.low);
    to.set_heard_at(e.heard_at);
}
void encode_one(const node_heartbeat& e, wire::membership_record& out)
{
    out.mutable_heartbeat()->set_system_end(e.system_end);
    out.mutable_heartbeat()->set_operators_end(e.operators_end);
}
void encode_one(const term_claimed& e, wire::membership_record& out)
{
    out.mutable_claimed()->set_term(e.term);
    out.mutable_claimed()->set_leader_heard_at(e.leader_heard_at);
}

membership_event decode_one(const wire::node_joined& in, findings& found)
{
    const auto address = parse_endpoint(in.peer_address());
    if (!address)
        found.push_back({"", 0, "peer_address", "is not an address"});
    return node_joined{
        in.name(), in.data_centre(), address.value_or(endpoint{})};
}

} // namespace

void encode(const membership_event& e, wire::membership_record& out)
{
    std::visit([&](const auto& one) { encode_one(one, out); }, e);
}

membership_event decode(const wire::membership_record& in, findings& found)
{
    switch (in.kind_case())
    {
    case wire::membership_record::kJoined:
        return decode_one(in.joined(), found);
    case wire::membership_record::kLeft:
        return node_left{
            {in.left().incarnation_high(), in.left().incarnation_low()},
            in.left().heard_at()};
    case wire::membership_record::kHeartbeat:
        return node_heartbeat{
            in.heartbeat().system_end(), in.heartbeat().operators_end()};
    case wire::membership_record::kClaimed:
        return term_claimed{
            in.claimed().term(), in.claimed().leader_heard_at()};
    case wire::membership_record::KIND_NOT_SET:
        break;
    }
    found.push_back({"", 0, "kind", "is missing or unknown"});
    return node_joined{};
}

} // namespace dandeliontack
