#include "pool_planner.hpp"
#include <dandeliontack/pool_engine.hpp>

#include <algorithm>
#include <ranges>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;

// With fewer runs, the highest quantile of a route is not known.
constexpr std::size_t runs_to_know_route = 30;
// A task that takes this many times the median is slow, however even the run
// times of its route are.
constexpr double least_slow_pace = 2.0;
// An interval tells the pace once a task that is just slow has made this
// progress, since hosts report whole percents.
constexpr double percent_to_measure = 5;
constexpr double full_percent = 100;
// If a larger share of the pool's hosts seems slow, the tasks are. One host may
// always be.
constexpr std::size_t most_slow_hosts_divisor = 4;

} // namespace

// Tasks that are slow for other reasons than their host's are left out: their
// data is elsewhere, they wait for each other, or get what others leave.
bool pool_engine::shows_pace(const step_spec& step)
{
    return !step.long_running && !step.gang && !step.same_rack &&
           !step.best_effort && step.rack.empty() && step.estimate > 0ms;
}

std::optional<double> pool_engine::slow_pace(const std::string& route) const
{
    const auto known = run_times_.ratios(route);
    if (known.runs < runs_to_know_route)
        return std::nullopt;
    return std::max(known.p97, least_slow_pace * known.median);
}

void pool_engine::measure_pace(
    host_state& h, const running_row& row, host_run& run, host_time reported)
{
    const auto* s = state_of(row.task.submission);
    const auto* step = spec_of(row.task);
    if (!terms_.watch_pace || !s || !step || !shows_pace(*step))
        return;
    if (!run.pace_since)
    {
        run.pace_since = reported;
        run.pace_percent = row.percent;
        return;
    }
    const auto slow = slow_pace(s->record.terms.route);
    const auto interval = reported - *run.pace_since;
    if (!slow || row.percent < run.pace_percent ||
        static_cast<double>(interval.count()) * full_percent <
            percent_to_measure * *slow *
                static_cast<double>(step->estimate.count()))
        return;
    run.pace =
        pace_of(interval, row.percent - run.pace_percent, step->estimate);
    run.pace_since = reported;
    run.pace_percent = row.percent;
    note_pace(h, *s, row.task, run.pace);
}

void pool_engine::note_run_time(
    host_state& h, const submission_state& s, const task_ref& task,
    std::chrono::milliseconds run_time)
{
    const auto& step = s.record.spec.steps[task.step];
    if (!terms_.watch_pace || !shows_pace(step))
        return;
    const auto& route = s.record.terms.route;
    // What a slow host does says nothing of the route.
    if (!h.pace.is_suspect(now_.steady))
        run_times_.add(route, run_time, step.estimate);
    if (slow_pace(route))
        note_pace(
            h, s, task,
            static_cast<double>(run_time.count()) /
                static_cast<double>(step.estimate.count()));
}

bool pool_engine::is_slow_elsewhere(
    const host_state& h, const task_ref& task, double pace) const
{
    const auto& step = active_.at(task.submission)
                           .occurrences.at(task.occurrence)
                           .steps[task.step];
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i)
    {
        const auto& other = step.tasks[i];
        const auto on = hosts_.find(other.host);
        if (i == task.index || on == hosts_.end() || &on->second == &h ||
            on->second.pace.is_suspect(now_.steady))
            continue;
        const auto run = on->second.runs.find(
            {task.submission, task.occurrence, task.step, i});
        if (run != on->second.runs.end() && run->second.pace >= pace)
            return true;
    }
    return false;
}

void pool_engine::note_pace(
    host_state& h, const submission_state& s, const task_ref& task, double pace)
{
    const auto slow = *slow_pace(s.record.terms.route);
    const bool is_slow = pace >= slow;
    if (is_slow && is_slow_elsewhere(h, task, slow))
        return;
    if (is_slow && !h.pace.is_suspect(now_.steady))
    {
        std::size_t hosts = 0;
        std::size_t suspects = 0;
        for (const auto& [id, other] : hosts_)
            if (other.listed && other.entry.pool == h.entry.pool)
            {
                ++hosts;
                suspects += other.pace.is_suspect(now_.steady) ? 1 : 0;
            }
        if (suspects > 0 && (suspects + 1) * most_slow_hosts_divisor > hosts)
            return;
    }
    const auto change = h.pace.add(s.record.id, is_slow, now_.steady);
    if (change == host_pace::change::slow)
        effects_.emplace_back(pool_effect::decision{
            "host_slow",
            {},
            {},
            0,
            h.entry.id,
            "tasks of all its submissions run slower than their routes' do"});
    else if (change == host_pace::change::restored)
        effects_.emplace_back(pool_effect::decision{
            "host_restored",
            {},
            {},
            0,
            h.entry.id,
            "a task runs at its route's pace again"});
}

void pool_engine::leave_slow_host(host_state& h)
{
    if (!h.pace.is_avoided(now_.steady))
        return;
    std::map<std::string, resources> taken;
    const auto find_room = [&](const task_ref& task, const step_spec& step) {
        const auto need = reserved_resources(step);
        return std::ranges::any_of(hosts_, [&](const auto& item) {
            const auto& [id, other] = item;
            if (&other == &h || other.entry.pool != h.entry.pool ||
                other.pace.is_suspect(now_.steady) || !is_eligible(other) ||
                !has_room_for(other, task, step) ||
                !fits(taken[id] + need, other.entry.capacity - other.used))
                return false;
            taken[id] = taken[id] + need;
            return true;
        });
    };
    std::vector<task_ref> tasks;
    for (const auto& [task, run] : h.runs)
    {
        const auto* s = state_of(task.submission);
        const auto* step = spec_of(task);
        if (run.stop_ordered || !s || !step || !shows_pace(*step))
            continue;
        const auto slow = slow_pace(s->record.terms.route);
        if (!slow || run.pace < *slow || is_slow_elsewhere(h, task, *slow))
            continue;
        const std::chrono::duration<double, std::milli> estimate =
            step->estimate;
        const auto left_here =
            estimate * (run.pace * (1 - run.percent / full_percent));
        const auto elsewhere =
            estimate * run_times_.ratios(s->record.terms.route).p90 +
            terms_.stop_bound;
        if (left_here > elsewhere && find_room(task, *step))
            tasks.push_back(task);
    }
    for (const auto& task : tasks)
        order_stop(h, task, "the host is slow, and others have room");
}

} // namespace dandeliontack
