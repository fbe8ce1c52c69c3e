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

/// Where a host stands in its life cycle. Only a serving host counts for the
/// budget of its pool.
enum class host_phase : std::uint8_t
{
    serving,
    leaving,
    drained,
    rebooting,
    joining,
    failed,
    quarantined
};

/// Why a host is taken out of service by plan.
enum class disruption : std::uint8_t
{
    none,
    maintenance,
    move,
    quarantine
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

/// A claim on the budget of the host's pool. Certified by the reducer: the
/// host starts to drain, or the claim is void.
struct disruption_claimed
{
    std::string host;
    disruption purpose = disruption::none;
    /// The wave that a maintenance belongs to.
    std::string wave;
    /// The pool that a move goes to; empty to leave all pools.
    std::string to_pool;
};

/// A host goes from one phase to the next. Void unless it is still in `from`
/// and the step's precondition holds.
struct host_advanced
{
    std::string host;
    host_phase from = host_phase::serving;
    host_phase to = host_phase::serving;
};

/// The writer and the entry processes that follow it have applied the
/// system's stream up to here, and route by it.
struct departures_applied
{
    std::uint64_t system_end = 0;
};

/// A wave has nothing left to do.
struct wave_ended
{
    std::string wave;
};

using fleet_event = std::variant<
    host_observed, disruption_claimed, host_advanced, departures_applied,
    wave_ended>;

} // namespace dandeliontack
