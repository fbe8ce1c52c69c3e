#include <dandeliontack/upkeep_plan.hpp>

#include <algorithm>
#include <cmath>

namespace dandeliontack
{

namespace
{

// Waves are planned to complete this many times faster than required. The store
// or the holder of the fleet duty may be unavailable for a third of a wave's
// time.
constexpr double speedup = 2.0;

// The number of machines that must be unavailable at once for the wave to
// complete in time.
std::size_t required_parallelism(
    const wave_progress_view& progress, std::size_t pending, std::size_t most)
{
    const auto time =
        std::max(progress.time_left - progress.cycle, progress.cycle);
    const double needed = speedup * static_cast<double>(pending) *
                          static_cast<double>(progress.cycle.count()) /
                          static_cast<double>(time.count());
    return std::clamp<std::size_t>(
        static_cast<std::size_t>(std::ceil(needed)), 1,
        std::max<std::size_t>(most, 1));
}

struct wave_member
{
    const listed_machine* machine;
    host_use_state use;
};

// The machines of a wave by state.
struct wave_machines
{
    std::vector<wave_member> pending;
    /// Their order was not answered and is to be repeated.
    std::vector<wave_member> repeat;
    std::size_t down = 0;
    std::size_t relocating = 0;
};

wave_machines classify(
    const wave_request& wave, const wave_progress_view& progress,
    const std::vector<listed_machine>& machines,
    const std::function<host_use_state(const std::string& host)>& use_of)
{
    wave_machines view;
    for (const auto& name : wave.machines)
    {
        const auto found =
            std::ranges::find(machines, name, &listed_machine::name);
        if (found == machines.end())
            continue;
        const wave_member c{
            &*found, found->host.empty() ? host_use_state::evacuated
                                         : use_of(found->host)};
        const bool in_upkeep = found->state == machine_state::upkeep ||
                               progress.recently_begun.contains(name);
        const bool unanswered = progress.unanswered.contains(name);
        if (in_upkeep || unanswered)
            ++view.down;
        if (unanswered)
            view.repeat.push_back(c);
        else if (progress.begun.contains(name) || in_upkeep)
            continue;
        // A machine that is moving to another pool is handled after the move.
        else if (found->state == machine_state::moving)
            ++view.relocating;
        else
            view.pending.push_back(c);
    }
    std::ranges::stable_sort(view.pending, {}, &wave_member::use);
    return view;
}

} // namespace

upkeep_step plan_upkeep(
    const wave_request& wave, const wave_progress_view& progress,
    const std::vector<listed_machine>& machines,
    const std::function<host_use_state(const std::string& host)>& use_of)
{
    upkeep_step out;
    const auto view = classify(wave, progress, machines, use_of);
    out.completed = view.pending.empty() && view.repeat.empty() &&
                    view.down == 0 && view.relocating == 0;
    // A lost order may not have been executed, so tasks may run on the host
    // again. It is evacuated before the order is repeated.
    for (const auto& c : view.repeat)
        (c.use == host_use_state::evacuated ? out.order : out.evacuate)
            .push_back(*c.machine);
    const std::size_t most = wave.max_concurrent;
    // An unanswered order counts twice against the limit, as the original may
    // still be executed after its repetition.
    const std::size_t taken = view.down + view.repeat.size();
    const std::size_t free = most > taken ? most - taken : 0;
    const auto pace = required_parallelism(progress, view.pending.size(), most);
    std::size_t ordered = 0;
    std::size_t evacuating = 0;
    for (const auto& c : view.pending)
    {
        const bool is_evacuated = c.use == host_use_state::evacuated;
        if (is_evacuated && ordered < free)
        {
            out.order.push_back(*c.machine);
            ++ordered;
            continue;
        }
        // Idle hosts are evacuated at once, up to the wave's limit; busy
        // ones only at the required pace.
        const auto limit = c.use == host_use_state::idle ? most : pace;
        const bool next =
            view.down + ordered + evacuating < limit || evacuating == 0;
        // An evacuated host stays evacuated until its upkeep is ordered.
        if (c.machine->host.empty() || (!is_evacuated && !next))
            continue;
        out.evacuate.push_back(*c.machine);
        evacuating += is_evacuated ? 0 : 1;
    }
    return out;
}

} // namespace dandeliontack
