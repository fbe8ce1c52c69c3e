#pragma once

#include <dandeliontack/endpoint.hpp>
#include <dandeliontack/incarnation.hpp>

#include <map>
#include <string>

namespace dandeliontack
{

/// A control process as the log knows it.
struct member
{
    std::string name;
    std::string data_centre;
    endpoint peer_address;

    bool operator==(const member&) const = default;
};

struct membership_state
{
    std::map<incarnation, member> nodes;

    bool operator==(const membership_state&) const = default;
};

} // namespace dandeliontack
