#pragma once

#include <dandeliontack/endpoint.hpp>
#include <dandeliontack/incarnation.hpp>

#include <string>
#include <variant>

namespace dandeliontack
{

/// A control process started. Its incarnation is that of the record's writer.
struct node_joined
{
    std::string name;
    std::string data_centre;
    /// Where its peers reach it.
    endpoint peer_address;
};

/// A control process stopped in an orderly way, or was found to be gone.
struct node_left
{
    incarnation node;
};

using membership_event = std::variant<node_joined, node_left>;

} // namespace dandeliontack
