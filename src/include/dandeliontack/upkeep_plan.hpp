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

/// Typical time to evacuate a host.
inline constexpr std::chrono::milliseconds evacuation_time{2000};

/// Progress of a wave of upkeep (machine maintenance) as known to its owner.
struct wave_progress_view
{
    /// Machines whose upkeep has begun.
    std::set<std::string> begun;
    /// Machines whose upkeep was ordered and whose order was not answered.
    std::set<std::string> unanswered;
    /// The subset of `begun` that the machine list may still show as up.
    std::set<std::string> recently_begun;
    /// The time left until the wave is to be completed.
    std::chrono::milliseconds time_left{0};
    /// How long a machine is unavailable, including the evacuation of its
    /// host.
    std::chrono::milliseconds cycle{4000};
};

/// The next actions of a wave.
struct upkeep_step
{
    /// Machines whose hosts are to be evacuated.
    std::vector<listed_machine> evacuate;
    /// Machines whose upkeep is to be ordered now.
    std::vector<listed_machine> order;
    /// Every machine that still exists has begun its upkeep and none is down
    /// for it.
    bool completed = false;
};

/// The use of a machine's host.
enum class host_use_state
{
    /// It accepts no new tasks and runs none.
    evacuated,
    /// It runs no task but accepts new ones.
    idle,
    busy
};

/// Plans the next step of a wave. At most the wave's limit of machines are down
/// at once. An unanswered order counts as down and is repeated before new
/// orders. Unused machines are selected first. Busy hosts are evacuated
/// only as fast as the wave's deadline requires, since each takes capacity from
/// its pool.
upkeep_step plan_upkeep(
    const wave_request& wave, const wave_progress_view& progress,
    const std::vector<listed_machine>& machines,
    const std::function<host_use_state(const std::string& host)>& use_of);

} // namespace dandeliontack
