#include "codecs.hpp"

namespace dandeliontack
{

void encode(const membership_event& e, wire::membership_record& out)
{
    if (const auto* joined = std::get_if<node_joined>(&e))
    {
        auto& to = *out.mutable_joined();
        to.set_name(joined->name);
        to.set_data_centre(joined->data_centre);
        to.set_peer_address(to_string(joined->peer_address));
        return;
    }
    const auto& left = std::get<node_left>(e);
    out.mutable_left()->set_incarnation_high(left.node.high);
    out.mutable_left()->set_incarnation_low(left.node.low);
}

membership_event decode(const wire::membership_record& in, findings& found)
{
    if (in.has_left())
        return node_left{
            {in.left().incarnation_high(), in.left().incarnation_low()}};
    if (!in.has_joined())
        found.push_back({"", 0, "kind", "is missing or unknown"});
    const auto address = parse_endpoint(in.joined().peer_address());
    if (in.has_joined() && !address)
        found.push_back({"", 0, "peer_address", "is not an address"});
    return node_joined{
        in.joined().name(), in.joined().data_centre(),
        address.value_or(endpoint{})};
}

} // namespace dandeliontack
