#pragma once

#include <dandeliontack/config_state.hpp>
#include <dandeliontack/fleet_state.hpp>
#include <dandeliontack/job_state.hpp>
#include <dandeliontack/membership_state.hpp>
#include <dandeliontack/order_state.hpp>

#include <cstdint>

namespace dandeliontack
{

/// All that the log's records add up to. Equal on every node that applied
/// the same records.
struct state
{
    order_state order;
    config_state config;
    membership_state membership;
    fleet_state fleet;
    job_state jobs;

    bool operator==(const state&) const = default;
};

/// A 64-bit hash of the whole state, alike on every machine.
std::uint64_t hash_of(const state& s);

} // namespace dandeliontack
