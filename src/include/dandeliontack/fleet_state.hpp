#pragma once

#include <dandeliontack/fleet_events.hpp>
#include <dandeliontack/incarnation.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
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

    /// Whether the platform's list has shown it; a host that only the
    /// configuration names doesn't count as capacity.
    bool observed = false;
    /// The one pool that it belongs to; empty while it is in none.
    std::string pool;
    host_phase phase = host_phase::serving;
    /// The disruption under way, with the wave or the target of a move.
    disruption purpose = disruption::none;
    std::string wave;
    std::string to_pool;
    /// When the phase began, and the record that began it.
    std::chrono::sys_time<std::chrono::milliseconds> since;
    std::uint64_t offset = 0;
    std::uint64_t term = 0;
    /// Whether the list showed it away since its reboot began.
    bool seen_away = false;
    /// What the pool that it departs from says of stale nodes: after this
    /// long none of them routes to it any more; 0 where they would go on.
    std::chrono::milliseconds departure_bound{0};

    bool operator==(const host_record&) const = default;
};

/// How far a wave has come.
struct wave_progress
{
    /// Hosts that are back in service.
    std::set<std::string> done;
    /// Hosts that did not come back, or failed after they had.
    std::set<std::string> failed;
    /// Failures since the wave was last published.
    std::uint64_t recent_failures = 0;
    /// The revision of the wave that was halted; 0 where none was. Publishing
    /// the wave again resumes it.
    std::uint64_t halted_revision = 0;
    bool ended = false;

    bool operator==(const wave_progress&) const = default;
};

struct fleet_state
{
    using host_map = std::map<std::string, host_record>;
    using host_entry = host_map::value_type;

    host_map hosts;
    std::map<std::string, wave_progress> waves;
    /// How far each node routes by the system's stream, as it recorded.
    std::map<incarnation, std::uint64_t> departures_applied;

    bool operator==(const fleet_state&) const = default;
};

} // namespace dandeliontack
