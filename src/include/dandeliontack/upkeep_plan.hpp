#pragma once

#include <dandeliontack/boot_clock.hpp>
#include <dandeliontack/machine_list.hpp>

#include <chrono>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace dandeliontack
{

/// How far a wave of upkeep is, as its owner knows it.
struct wave_progress_view
{
    /// Machines whose upkeep has begun.
    std::set<std::string> begun;
    /// Machines whose upkeep was ordered without an answer.
    std::set<std::string> unanswered;
    /// Of `begun`, those that the list of machines may still show as up.
    std::set<std::string> begun_lately;
    /// What is left of the time in which the wave is to end.
    std::chrono::milliseconds time_left{0};
    /// How long a machine is away with the emptying of its host.
    std::chrono::milliseconds cycle{4000};
};

/// What is to be done next for a wave.
struct upkeep_step
{
    /// Machines whose hosts are to be emptied.
    std::vector<listed_machine> evacuate;
    /// Machines whose upkeep is to be ordered now.
    std::vector<listed_machine> order;
    /// Every machine that stays has begun its upkeep and none is down for it.
    bool completed = false;
};

/// What is known of a machine's host.
enum class host_use_state
{
    /// It was asked to take nothing more, and runs nothing.
    emptied,
    /// It runs nothing at the moment.
    idle,
    busy
};

/// Plans the next step of a wave. Never more than the wave's limit are down;
/// an unanswered order counts as down, and is repeated before anything else.
/// Machines that nobody uses go first. Of the others only so many are emptied
/// at a time as the wave's end asks for, as each takes room from its pool.
upkeep_step plan_upkeep(
    const wave_request& wave, const wave_progress_view& progress,
    const std::vector<listed_machine>& machines,
    const std::function<host_use_state(const std::string& host)>& use_of);

} // namespace dandeliontack
