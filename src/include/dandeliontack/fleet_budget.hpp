#pragma once

#include <dandeliontack/budget_window.hpp>
#include <dandeliontack/fleet_effects.hpp>
#include <dandeliontack/state.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dandeliontack
{

/// How long a disruption of a host of this pool may take, by which time the
/// pool may promise more. A moved host is away for the day.
std::chrono::milliseconds disruption_bound(
    const pool_config& pool, disruption purpose, const wave_config* wave);

/// Whether the host counts as capacity of its pool.
bool in_service(const host_record& host);

/// What a pool has.
struct pool_capacity
{
    std::uint64_t members = 0;
    std::uint64_t in_service = 0;
    /// Members under a planned disruption.
    std::uint64_t disrupted = 0;
    /// Members in service, and members disrupted, by rack.
    std::map<std::string, std::uint64_t> rack_in_service;
    std::map<std::string, std::uint64_t> rack_disrupted;
};

/// The capacity of every pool that has members.
std::map<std::string, pool_capacity> measure_pools(const fleet_state& s);

/// What must stay in service when one more host is taken out by plan.
struct keep_level
{
    std::uint64_t hosts = 0;
    /// Whether so many must be left with one more rack lost, too.
    bool with_rack_lost = false;
};

/// What a pool keeps through a disruption that promises `promised` hosts.
/// Only a maintenance holds back the pool's rack reserve.
keep_level
level_of(const pool_config& pool, std::uint64_t promised, disruption purpose);

/// Whether a pool of this capacity may lose one more host of a rack by plan.
/// While another rack has disruptions, the level must also hold with one more
/// rack lost.
bool may_disrupt(
    const pool_capacity& pool, const keep_level& keep, const std::string& rack);

/// Takes a host of a rack out of the capacity, as a claim does.
void disrupt(pool_capacity& pool, const std::string& rack);

/// How long the host's pool gives it to finish its work.
std::chrono::milliseconds
drain_time_of(const state& s, const host_record& host);

/// After how long away the host counts as failed.
std::chrono::milliseconds
return_bound_of(const state& s, const host_record& host);

/// The hosts that a wave still has to maintain: those at home in its pools
/// that it has neither done nor lost. A host that failed before its turn, or
/// is quarantined, is left out.
std::vector<std::string> hosts_left(const state& s, const std::string& wave);

/// Hosts that a wave leaves above the promise, apart from a rack reserve,
/// which covers them.
std::uint64_t wave_reserve(const pool_config& pool);

/// The pools of a wave that have hosts left but may lose none by plan now, as
/// reports show them.
std::vector<std::string>
waiting_pools(const state& s, const std::string& wave, event_time now);

/// Whether a wave has hosts under way or, unless aborted, hosts left.
bool wave_has_work(const state& s, const std::string& wave);

/// Why a claim is void at this time, or an empty text.
std::string
certify_claim(const state& s, const disruption_claimed& e, event_time now);

/// Whether every node that could still route to the host under its last pool
/// has applied the departure, or no longer routes by so old a state.
bool departure_settled(const state& s, const host_record& host, event_time now);

/// What the platform should be told for a host in this phase, if anything.
std::optional<host_command>
command_for(const std::string& name, const host_record& host);

} // namespace dandeliontack
