#include <dandeliontack/upkeep_plan.hpp>

#include <algorithm>

namespace dandeliontack
{

namespace
{

// Hosts that are emptied ahead, beside those that may be down at once.
constexpr std::size_t emptied_ahead = 1;

} // namespace

upkeep_step plan_upkeep(
    const wave_request& wave, const wave_progress_view& progress,
    const std::vector<listed_machine>& machines,
    const std::function<bool(const std::string& host)>& is_empty)
{
    upkeep_step out;
    std::size_t down = 0;
    std::vector<const listed_machine*> left;
    std::vector<const listed_machine*> again;
    for (const auto& name : wave.machines)
    {
        const auto found =
            std::ranges::find(machines, name, &listed_machine::name);
        if (found == machines.end())
            continue;
        const bool begun = progress.begun.contains(name);
        const bool unanswered = progress.unanswered.contains(name);
        // A machine in upkeep, and one whose new host has not come yet.
        if (found->state == machine_state::upkeep || unanswered)
            ++down;
        if (unanswered)
            again.push_back(&*found);
        else if (!begun && found->state != machine_state::upkeep)
            left.push_back(&*found);
    }
    out.completed = left.empty() && again.empty() && down == 0;
    // An order that was lost may never have been carried out: tasks may run
    // there again by now.
    for (const auto* machine : again)
        if (machine->host.empty() || is_empty(machine->host))
            out.order.push_back(*machine);
        else
            out.evacuate.push_back(*machine);
    const std::size_t free =
        wave.most_at_once > down ? wave.most_at_once - down : 0;
    // Machines without a host have nothing to empty and go first.
    std::ranges::stable_partition(
        left, [](const listed_machine* m) { return m->host.empty(); });
    std::size_t ordered = 0;
    for (const auto* machine : left)
    {
        const bool empty = machine->host.empty() || is_empty(machine->host);
        if (again.empty() && empty && ordered < free)
        {
            out.order.push_back(*machine);
            ++ordered;
        }
        else if (
            !machine->host.empty() &&
            out.evacuate.size() < wave.most_at_once + emptied_ahead)
        {
            out.evacuate.push_back(*machine);
        }
    }
    return out;
}

} // namespace dandeliontack
