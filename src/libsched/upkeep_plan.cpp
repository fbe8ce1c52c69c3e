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

struct choice
{
    const listed_machine* machine;
    host_use_state use;
};

// The machines of a wave by where they stand.
struct wave_machines
{
    std::vector<choice> left;
    /// Ordered without an answer.
    std::vector<choice> again;
    std::size_t down = 0;
    std::size_t on_the_way = 0;
};

wave_machines look(
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
        const choice c{
            &*found, found->host.empty() ? host_use_state::emptied
                                         : use_of(found->host)};
        const bool in_upkeep = found->state == machine_state::upkeep ||
                               progress.begun_lately.contains(name);
        const bool unanswered = progress.unanswered.contains(name);
        if (in_upkeep || unanswered)
            ++view.down;
        if (unanswered)
            view.again.push_back(c);
        else if (progress.begun.contains(name) || in_upkeep)
            continue;
        // One that is on its way to another pool has its turn later.
        else if (found->state == machine_state::moving)
            ++view.on_the_way;
        else
            view.left.push_back(c);
    }
    std::ranges::stable_sort(view.left, {}, &choice::use);
    return view;
}

} // namespace

upkeep_step plan_upkeep(
    const wave_request& wave, const wave_progress_view& progress,
    const std::vector<listed_machine>& machines,
    const std::function<host_use_state(const std::string& host)>& use_of)
{
    upkeep_step out;
    const auto view = look(wave, progress, machines, use_of);
    out.completed = view.left.empty() && view.again.empty() && view.down == 0 &&
                    view.on_the_way == 0;
    // An order that was lost may never have been carried out: tasks may run
    // there again by now.
    for (const auto& c : view.again)
        (c.use == host_use_state::emptied ? out.order : out.evacuate)
            .push_back(*c.machine);
    const std::size_t most = wave.most_at_once;
    // An order without an answer holds a second place: its repeat may find that
    // the first is still to come.
    const std::size_t taken = view.down + view.again.size();
    const std::size_t free = most > taken ? most - taken : 0;
    const auto pace = pace_of(progress, view.left.size(), most);
    std::size_t ordered = 0;
    std::size_t emptying = 0;
    for (const auto& c : view.left)
    {
        const bool emptied = c.use == host_use_state::emptied;
        if (emptied && ordered < free)
        {
            out.order.push_back(*c.machine);
            ++ordered;
            continue;
        }
        // What is idle is locked at once, as far as its turn can come soon.
        const auto limit = c.use == host_use_state::idle ? most : pace;
        const bool next =
            view.down + ordered + emptying < limit || emptying == 0;
        // An emptied host has to be kept empty until its turn.
        if (c.machine->host.empty() || (!emptied && !next))
            continue;
        out.evacuate.push_back(*c.machine);
        emptying += emptied ? 0 : 1;
    }
    return out;
}

} // namespace dandeliontack
