#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace dandeliontack
{

/// What the platform's list says of a host.
enum class listing : std::uint8_t
{
    live,
    leaving,
    gone
};

/// The leader saw a change of a host in the platform's list.
struct host_observed
{
    std::string host;
    listing listed = listing::live;
    std::string data_centre;
    std::string rack;
    std::uint64_t processors = 0;
    std::uint64_t memory_mb = 0;
    std::uint64_t accelerators = 0;
};

using fleet_event = std::variant<host_observed>;

} // namespace dandeliontack
