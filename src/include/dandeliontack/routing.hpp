#pragma once

#include <dandeliontack/config_events.hpp>
#include <dandeliontack/endpoint.hpp>
#include <dandeliontack/state.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dandeliontack
{

/// A host as the platform's list shows it to this node, with some lag.
struct listed_host
{
    std::string name;
    endpoint address;
    listing listed = listing::live;
    std::string data_centre;
    std::string rack;
    std::uint64_t processors = 0;
    std::uint64_t memory_mb = 0;
    std::uint64_t accelerators = 0;
    /// How many requests it runs at once, from all entry hosts together.
    std::uint64_t slots = 8;
    /// How many connections it accepts, from all entry hosts together.
    std::uint64_t connections = 64;

    bool operator==(const listed_host&) const = default;
};

/// An upstream that may get new work.
struct upstream
{
    std::string host;
    endpoint address;
    std::string data_centre;
    std::uint64_t slots = 8;
    std::uint64_t connections = 64;

    bool operator==(const upstream&) const = default;
};

/// One version of a service and where its requests may go.
struct route
{
    service_config service;
    std::uint64_t revision = 0;
    std::chrono::milliseconds staleness_bound{};
    stale_policy when_stale = stale_policy::serve;
    std::vector<upstream> upstreams;

    bool operator==(const route&) const = default;
};

/// How far a node has applied the two streams: the offsets behind the last
/// records applied.
struct applied_position
{
    std::uint64_t system_end = 0;
    std::uint64_t operators_end = 0;

    auto operator<=>(const applied_position&) const = default;
};

/// Everything that an entry process needs to route.
struct routing_table
{
    /// The end of the system's stream that the table was made from.
    std::uint64_t system_end = 0;
    std::uint64_t operators_end = 0;
    std::uint64_t state_hash = 0;
    std::map<service_key, route> routes;

    bool operator==(const routing_table&) const = default;
};

/// Joins the state with the host list: a service's upstreams are the hosts of
/// its pool that are serving in the state and listed as live.
routing_table
make_routing_table(const state& s, const std::vector<listed_host>& hosts);

} // namespace dandeliontack
