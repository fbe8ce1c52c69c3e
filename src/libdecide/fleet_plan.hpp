#pragma once

#include <dandeliontack/fleet_budget.hpp>
#include <dandeliontack/planner.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace dandeliontack
{

/// One planning round of the fleet: the state, what was proposed so far, and
/// the capacity that is left after it.
struct fleet_round
{
    fleet_round(const state& from, const planning_input& seen);

    /// Proposes a claim if the host's pool keeps `reserve` hosts above its
    /// promise. Returns whether it did.
    bool claim(const disruption_claimed& e, std::uint64_t reserve);

    /// The hosts that the pool promises while a disruption lasts.
    std::uint64_t promised(
        const std::string& pool,
        disruption purpose = disruption::maintenance) const;

    const state& s;
    const planning_input& input;
    std::map<std::string, pool_capacity> capacity;
    std::vector<event_body> proposals;

private:
    std::set<std::string> claimed_;
    /// By pool, for maintenance and for what takes a host away longer.
    std::map<std::string, std::uint64_t> promised_;
    std::map<std::string, std::uint64_t> promised_long_;
};

// The steps of a round, in this order.
std::vector<event_body>
plan_observations(const state& s, const planning_input& input);
void plan_advances(fleet_round& round);
void plan_moves(fleet_round& round);
void plan_waves(fleet_round& round);

} // namespace dandeliontack
