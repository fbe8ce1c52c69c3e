#include <dandeliontack/upkeep_plan.hpp>

#include <algorithm>
#include <cmath>

namespace dandeliontack
{

namespace
{

// How much sooner than asked for a wave is planned to end: the store or the
// holder of the duty may be away for a third of its time.
constexpr double haste = 2.0;

// How many machines have to be away at once for the wave to end in time.
std::size_t
pace_of(const wave_progress_view& progress, std::size_t left, std::size_t most)
{
    const auto time =
        std::max(progress.time_left - progress.cycle, progress.cycle);
    const double needed = haste * static_cast<double>(left) *
                          static_cast<double>(progress.cycle.count()) /
                          static_cast<double>(time.count());
    return std::clamp<std::size_t>(
        static_cast<std::size_t>(std::ceil(needed)), 1,
        std::max<std::size_t>(most, 1));
}

} // namespace

upkeep_step plan_upkeep(
    const wave_request& wave, const wave_progress_view& progress,
    const std::vector<listed_machine>& machines,
    const std::function<host_use_state(const std::string& host)>& use_of)
{
    upkeep_step out;
    std::size_t down = 0;
    std::size_t on_the_way = 0;
    struct choice
    {
        const listed_machine* machine;
        host_use_state use;
    };
    std::vector<choice> left;
    std::vector<choice> again;
    for (const auto& name : wave.machines)
    {
        const auto found =
            std::ranges::find(machines, name, &listed_machine::name);
        if (found == machines.end())
            continue;
        const choice c{
            &*found, found->host.empty() ? host_use_state::emptied
                                         : use_of(found->host)};
        const bool unanswered = progress.unanswered.contains(name);
        if (found->state == machine_state::upkeep || unanswered)
            ++down;
        if (unanswered)
            again.push_back(c);
        else if (
            !progress.begun.contains(name) &&
            found->state != machine_state::upkeep)
        {
            // One that is on its way to another pool has its turn later.
            if (found->state == machine_state::moving)
                ++on_the_way;
            else
                left.push_back(c);
        }
    }
    out.completed =
        left.empty() && again.empty() && down == 0 && on_the_way == 0;
    // An order that was lost may never have been carried out: tasks may run
    // there again by now.
    for (const auto& c : again)
        (c.use == host_use_state::emptied ? out.order : out.evacuate)
            .push_back(*c.machine);
    const std::size_t most = wave.most_at_once;
    const std::size_t free = most > down ? most - down : 0;
    std::ranges::stable_sort(left, {}, &choice::use);
    const auto pace = pace_of(progress, left.size(), most);
    std::size_t ordered = 0;
    std::size_t emptying = 0;
    for (const auto& c : left)
    {
        if (c.use == host_use_state::emptied)
        {
            if (again.empty() && ordered < free)
            {
                out.order.push_back(*c.machine);
                ++ordered;
            }
            else if (!c.machine->host.empty())
            {
                // It has to be kept empty until its turn.
                out.evacuate.push_back(*c.machine);
            }
            continue;
        }
        // What is idle is locked at once, as far as its turn can come soon.
        const auto limit = c.use == host_use_state::idle ? most : pace;
        if (down + ordered + emptying < limit || emptying == 0)
        {
            out.evacuate.push_back(*c.machine);
            ++emptying;
        }
    }
    return out;
}

} // namespace dandeliontack
