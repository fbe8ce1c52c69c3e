#pragma once

#include <dandeliontack/fleet_events.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace dandeliontack
{

/// A host as the log knows it.
struct host_record
{
    listing listed = listing::live;
    std::string data_centre;
    std::string rack;
    std::uint64_t processors = 0;
    std::uint64_t memory_mb = 0;
    std::uint64_t accelerators = 0;

    bool operator==(const host_record&) const = default;
};

struct fleet_state
{
    std::map<std::string, host_record> hosts;

    bool operator==(const fleet_state&) const = default;
};

} // namespace dandeliontack
