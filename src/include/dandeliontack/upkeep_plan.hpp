#pragma once

#include <dandeliontack/boot_clock.hpp>
#include <dandeliontack/machine_list.hpp>

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

/// Plans the next step of a wave. `is_empty` says whether a host runs nothing.
/// Never more than the wave's limit are down; an unanswered order counts as
/// down, and is repeated before anything else. One machine more than the limit
/// is emptied ahead, so that no time passes between two upkeeps.
upkeep_step plan_upkeep(
    const wave_request& wave, const wave_progress_view& progress,
    const std::vector<listed_machine>& machines,
    const std::function<bool(const std::string& host)>& is_empty);

} // namespace dandeliontack
