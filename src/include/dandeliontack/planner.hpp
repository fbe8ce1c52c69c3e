#pragma once

#include <dandeliontack/event.hpp>
#include <dandeliontack/routing.hpp>
#include <dandeliontack/state.hpp>

#include <chrono>
#include <vector>

namespace dandeliontack
{

/// What a planning step may look at besides the state.
struct planning_input
{
    /// The leader's clock.
    std::chrono::sys_time<std::chrono::milliseconds> now;
    /// The platform's host list as the leader last saw it.
    const std::vector<listed_host>& hosts;
};

/// What the leader proposes next for pools, waves and moves. Pure; each
/// proposal is certified by the reducer when it is applied.
std::vector<event_body> plan_fleet(const state& s, const planning_input& input);

/// What the leader proposes next for jobs.
std::vector<event_body> plan_jobs(const state& s, const planning_input& input);

} // namespace dandeliontack
