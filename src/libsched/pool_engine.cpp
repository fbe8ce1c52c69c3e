#include "completion_forecast.hpp"
#include "pool_planner.hpp"
#include <dandeliontack/pool_engine.hpp>
#include <dandeliontack/upkeep_plan.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <ranges>
#include <utility>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;

// Run numbers reserved per epoch for each task; far more than the restarts that
// can happen between two stored ends.
constexpr std::uint32_t runs_per_epoch = 1000;
// Consecutive reports without a run after which the run counts as gone. A
// single report may have been made before the run started.
constexpr std::uint32_t missing_report_limit = 2;
// A stop that the host has not acknowledged is repeated after this time.
constexpr auto stop_retry_delay = 500ms;
// A host is suspended after this many failures in a row, if they come from at
// least `submissions_to_suspend` submissions.
constexpr std::uint32_t failures_to_suspend = 3;
constexpr std::size_t submissions_to_suspend = 2;
// Bounds of the suspension time, which doubles with each suspension in a row.
constexpr auto min_suspension = 2000ms;
constexpr auto max_suspension = 8000ms;
// Runs of a long-running task that end earlier than this are short. From the
// second in a row, the task is started again after a pause, which doubles with
// each one up to 4 s.
constexpr auto steady_run_time = 5000ms;
constexpr auto min_restart_pause = 250ms;
constexpr std::uint32_t max_restart_doublings = 4;
// A host that refused a start, or had no room for it, gets no starts for this
// time. After a malformed request, the task is not started for its pause.
constexpr auto refusal_pause = 500ms;
constexpr auto no_room_pause = 300ms;
constexpr auto malformed_pause = 2000ms;
// An unlisted host may reappear within this time: the platform restores
// registrations that expired during an outage of its store within 2 s.
constexpr auto unlisted_grace = 2500ms;
// A run counts as hung if its progress has not changed for this time or the
// task's estimate, whichever is longer.
constexpr auto min_stall_time = 1500ms;
// The limit for a long-running task that is not yet at 100 %.
constexpr auto startup_stall_time = 5000ms;
// A start that is neither answered nor reported as running within this time is
// stopped.
constexpr auto start_timeout = 5000ms;
// Weight of the newest run in the moving average of run time to estimate.
constexpr double estimate_smoothing = 0.1;
constexpr double min_estimate_factor = 0.3;
constexpr double max_estimate_factor = 4.0;
constexpr std::uint32_t full_percent = 100;
// Assumed capacity of a host while none of the pool is known.
constexpr resources default_host_capacity{16'000, 32'768, 0};
// How long a task's progress must have been at 100 % before the task counts as
// available.
constexpr auto min_available_time = 300ms;
// How long a host gets no new tasks after a lending request; more than two
// rounds of the fleet duty, which repeats the request while it holds.
constexpr auto lending_duration = 800ms;
// Interval between checks of all tasks against the runs on hosts.
constexpr auto task_check_interval = 1000ms;
// A host that has not answered for this time, which is longer than a hold call
// may take, counts as silent.
constexpr auto silent_after = 1700ms;
// The last part of a ticket's validity that is not used, as a divisor: a start
// must reach the host before the ticket expires.
constexpr int ticket_margin = 10;

// An account that was not held back for this time counts as released in the
// log.
constexpr auto held_log_pause = 1000ms;

// The batch of a record that the store will never hold.
constexpr auto never_stored = std::numeric_limits<std::uint64_t>::max();
// Bounds of what a submission keeps open at a time; further occurrences open as
// others are done.
constexpr std::uint64_t max_open_tasks = 100'000;
constexpr std::uint64_t max_open_occurrences = 1000;
// Failed runs of a task that are kept by number. Runs before them have been
// acknowledged to their hosts, so they are not reported again.
constexpr std::size_t max_failed_runs = 1000;
// A task's state is long beyond these.
constexpr std::size_t max_short_checkpoint = 128;
constexpr std::size_t max_short_failed_runs = 50;

void mark_started(submission_state& s)
{
    s.started = true;
    s.phase = submission_phase::running;
}

double work_of(const submission_spec& spec)
{
    double sum = 0;
    for (const auto& step : spec.steps)
        sum += static_cast<double>(step.count) *
               static_cast<double>(step.need.cpu_milli) / 1000.0 *
               static_cast<double>(step.estimate.count());
    return sum;
}

bool has_attempt_limit(const step_spec& step)
{
    return !step.long_running;
}

// The failed runs of a gang, of which all members have the same number.
std::size_t gang_failures_of(const step_state& step)
{
    std::set<std::uint32_t> runs;
    std::uint32_t older = 0;
    for (const auto& t : step.tasks)
    {
        runs.insert(t.failed_runs.begin(), t.failed_runs.end());
        older = std::max(older, t.older_failures);
    }
    return runs.size() + older;
}

// Applies the ends of a step's tasks that are stored up to `batch`. Returns
// whether a task or the gang has used up its attempts, by stored ends alone: a
// successor has to come to the same result.
bool apply_stored_ends(
    step_state& step, const step_spec& spec, std::uint32_t max_attempts,
    std::uint64_t batch)
{
    for (auto& t : step.tasks)
        if (t.phase == task_phase::recording && t.recorded_in <= batch)
            t.phase = t.ended_done ? task_phase::done : task_phase::waiting;
    const auto count_done = [&] {
        return static_cast<std::uint32_t>(std::ranges::count(
            step.tasks, task_phase::done, &task_state::phase));
    };
    step.done = count_done();
    // Records of earlier versions may hold the end of some members only.
    if (spec.gang && step.done > 0)
        for (auto& t : step.tasks)
            t.phase = task_phase::done;
    step.done = count_done();
    if (!has_attempt_limit(spec))
        return false;
    const auto is_stored = [&](const task_state& t) {
        return t.recorded_in <= batch;
    };
    if (spec.gang)
        return step.done == 0 && std::ranges::all_of(step.tasks, is_stored) &&
               gang_failures_of(step) >= max_attempts;
    return std::ranges::any_of(step.tasks, [&](const task_state& t) {
        return t.phase != task_phase::done && is_stored(t) &&
               failures_of(t) >= max_attempts;
    });
}

} // namespace

bool is_in_progress(const task_state& t)
{
    return t.phase == task_phase::starting || t.phase == task_phase::running ||
           t.phase == task_phase::stopping;
}

bool is_done(const task_state& t)
{
    return t.phase == task_phase::done ||
           (t.phase == task_phase::recording && t.ended_done);
}

void add_failure(task_state& t, std::uint32_t run)
{
    t.failed_runs.insert(run);
    while (t.failed_runs.size() > max_failed_runs)
    {
        t.failed_runs.erase(t.failed_runs.begin());
        ++t.older_failures;
    }
}

std::uint32_t failures_of(const task_state& t)
{
    return t.older_failures + static_cast<std::uint32_t>(t.failed_runs.size());
}

bool has_long_state(const task_state& t)
{
    return t.phase != task_phase::done && t.recorded_run > 0 &&
           (t.checkpoint.size() > max_short_checkpoint ||
            t.failed_runs.size() > max_short_failed_runs);
}

progress_part part_of(const submission_spec& spec, const task_ref& task)
{
    auto number = task.index;
    for (std::uint32_t i = 0; i < task.step; ++i)
        number += spec.steps[i].count;
    return {task.submission, task.occurrence, number / tasks_per_part};
}

void for_each_task(
    const submission_state& s, const progress_part& part,
    const std::function<void(const task_ref&, const task_state&)>& visit)
{
    const auto occurrence = s.occurrences.find(part.occurrence);
    if (occurrence == s.occurrences.end())
        return;
    const std::uint64_t begin = std::uint64_t{part.part} * tasks_per_part;
    const auto end = begin + tasks_per_part;
    std::uint64_t first = 0;
    for (std::uint32_t i = 0; i < occurrence->second.steps.size(); ++i)
    {
        const auto& tasks = occurrence->second.steps[i].tasks;
        const auto from =
            std::clamp<std::uint64_t>(begin, first, first + tasks.size());
        const auto to =
            std::clamp<std::uint64_t>(end, first, first + tasks.size());
        for (auto at = from; at < to; ++at)
        {
            const auto index = static_cast<std::uint32_t>(at - first);
            visit({part.submission, part.occurrence, i, index}, tasks[index]);
        }
        first += tasks.size();
    }
}

bool is_silent(const host_state& h, boot_time now)
{
    return now - h.last_answer >= silent_after;
}

std::string_view to_string(start_answer answer)
{
    constexpr std::array<std::string_view, 10> names{
        "started",   "fenced",    "run too low", "too late",     "no room",
        "no ticket", "malformed", "refused",     "another life", "unknown"};
    return names.at(static_cast<std::size_t>(answer));
}

std::string_view to_string(run_outcome outcome)
{
    constexpr std::array<std::string_view, 6> names{
        "done", "failed", "stopped", "lapsed", "broken", "alone"};
    return names.at(static_cast<std::size_t>(outcome));
}

bool pool_changes::empty() const
{
    return accepted.empty() && progressed.empty() && finished.empty() &&
           dropped_parts.empty() && dropped_tasks.empty() &&
           forgotten.empty() && used_hosts.empty() && dropped_hosts.empty();
}

pool_engine::pool_engine(pool_terms terms, std::uint64_t epoch)
    : terms_(std::move(terms)), kept_(terms_.memory), epoch_(epoch)
{}

void pool_engine::restore(
    submission_record record, moment now,
    const std::function<void(submission_state&)>& progress)
{
    now_ = now;
    const auto id = record.id;
    auto& s = active_[id];
    s.record = std::move(record);
    s.memory = memory_of(s.record);
    s.arrived = now.steady;
    s.work = work_of(s.record.spec);
    // Time that it has waited under previous owners counts towards its
    // objective.
    const auto age = now.wall - s.record.accepted;
    if (age > 0ms)
        s.arrived -= std::min<std::chrono::milliseconds>(age, 60s);
    progress(s);
    for (auto& [k, occurrence] : s.occurrences)
        for (auto& step : occurrence.steps)
            for (auto& task : step.tasks)
            {
                task.inherited = task.phase != task_phase::done;
                s.started = s.started || task.recorded_run > 0;
            }
    open_occurrences(s);
    for (auto& [k, occurrence] : s.occurrences)
        for (auto& step : occurrence.steps)
            for (auto& task : step.tasks)
                task.inherited = task.phase != task_phase::done;
    if (s.started)
        s.phase = submission_phase::running;
    count_memory(s);
}

void pool_engine::restore_finished(
    std::uint64_t submission, submission_phase phase, moment now)
{
    if (finished_
            .insert_or_assign(submission, finished{phase, now.steady, 0, 0})
            .second)
        kept_.replace(0, finished_submission_bytes);
}

void pool_engine::restore_host(const host_use& use, moment now)
{
    auto& h = hosts_[use.id];
    h.entry.id = use.id;
    h.entry.born = use.born;
    h.entry.pool = use.pool;
    h.entry.address = use.address;
    h.unlisted_since = now.steady;
    h.known_since = now.steady;
    // Tasks that a previous owner started there run under leases that it
    // granted.
    h.lease.begin_incarnation(now.steady, terms_.leases.takeover_wait());
    h.closed = use.closed;
    if (use.closed)
        unsettled_closed_hosts_[use.id] = {use.tasks.begin(), use.tasks.end()};
    else
        unsettled_hosts_.insert(use.id);
}

void pool_engine::begin(moment now)
{
    now_ = now;
    settling_ = true;
    takeover_deadline_ = now.steady + terms_.leases.takeover_wait();
    std::vector<std::uint64_t> ids;
    ids.reserve(active_.size());
    for (const auto& [id, s] : active_)
        ids.push_back(id);
    for (const auto id : ids)
    {
        auto* s = active_submission(id);
        if (s && s->cancelled_in != 0)
            finish(*s, submission_phase::cancelled);
        else if (s)
            apply_stored(*s, 0);
    }
    effects_.clear();
}

pool_effects pool_engine::apply(const pool_event_body& event, moment now)
{
    now_ = now;
    effects_.clear();
    std::visit([this](const auto& e) { on(e); }, event);
    return std::move(effects_);
}

void pool_engine::on(const pool_event::submitted& e)
{
    if (active_.contains(e.record.id) || finished_.contains(e.record.id))
        return;
    auto& s = active_[e.record.id];
    s.record = e.record;
    s.record.epoch = epoch_;
    s.memory = memory_of(s.record);
    s.arrived = now_.steady;
    s.work = work_of(s.record.spec);
    s.accepted_in = next_batch_;
    mark_excess(s);
    if (has_shares(s.record))
        add_backlog(
            backlogs_[s.record.terms.pool], s,
            remaining_work(s, typical_host(s.record.terms.pool)));
    count_arrival(s.record);
    count_memory(s);
    changes_.accepted.push_back(e.record.id);
}

void pool_engine::on(const pool_event::cancelled& e)
{
    auto* s = active_submission(e.submission);
    if (!s || s->cancelled_in != 0)
        return;
    s->cancelled_in = next_batch_;
    note_progress(progress_part{e.submission, 0, 0});
}

void pool_engine::open_occurrences(submission_state& s)
{
    const auto& spec = s.record.spec;
    const auto total = std::max<std::uint32_t>(spec.repetitions, 1);
    const auto most_open = std::clamp<std::uint64_t>(
        max_open_tasks / std::max<std::uint64_t>(tasks_of(spec), 1), 1,
        max_open_occurrences);
    for (auto& k = s.next_occurrence; k < total; ++k)
    {
        const auto due = spec.first_due + spec.interval * k;
        if ((spec.repetitions > 0 && due > now_.wall) ||
            s.occurrences.size() >= most_open ||
            (!s.occurrences.empty() && !kept_.has_room(s.memory.occurrence)))
            break;
        if (!s.occurrences.contains(k) && !s.occurrences_done.contains(k))
            open_occurrence(s, k);
    }
}

void pool_engine::open_occurrence(submission_state& s, std::uint32_t k)
{
    const auto& spec = s.record.spec;
    auto& occurrence = s.occurrences[k];
    occurrence.due = spec.repetitions > 0 ? now_.steady : s.arrived;
    for (std::uint32_t i = 0; i < spec.steps.size(); ++i)
    {
        auto& tasks = occurrence.steps.emplace_back().tasks;
        tasks.resize(spec.steps[i].count);
        if (s.record.epoch == epoch_)
            continue;
        for (std::uint32_t j = 0; j < tasks.size(); ++j)
            tasks[j].inherited = may_be_inherited({s.record.id, k, i, j});
    }
    count_memory(s);
}

// An occurrence is counted from the acceptance on, before it is due.
void pool_engine::count_memory(submission_state& s)
{
    const auto occurrences = std::max<std::uint64_t>(s.occurrences.size(), 1);
    const auto bytes = s.memory.fixed + occurrences * s.memory.occurrence;
    kept_.replace(std::exchange(s.kept_bytes, bytes), bytes);
}

void pool_engine::count_runs()
{
    std::size_t runs = 0;
    for (const auto& [id, h] : hosts_)
        runs += h.runs.size();
    const auto bytes = memory_of_runs(runs);
    kept_.replace(std::exchange(run_bytes_, bytes), bytes);
}

void pool_engine::erase_active(submission_state& s)
{
    kept_.replace(s.kept_bytes, 0);
    const auto id = s.record.id;
    active_.erase(id);
}

void pool_engine::open_reported_occurrence(const task_ref& task)
{
    auto* s = active_submission(task.submission);
    if (!s)
        return;
    const auto& spec = s->record.spec;
    if (task.occurrence >= std::max<std::uint32_t>(spec.repetitions, 1) ||
        s->occurrences.contains(task.occurrence) ||
        s->occurrences_done.contains(task.occurrence) ||
        task.step >= spec.steps.size() ||
        task.index >= spec.steps[task.step].count)
        return;
    open_occurrence(*s, task.occurrence);
    log_decision(
        "occurrence_opened", task, 0, {},
        "a host lists a run of it that a previous owner started");
}

bool pool_engine::may_be_inherited(const task_ref& task) const
{
    if (!settling_ || !settled_at_)
        return settling_;
    return std::ranges::any_of(unsettled_closed_hosts_, [&](const auto& item) {
        return item.second.contains(task);
    });
}

void pool_engine::on(const pool_event::hosts_listed& e)
{
    for (auto& [id, h] : hosts_)
    {
        if (h.listed)
            h.unlisted_since = now_.steady;
        h.listed = false;
    }
    for (const auto& entry : e.entries)
    {
        auto found = hosts_.find(entry.id);
        if (found != hosts_.end() && found->second.entry.born < entry.born)
            begin_incarnation(found->second, entry.born);
        if (found == hosts_.end())
        {
            found = hosts_.emplace(entry.id, host_state{}).first;
            found->second.known_since = now_.steady;
            found->second.recorded_in = next_batch_;
            changes_.used_hosts.push_back(entry.id);
            if (const auto until = evacuations_.find(entry.id);
                until != evacuations_.end())
                found->second.evacuate_until = until->second;
        }
        auto& h = found->second;
        h.listed = true;
        // The list may be older than the host's own report of its incarnation,
        // which may have other labels, another address or another capacity.
        if (entry.born < h.entry.born)
            continue;
        if (!h.entry.draining && entry.draining)
            effects_.emplace_back(
                pool_effect::decision{"host_drains", {}, {}, 0, entry.id, {}});
        h.entry = entry;
        h.described = true;
    }
}

void pool_engine::on(const pool_event::host_reported& e)
{
    const auto found = hosts_.find(e.host);
    if (found == hosts_.end() || found->second.entry.born != e.born)
        return;
    // What the host lists stays there, unacknowledged, for the successor.
    // Applying it would reopen the host, and add changes to store for as long
    // as tasks end.
    if (handing_over_)
        return;
    auto& h = found->second;
    if (e.report.born && *e.report.born != h.entry.born)
        begin_incarnation(h, *e.report.born);
    // Releases the runs if every lease has expired since the last tick.
    expire_host(h);
    h.lease.observe(e.report.clock, now_.steady);
    h.last_answer = now_.steady;
    h.last_answered_call = std::max(h.last_answered_call, e.sent);
    apply_ends(h, e.report);
    for (const auto& row : e.report.running)
        apply_running(h, row, e.report.clock);
    if (e.report.ends_complete)
        release_missing(h, e);
    h.contacted = true;
    if (e.report.ends_complete && !std::exchange(h.caught_up, true))
        settle_host(e.host);
    if (h.closed)
        set_closed(h, false);
    advance_ack_cursor(h);
    update_takeover();
}

void pool_engine::on(const pool_event::host_incarnation_ended& e)
{
    const auto found = hosts_.find(e.host);
    if (found == hosts_.end())
        return;
    const bool is_newer = found->second.known_since > e.known_before;
    if (is_newer || found->second.last_answered_call > e.seen)
    {
        effects_.emplace_back(pool_effect::decision{
            "host_end_refuted",
            {},
            {},
            0,
            e.host,
            is_newer ? "the incarnation may have begun later"
                     : "the host has answered a later call"});
        return;
    }
    release_all(found->second, "the incarnation of the host has ended");
    settle_host(e.host);
    changes_.dropped_hosts.push_back(e.host);
    hosts_.erase(found);
    update_takeover();
}

void pool_engine::on(const pool_event::start_answered& e)
{
    const auto found = hosts_.find(e.host);
    if (found == hosts_.end() || found->second.entry.born != e.born)
        return;
    auto& h = found->second;
    if (e.clock)
    {
        h.lease.observe(*e.clock, now_.steady);
        h.last_answer = now_.steady;
    }
    const auto run = h.runs.find(e.task);
    if (run == h.runs.end() || run->second.run != e.run)
        return;
    auto* t = find_task(e.task);
    switch (e.answer)
    {
    case start_answer::started:
        run->second.confirmed = true;
        run->second.confirmed_at = now_.steady;
        if (t && t->phase == task_phase::starting && t->run == e.run)
        {
            t->phase = task_phase::running;
            t->started = now_.steady;
            t->progressed = now_.steady;
        }
        if (auto* s = active_submission(e.task.submission))
            mark_started(*s);
        if (h.fill_percent < full_percent && run->second.best_effort)
            effects_.emplace_back(pool_effect::pace{
                e.host, e.born, e.task, e.run, h.fill_percent});
        return;
    case start_answer::unknown:
        // The host may have listed the run meanwhile.
        if (run->second.confirmed)
            return;
        order_stop(h, e.task, "the start request got no definite answer");
        return;
    case start_answer::no_room:
        h.blocked_until = now_.steady + no_room_pause;
        break;
    case start_answer::refused:
        h.health.avoid_until = now_.steady + refusal_pause;
        break;
    case start_answer::malformed:
        if (t)
            t->retry_at = now_.steady + malformed_pause;
        break;
    case start_answer::ticket_refused:
        if (auto* step = find_step(e.task))
            step->advice.erase(e.host);
        break;
    default:
        break;
    }
    log_decision(
        "start_rejected", e.task, e.run, e.host,
        std::string(to_string(e.answer)));
    release(h, e.task, to_string(e.answer));
}

void pool_engine::on(const pool_event::stop_answered& e)
{
    const auto found = hosts_.find(e.host);
    if (found == hosts_.end() || found->second.entry.born != e.born)
        return;
    const auto run = found->second.runs.find(e.task);
    if (run == found->second.runs.end() || run->second.run != e.run)
        return;
    // Only the first acknowledgement counts: a report requested after it that
    // does not list the run shows that the run has ended. Repeated stops must
    // not move this time on.
    if (e.accepted && !run->second.stop_acknowledged)
        run->second.stop_acknowledged = now_.steady;
}

void pool_engine::on(const pool_event::advice_answered& e)
{
    --pending_advice_;
    auto* step = find_step(e.step);
    if (!step)
        return;
    const auto asked = std::exchange(step->asked_hosts, {});
    if (!e.answered)
        return;
    const auto& terms =
        *active_submission(e.step.submission)->record.terms.advice;
    const auto valid = e.valid > 0ms ? e.valid : terms.valid;
    for (const auto& [host, born] : asked)
        step->advice[host] = {born, {}, {}};
    for (const auto& [host, ticket] : e.granted)
        if (const auto known = step->advice.find(host);
            known != step->advice.end())
        {
            known->second.ticket = ticket;
            known->second.valid_until =
                now_.steady + valid - valid / ticket_margin;
        }
}

void pool_engine::on(const pool_event::batch_stored& e)
{
    stored_batch_ = e.batch;
    while (!unstored_progress_.empty() &&
           unstored_progress_.begin()->first <= e.batch)
    {
        const auto ids = std::move(unstored_progress_.begin()->second);
        unstored_progress_.erase(unstored_progress_.begin());
        for (const auto id : ids)
        {
            auto* s = active_submission(id);
            if (!s)
                continue;
            if (s->accepted_in != 0 && s->accepted_in <= e.batch)
            {
                s->accepted_in = 0;
                open_occurrences(*s);
            }
            if (s->cancelled_in != 0 && s->cancelled_in <= e.batch)
            {
                finish(*s, submission_phase::cancelled);
                continue;
            }
            apply_stored(*s, e.batch);
        }
    }
    for (auto& [id, h] : hosts_)
    {
        if (h.recorded_in != 0 && h.recorded_in <= e.batch)
            h.recorded_in = 0;
        advance_ack_cursor(h);
    }
}

// A submission of which not even a part can be stored can't go on; the others
// must not wait for it.
void pool_engine::on(const pool_event::records_refused& e)
{
    for (const auto& host : e.hosts)
        if (const auto found = hosts_.find(host); found != hosts_.end())
            found->second.recorded_in = never_stored;
    for (const auto id : e.submissions)
    {
        auto* s = active_submission(id);
        if (!s)
            continue;
        log_decision(
            "submission_unstorable", {id, 0, 0, 0}, 0, {},
            "the store refuses a record of the submission");
        if (s->accepted_in != 0)
        {
            stop_all_runs(*s, "the submission can't be stored");
            std::erase_if(changes_.progressed, [&](const progress_part& part) {
                return part.submission == id;
            });
            erase_active(*s);
        }
        else
        {
            finish(*s, submission_phase::failed);
            // A successor does not know what the store has refused.
            auto& ended = finished_.at(id);
            ended.shown_after = ended.stored_in;
            for (auto& [name, h] : hosts_)
                for (auto& end : h.unacknowledged_ends)
                    if (end.submission == id)
                        end.batch = ended.stored_in;
        }
    }
}

void pool_engine::on(const pool_event::evacuation_requested& e)
{
    std::erase_if(evacuations_, [&](const auto& item) {
        return item.second <= now_.steady;
    });
    evacuations_[e.host] = e.until;
    const auto found = hosts_.find(e.host);
    if (found == hosts_.end())
        return;
    if (found->second.evacuate_until < now_.steady)
        effects_.emplace_back(pool_effect::decision{
            "host_evacuates",
            {},
            {},
            0,
            e.host,
            "the host has to be empty for maintenance or a move"});
    found->second.evacuate_until = e.until;
    evacuate(found->second);
}

// Prefers hosts that are already being lent, then those with the fewest runs,
// as they become idle first. Hosts with long-running tasks are not lent.
void pool_engine::on(const pool_event::lending_requested& e)
{
    std::vector<host_state*> candidates;
    for (auto& [id, h] : hosts_)
        if (h.entry.pool == e.pool && h.listed && h.contacted &&
            !h.runs.empty() && h.evacuate_until <= now_.steady &&
            std::ranges::none_of(h.runs, [](const auto& run) {
                return run.second.long_running;
            }))
            candidates.push_back(&h);
    std::ranges::stable_sort(candidates, {}, [&](const host_state* h) {
        return std::pair(h->lent_until <= now_.steady, h->runs.size());
    });
    for (auto* h : candidates | std::views::take(e.hosts))
    {
        if (h->lent_until <= now_.steady)
            effects_.emplace_back(pool_effect::decision{
                "host_lent",
                {},
                {},
                0,
                h->entry.id,
                "another pool needs the capacity more urgently"});
        h->lent_until = now_.steady + lending_duration;
    }
}

void pool_engine::on(const pool_event::accounts_changed& e)
{
    if (e.version < accounts_version_)
        return;
    const bool is_first = !accounts_;
    accounts_ = e.accounts;
    accounts_version_ = e.version;
    if (is_first && accounts_)
        mark_all_excess();
    budget_.set_accounts(e.accounts, e.version);
}

void pool_engine::on(const pool_event::allotments_called& e)
{
    budget_.apply(e.call, epoch_);
}

allotment_report
pool_engine::report_allotments(const allotment_call& call) const
{
    return budget_.report(call, epoch_);
}

const account_budget& pool_engine::budget() const
{
    return budget_;
}

// A run of a submission that has finished under a previous owner is of an
// account that is not known any more. It is being stopped.
bool pool_engine::knows_all_accounts() const
{
    return !settling_ && std::ranges::none_of(hosts_, [this](const auto& item) {
        return std::ranges::any_of(item.second.runs, [this](const auto& held) {
            const auto& [task, run] = held;
            return run.inherited && run.account == 0 &&
                   !active_.contains(task.submission);
        });
    });
}

void pool_engine::log_held_accounts()
{
    const auto log = [this](std::string_view name, std::string reason) {
        effects_.emplace_back(
            pool_effect::decision{name, {}, {}, 0, {}, std::move(reason)});
    };
    for (const auto& account : budget_.accounts())
    {
        if (account.wanted == resources{})
            continue;
        if (!held_accounts_.contains(account.name))
            log("account_held",
                "account " + account.name + " has no room in its limit");
        held_accounts_[account.name] = now_.steady;
    }
    std::erase_if(held_accounts_, [&](const auto& item) {
        if (now_.steady - item.second < held_log_pause)
            return false;
        log("account_released",
            "account " + item.first + " has room in its limit again");
        return true;
    });
}

void pool_engine::on(const pool_event::tick& /*e*/)
{
    for (auto& [id, h] : hosts_)
    {
        expire_host(h);
        check_runs(h);
        if (!h.closed && h.contacted && h.caught_up &&
            is_silent(h, now_.steady))
            set_closed(h, true);
        if (h.evacuate_until > now_.steady || h.entry.draining)
            evacuate(h);
        pace_fillers(h);
        leave_slow_host(h);
    }
    std::erase_if(hosts_, [&](auto& item) {
        auto& [id, h] = item;
        const bool gone = !h.listed && h.runs.empty() &&
                          now_.steady - h.unlisted_since > unlisted_grace &&
                          h.lease.has_ended(now_.steady) &&
                          !unsettled_hosts_.contains(id) &&
                          !unsettled_closed_hosts_.contains(id);
        if (gone)
            changes_.dropped_hosts.push_back(id);
        return gone;
    });
    for (auto& [id, s] : active_)
        if (s.record.spec.repetitions > 0 && s.accepted_in == 0)
            open_occurrences(s);
    std::erase_if(finished_, [&](const auto& item) {
        const bool old =
            now_.steady - item.second.since > terms_.finished_retention;
        if (old)
        {
            changes_.forgotten.push_back(item.first);
            kept_.replace(finished_submission_bytes, 0);
        }
        return old;
    });
    count_runs();
    update_takeover();
    if (now_.steady - tasks_checked_ >= task_check_interval)
        check_tasks();
    if (!budget_.is_settled() && knows_all_accounts())
        budget_.settle();
    budget_.begin_planning();
    pool_planner(*this).plan();
    log_held_accounts();
}

// The host restarted under the same id: all earlier runs have ended, and its
// counters start again. Starts in flight may have reached the new incarnation,
// so the runs are kept until its next reports show which are gone.
void pool_engine::begin_incarnation(
    host_state& h, std::chrono::milliseconds born)
{
    effects_.emplace_back(
        pool_effect::decision{"host_restarted", {}, {}, 0, h.entry.id, {}});
    h.entry.born = born;
    h.known_since = now_.steady;
    h.described = false;
    h.restarted = true;
    h.last_answered_call = {};
    h.lease.begin_incarnation(now_.steady, terms_.max_lease);
    h.contacted = false;
    h.caught_up = false;
    h.last_seen_end = 0;
    h.ack_cursor = 0;
    h.unacknowledged_ends.clear();
    h.health = {};
    h.pace = {};
    h.fill_percent = full_percent;
    h.recorded_in = next_batch_;
    changes_.used_hosts.push_back(h.entry.id);
}

// Applies the ends that were not reported before, in the host's order. Those
// that could not be read are acknowledged with the others.
void pool_engine::apply_ends(host_state& h, const host_report& report)
{
    std::vector<std::pair<std::uint64_t, const ended_row*>> ends;
    ends.reserve(report.unreadable_ends.size() + report.ended.size());
    for (const auto number : report.unreadable_ends)
        ends.emplace_back(number, nullptr);
    for (const auto& row : report.ended)
        ends.emplace_back(row.number, &row);
    std::ranges::stable_sort(
        ends, {}, &std::pair<std::uint64_t, const ended_row*>::first);
    for (const auto& [number, row] : ends)
    {
        if (number <= h.last_seen_end)
            continue;
        h.last_seen_end = number;
        // No successor could do more with an end that can't be read.
        h.unacknowledged_ends.push_back(
            {number, row ? row->task.submission : 0,
             row ? apply_end(h, *row) : 0});
    }
}

std::uint64_t pool_engine::apply_end(host_state& h, const ended_row& row)
{
    std::uint64_t batch = 0;
    open_reported_occurrence(row.task);
    const auto held = h.runs.find(row.task);
    const bool is_held = held != h.runs.end() && held->second.run == row.run;
    auto* s = active_submission(row.task.submission);
    auto* t = s ? find_task(row.task) : nullptr;
    if (t && !is_done(*t))
    {
        const bool is_newest =
            row.run > t->run ||
            (row.run == t->run && t->host == h.entry.id && is_in_progress(*t));
        if (is_newest)
            end_newest_run(h, *s, *t, row);
        else
            end_older_run(h, *s, *t, row);
    }
    // An end that changes nothing more may be all that a successor learns from,
    // if this owner is lost before it has stored what earlier ends changed.
    if (t)
        batch = t->recorded_in;
    else if (const auto ended = finished_.find(row.task.submission);
             ended != finished_.end())
        batch = ended->second.stored_in;
    if (is_held)
        remove_run(h, row.task);
    return batch;
}

// Applies the end of a run of which a newer one is known, or which was given
// up: hosts may report the runs that several owners started in any order. A
// failed run still counts as an attempt, and a done one completes the task.
void pool_engine::end_older_run(
    host_state& h, submission_state& s, task_state& t, const ended_row& row)
{
    const bool counts = row.outcome == run_outcome::failed &&
                        has_attempt_limit(s.record.spec.steps[row.task.step]) &&
                        !t.failed_runs.contains(row.run);
    const bool settles = row.outcome == run_outcome::done &&
                         !s.record.spec.steps[row.task.step].long_running;
    if (!counts && !settles)
        return;
    if (settles)
        stop_newest_run(row.task, "an earlier run of the task is done");
    const bool is_open = settles || !is_in_progress(t);
    log_decision(
        "run_ended", row.task, row.run, h.entry.id,
        std::string(to_string(row.outcome)));
    if (counts)
    {
        add_failure(t, row.run);
        t.failed_on.insert(h.entry.id);
    }
    if (is_open)
    {
        t.phase = task_phase::recording;
        t.ended_done = settles;
        t.host.clear();
    }
    t.recorded_in = next_batch_;
    t.recorded_run = std::max(t.recorded_run, row.run);
    mark_started(s);
    note_progress(s, row.task);
    if (settles && s.record.spec.steps[row.task.step].gang)
        complete_gang(s, row.task);
}

// The members of a gang end as done together, so the end of one is stored for
// all: their own ends may be reported later, and change nothing any more.
void pool_engine::complete_gang(submission_state& s, const task_ref& member)
{
    auto& tasks = find_step(member)->tasks;
    const auto run = tasks[member.index].recorded_run;
    for (std::uint32_t i = 0; i < tasks.size(); ++i)
    {
        auto& t = tasks[i];
        const task_ref other{
            member.submission, member.occurrence, member.step, i};
        if (i == member.index || t.phase == task_phase::done)
            continue;
        if (t.run != run)
            stop_newest_run(other, "another run of the gang is done");
        t.phase = task_phase::recording;
        t.ended_done = true;
        t.recorded_in = next_batch_;
        t.run = std::max(t.run, run);
        t.recorded_run = std::max(t.recorded_run, run);
        t.inherited = t.inherited && settling_;
        t.host.clear();
        note_progress(s, other);
    }
}

// Applies the end of the newest run of a task. That it is newer than the run
// that counted as such shows that a previous owner had given up the latter.
void pool_engine::end_newest_run(
    host_state& h, submission_state& s, task_state& t, const ended_row& row)
{
    const auto& step = s.record.spec.steps[row.task.step];
    if (row.run > t.run)
    {
        stop_newest_run(row.task, "a newer run of the task has ended");
        t.started = {};
    }
    t.run = row.run;
    keep_checkpoint(t, step, row.checkpoint);
    // A previous owner may have seen this end already and started the task
    // again.
    t.inherited = t.inherited && settling_;
    t.host.clear();
    t.percent = 0;
    mark_started(s);
    log_decision(
        "run_ended", row.task, row.run, h.entry.id,
        std::string(to_string(row.outcome)));
    t.ended_done = row.outcome == run_outcome::done && !step.long_running;
    switch (row.outcome)
    {
    case run_outcome::done:
        if (step.long_running)
            break;
        h.health.failures = 0;
        h.health.suspensions = 0;
        h.health.failed_submissions.clear();
        s.occurrences.at(row.task.occurrence).steps[row.task.step].times.ended =
            now_.steady;
        if (step.estimate.count() > 0 && t.started != boot_time{} &&
            t.checkpoint.empty())
        {
            const double ratio =
                static_cast<double>((now_.steady - t.started).count()) /
                static_cast<double>(step.estimate.count());
            auto& factor =
                estimate_factor_.try_emplace(s.record.terms.route, 1.0)
                    .first->second;
            factor = std::clamp(
                factor + estimate_smoothing * (ratio - factor),
                min_estimate_factor, max_estimate_factor);
            note_run_time(h, s, row.task, now_.steady - t.started);
            if (terms_.look_ahead)
                run_time_ratios_.add(s.record.terms.route, ratio);
        }
        break;
    case run_outcome::failed:
        if (has_attempt_limit(step))
            add_failure(t, row.run);
        t.failed_on.insert(h.entry.id);
        count_failure(h, row.task, t.failed_on);
        break;
    default:
        t.phase = task_phase::waiting;
        return;
    }
    if (step.long_running)
        delay_restart(t);
    t.phase = task_phase::recording;
    t.recorded_in = next_batch_;
    t.recorded_run = row.run;
    note_progress(s, row.task);
    if (step.gang && t.ended_done)
        complete_gang(s, row.task);
}

// A long-running task is started again however it ends. One that ends soon
// after each start is started at growing intervals.
void pool_engine::delay_restart(task_state& t) const
{
    const bool is_short = now_.steady - t.started < steady_run_time;
    t.short_runs = is_short ? t.short_runs + 1 : 0;
    if (t.short_runs < 2)
        return;
    const auto doublings = std::min(t.short_runs - 2, max_restart_doublings);
    t.retry_at = now_.steady + min_restart_pause * (1U << doublings);
}

// A task that has failed on one host only counts against that host. Once it
// fails on a second host, the task is considered faulty, and its failure no
// longer counts against the first host.
void pool_engine::count_failure(
    host_state& h, const task_ref& task, const std::set<std::string>& failed_on)
{
    for (const auto& id : failed_on)
        if (const auto other = hosts_.find(id);
            id != h.entry.id && other != hosts_.end())
            discount_failures(other->second, task.submission);
    if (failed_on.size() > 1)
        return;
    auto& health = h.health;
    ++health.failures;
    health.failed_submissions.insert(task.submission);
    const bool on_probation = health.suspensions > 0;
    if (!on_probation &&
        (health.failures < failures_to_suspend ||
         health.failed_submissions.size() < submissions_to_suspend))
        return;
    health.avoid_until =
        now_.steady +
        std::min<std::chrono::milliseconds>(
            min_suspension * (1U << std::min(health.suspensions, 4U)),
            max_suspension);
    ++health.suspensions;
    effects_.emplace_back(pool_effect::decision{
        "host_suspended",
        {},
        {},
        0,
        h.entry.id,
        "tasks of several submissions failed on the host"});
}

void pool_engine::discount_failures(host_state& h, std::uint64_t submission)
{
    auto& health = h.health;
    if (health.failed_submissions.erase(submission) == 0)
        return;
    health.failures = std::min<std::uint32_t>(
        health.failures - 1,
        static_cast<std::uint32_t>(
            health.failed_submissions.size() * failures_to_suspend));
    if (health.suspensions == 0 ||
        health.failed_submissions.size() >= submissions_to_suspend)
        return;
    health.suspensions = 0;
    health.avoid_until = now_.steady;
    effects_.emplace_back(pool_effect::decision{
        "host_cleared",
        {},
        {},
        0,
        h.entry.id,
        "the tasks that failed on the host failed on other hosts too"});
}

std::map<task_ref, host_run>::iterator
pool_engine::add_run(host_state& h, const task_ref& task, const host_run& run)
{
    if (h.runs.contains(task))
        remove_run(h, task);
    if (auto* t = find_task(task))
        ++t->holders;
    h.used = h.used + run.need;
    const auto held = h.runs.emplace(task, run).first;
    if (const auto* s = state_of(task.submission);
        s && !s->record.account.empty())
    {
        held->second.account = budget_.find_or_add(s->record.account);
        if (const auto* step = spec_of(task))
            held->second.charge = step->need;
        budget_.add(
            held->second.account, held->second.charge, held->second.inherited);
    }
    return held;
}

// Reserves capacity on the host for a run that it reports.
std::map<task_ref, host_run>::iterator pool_engine::track_run(
    host_state& h, const running_row& row, const step_spec* step)
{
    host_run run;
    run.run = row.run;
    run.ordered = now_.steady;
    run.inherited = true;
    if (step)
    {
        run.need = reserved_resources(*step);
        run.serves = step->long_running && step->latency_objective > 0ms;
        run.best_effort = step->best_effort;
        run.long_running = step->long_running;
        run.objective = step->latency_objective;
    }
    return add_run(h, row.task, run);
}

// Run numbers rise from owner to owner, so the highest one is the run that the
// last owner wanted, in whatever order hosts report. It goes on unless the task
// is done.
bool pool_engine::is_adoptable(const task_ref& task, std::uint32_t run)
{
    const auto* t = find_task(task);
    return t && run > t->run && !is_done(*t);
}

void pool_engine::adopt_run(host_state& h, const running_row& row)
{
    stop_newest_run(row.task, "a newer run of the task goes on");
    auto& s = *active_submission(row.task.submission);
    auto& t = *find_task(row.task);
    t.inherited = t.inherited && settling_;
    t.phase = task_phase::running;
    t.run = row.run;
    t.host = h.entry.id;
    t.percent = 0;
    t.started = now_.steady;
    t.progressed = now_.steady;
    mark_started(s);
    log_decision("run_adopted", row.task, row.run, h.entry.id);
}

void pool_engine::apply_running(
    host_state& h, const running_row& row, host_time reported)
{
    open_reported_occurrence(row.task);
    auto held = h.runs.find(row.task);
    auto* s = active_submission(row.task.submission);
    auto* t = s ? find_task(row.task) : nullptr;
    const auto* step = spec_of(row.task);
    const bool adopt = is_adoptable(row.task, row.run);
    if (held != h.runs.end() && held->second.run != row.run && !adopt)
    {
        // A delayed start order was carried out for another run of a task that
        // already has a run here. The state of the current run is kept.
        effects_.emplace_back(pool_effect::stop{
            h.entry.id, h.entry.born, row.task, row.run,
            "a different run of the task is current"});
        log_decision(
            "stop_ordered", row.task, row.run, h.entry.id,
            "a different run of the task is current");
        return;
    }
    if (held == h.runs.end() || held->second.run != row.run)
    {
        if (adopt)
            adopt_run(h, row);
        held = track_run(h, row, step);
        if (!adopt)
            order_stop(h, row.task, "the run is not current");
    }
    auto& run = held->second;
    run.confirmed = true;
    run.missed_reports = 0;
    measure_pace(h, row, run, reported);
    if (!run.listed || run.percent != row.percent)
        run.progressed = reported;
    run.listed = reported;
    if (run.confirmed_at == boot_time{})
        run.confirmed_at = now_.steady;
    run.percent = row.percent;
    run.load = row.load;
    if (!t || t->host != h.entry.id || t->run != row.run)
        return;
    if (t->phase == task_phase::starting)
    {
        t->phase = task_phase::running;
        t->started = now_.steady;
        t->progressed = now_.steady;
        mark_started(*s);
    }
    if (step)
        keep_checkpoint(*t, *step, row.checkpoint);
    if (row.percent > t->percent)
    {
        t->percent = row.percent;
        t->progressed = now_.steady;
    }
}

// Releases runs that the host reports neither as running nor as ended. Valid
// for a complete report only: the end of such a run may be among those that an
// incomplete one leaves out.
void pool_engine::release_missing(
    host_state& h, const pool_event::host_reported& e)
{
    std::vector<std::pair<task_ref, std::uint32_t>> listed;
    listed.reserve(e.report.running.size());
    for (const auto& row : e.report.running)
        listed.emplace_back(row.task, row.run);
    std::ranges::sort(listed);
    std::vector<task_ref> gone;
    for (auto& [task, run] : h.runs)
    {
        if (std::ranges::binary_search(listed, std::pair(task, run.run)))
            continue;
        const bool stopped =
            run.stop_acknowledged && *run.stop_acknowledged < e.sent;
        const bool missed = !stopped && run.confirmed &&
                            run.confirmed_at < e.sent &&
                            ++run.missed_reports >= missing_report_limit;
        if (stopped || missed)
            gone.push_back(task);
    }
    for (const auto& task : gone)
        release(h, task, "the host no longer reports the run");
}

void pool_engine::keep_checkpoint(
    task_state& t, const step_spec& step, const std::string& checkpoint) const
{
    if (step.checkpoints && !checkpoint.empty() &&
        checkpoint.size() <= terms_.max_checkpoint)
        t.checkpoint = checkpoint;
}

void pool_engine::advance_ack_cursor(host_state& h) const
{
    while (!h.unacknowledged_ends.empty() &&
           h.unacknowledged_ends.front().batch <= stored_batch_)
    {
        h.ack_cursor = h.unacknowledged_ends.front().number;
        h.unacknowledged_ends.pop_front();
    }
}

// Removes a run from the host; the task goes back to waiting if this was its
// current run.
void pool_engine::release(
    host_state& h, const task_ref& task, std::string_view reason)
{
    const auto held = h.runs.find(task);
    if (held == h.runs.end())
        return;
    const auto run = held->second.run;
    remove_run(h, task);
    auto* t = find_task(task);
    if (!t || t->host != h.entry.id || t->run != run ||
        t->phase == task_phase::done || t->phase == task_phase::recording)
        return;
    t->phase = task_phase::waiting;
    t->host.clear();
    t->percent = 0;
    log_decision("run_released", task, run, h.entry.id, std::string(reason));
}

void pool_engine::release_all(host_state& h, std::string_view reason)
{
    std::vector<task_ref> tasks;
    tasks.reserve(h.runs.size());
    for (const auto& [task, run] : h.runs)
        tasks.push_back(task);
    for (const auto& task : tasks)
        release(h, task, reason);
}

void pool_engine::remove_run(host_state& h, const task_ref& task)
{
    const auto held = h.runs.find(task);
    h.used = h.used - held->second.need;
    budget_.remove(
        held->second.account, held->second.charge, held->second.inherited);
    h.runs.erase(held);
    if (auto* t = find_task(task); t && t->holders > 0)
        --t->holders;
}

void pool_engine::stop_newest_run(const task_ref& task, std::string_view reason)
{
    const auto* t = find_task(task);
    if (!t || !is_in_progress(*t))
        return;
    const auto h = hosts_.find(t->host);
    if (h == hosts_.end())
        return;
    const auto run = h->second.runs.find(task);
    if (run != h->second.runs.end() && run->second.run == t->run &&
        !run->second.stop_ordered)
        order_stop(h->second, task, reason);
}

// A task in progress without a run on its host would never be looked at again,
// and one that seems to be held by a host would never start.
void pool_engine::check_tasks()
{
    tasks_checked_ = now_.steady;
    std::vector<task_ref> held;
    for (const auto& [id, h] : hosts_)
        std::ranges::copy(h.runs | std::views::keys, std::back_inserter(held));
    std::ranges::sort(held);
    const auto check = [&](const task_ref& task, task_state& t) {
        const auto holders = static_cast<std::uint32_t>(
            std::ranges::equal_range(held, task).size());
        const auto h = hosts_.find(t.host);
        const bool has_run = h != hosts_.end() &&
                             h->second.runs.contains(task) &&
                             h->second.runs.at(task).run == t.run;
        const bool is_lost = is_in_progress(t) && !has_run;
        if (holders == t.holders && !is_lost)
            return;
        log_decision(
            "task_repaired", task, t.run, t.host,
            is_lost ? "no host has the run that is in progress"
                    : "the number of hosts with a run is wrong");
        t.holders = holders;
        if (!is_lost)
            return;
        t.phase = task_phase::waiting;
        t.host.clear();
        t.percent = 0;
    };
    std::uint64_t report_bytes = 0;
    for (auto& [id, s] : active_)
        for (auto& [k, occurrence] : s.occurrences)
            for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i)
            {
                auto& tasks = occurrence.steps[i].tasks;
                for (std::uint32_t j = 0; j < tasks.size(); ++j)
                {
                    report_bytes += memory_of_reports(tasks[j]);
                    if (tasks[j].holders > 0 || is_in_progress(tasks[j]))
                        check({id, k, i, j}, tasks[j]);
                }
            }
    kept_.replace(std::exchange(report_bytes_, report_bytes), report_bytes);
}

void pool_engine::order_stop(
    host_state& h, const task_ref& task, std::string_view reason)
{
    auto& run = h.runs.at(task);
    run.stop_ordered = now_.steady;
    if (auto* t = find_task(task);
        t && t->host == h.entry.id && t->run == run.run &&
        (t->phase == task_phase::starting || t->phase == task_phase::running))
        t->phase = task_phase::stopping;
    effects_.emplace_back(
        pool_effect::stop{h.entry.id, h.entry.born, task, run.run, reason});
    log_decision(
        "stop_ordered", task, run.run, h.entry.id, std::string(reason));
}

// Applies the ends of tasks that the store has acknowledged up to `batch`, and
// finishes the submission if they complete or fail it.
void pool_engine::apply_stored(submission_state& s, std::uint64_t batch)
{
    bool has_failed = false;
    for (auto& [k, occurrence] : s.occurrences)
        for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i)
            has_failed = apply_stored_ends(
                             occurrence.steps[i], s.record.spec.steps[i],
                             s.record.terms.max_attempts, batch) ||
                         has_failed;
    if (has_failed)
    {
        finish(s, submission_phase::failed);
        return;
    }
    if (drop_done_occurrences(s))
        finish(s, submission_phase::completed);
}

// Only ends that are stored make a task done, so the parts of the occurrence
// are not needed any more once it is listed as done.
bool pool_engine::drop_done_occurrences(submission_state& s)
{
    const auto total = std::max<std::uint32_t>(s.record.spec.repetitions, 1);
    for (auto at = s.occurrences.begin(); at != s.occurrences.end();)
    {
        auto& [k, occurrence] = *at;
        occurrence.steps_done = static_cast<std::uint32_t>(
            std::ranges::count_if(occurrence.steps, [](const step_state& step) {
                return step.done == step.tasks.size();
            }));
        if (occurrence.steps_done < occurrence.steps.size())
        {
            ++at;
            continue;
        }
        s.occurrences_done.insert(k);
        if (s.occurrences_done.size() >= total)
            return true;
        note_progress(progress_part{s.record.id, 0, 0});
        drop_stored(s, k);
        at = s.occurrences.erase(at);
        count_memory(s);
    }
    return false;
}

// The stored parts and tasks of one occurrence are to be deleted.
void pool_engine::drop_stored(submission_state& s, std::uint32_t occurrence)
{
    const auto is_of_occurrence = [&](const auto& item) {
        return item.occurrence == occurrence;
    };
    std::ranges::copy_if(
        s.stored_parts, std::back_inserter(changes_.dropped_parts),
        is_of_occurrence);
    std::ranges::copy_if(
        s.stored_tasks, std::back_inserter(changes_.dropped_tasks),
        is_of_occurrence);
    std::erase_if(s.stored_parts, is_of_occurrence);
    std::erase_if(s.stored_tasks, is_of_occurrence);
    std::erase_if(changes_.progressed, [&](const progress_part& part) {
        return part.submission == s.record.id && part.part > 0 &&
               part.occurrence == occurrence;
    });
}

void pool_engine::finish(submission_state& s, submission_phase phase)
{
    const auto id = s.record.id;
    stop_all_runs(s, to_string(phase));
    effects_.emplace_back(pool_effect::finished{
        id, to_string(phase), s.record.terms.route, s.record.terms.pool,
        delays_of(s, estimate_factor(s), now_.steady)});
    if (finished_
            .insert_or_assign(id, finished{phase, now_.steady, next_batch_, 0})
            .second)
        kept_.replace(0, finished_submission_bytes);
    changes_.finished.push_back(id);
    std::ranges::copy(
        s.stored_parts, std::back_inserter(changes_.dropped_parts));
    std::ranges::copy(
        s.stored_tasks, std::back_inserter(changes_.dropped_tasks));
    std::erase_if(changes_.progressed, [&](const progress_part& part) {
        return part.submission == id;
    });
    erase_active(s);
}

void pool_engine::stop_all_runs(submission_state& s, std::string_view reason)
{
    const auto id = s.record.id;
    for (auto& [name, h] : hosts_)
        for (auto at = h.runs.lower_bound(task_ref{id, 0, 0, 0});
             at != h.runs.end() && at->first.submission == id; ++at)
            if (!at->second.stop_ordered)
                order_stop(h, at->first, reason);
}

// Releases all runs of a host once every lease on it has expired.
void pool_engine::expire_host(host_state& h)
{
    if (!h.lease.has_ended(now_.steady) || h.runs.empty())
        return;
    release_all(h, "every lease on the host has expired");
    h.contacted = false;
}

void pool_engine::check_runs(host_state& h)
{
    std::vector<task_ref> again;
    std::vector<task_ref> hung;
    std::vector<task_ref> unanswered;
    for (auto& [task, run] : h.runs)
    {
        if (run.stop_ordered)
        {
            const bool unacknowledged =
                !run.stop_acknowledged &&
                now_.steady - *run.stop_ordered > stop_retry_delay;
            const bool overdue = run.stop_acknowledged &&
                                 now_.steady - *run.stop_ordered >
                                     terms_.stop_bound + stop_retry_delay;
            if (unacknowledged || overdue)
                again.push_back(task);
            continue;
        }
        if (!run.confirmed && now_.steady - run.ordered > start_timeout)
        {
            unanswered.push_back(task);
            continue;
        }
        const auto* t = find_task(task);
        const auto* step = spec_of(task);
        if (!t || !step || t->phase != task_phase::running)
            continue;
        // Measured between reports of the host, so that late reports are not
        // mistaken for a stall.
        const auto stalled_for =
            run.listed.value_or(run.progressed) - run.progressed;
        if (step->long_running)
        {
            if (t->percent < full_percent && h.fill_percent == full_percent &&
                stalled_for > startup_stall_time)
                hung.push_back(task);
            continue;
        }
        if (step->gang)
            continue;
        if (stalled_for >
            std::max<std::chrono::milliseconds>(min_stall_time, step->estimate))
            hung.push_back(task);
    }
    for (const auto& task : again)
        order_stop(h, task, "the previous stop was not carried out in time");
    for (const auto& task : unanswered)
        order_stop(
            h, task, "the start was not confirmed within the time limit");
    for (const auto& task : hung)
    {
        if (auto* t = find_task(task))
        {
            t->failed_on.insert(h.entry.id);
            count_failure(h, task, t->failed_on);
        }
        order_stop(h, task, "the run makes no progress");
    }
}

// Whether a task of bounded duration is expected to end within the time that an
// evacuation takes. Stopping it would delay it until it runs again elsewhere
// and empty the host hardly sooner.
bool pool_engine::ends_soon(const task_ref& task)
{
    const auto* t = find_task(task);
    const auto* step = spec_of(task);
    if (!t || !step)
        return false;
    const std::chrono::duration<double, std::milli> duration =
        step->estimate * estimate_factor(active_.at(task.submission));
    const auto age = now_.steady - t->started;
    // The estimate says nothing about the rest of a task that far exceeds it.
    return age < 2 * duration && duration - age <= evacuation_time;
}

// Evacuates a host that is draining or due for maintenance, within each step's
// `max_unavailable`. Tasks that are neither long-running nor checkpointed run
// to their end, and so do gangs without checkpoints and tasks that end soon.
void pool_engine::evacuate(host_state& h)
{
    std::vector<task_ref> tasks;
    for (const auto& [task, run] : h.runs)
    {
        const auto* step = spec_of(task);
        if (run.stop_ordered || !step || (step->gang && !step->checkpoints))
            continue;
        if (step->long_running ||
            (step->checkpoints && (h.entry.draining || !ends_soon(task))))
            tasks.push_back(task);
    }
    for (const auto& task : tasks)
    {
        const auto* step = spec_of(task);
        if (step->long_running && !h.entry.draining &&
            !(may_interrupt(task) && fits_elsewhere(h, task, *step)))
            continue;
        order_stop(h, task, "the host is being emptied");
    }
}

bool pool_engine::is_eligible(const host_state& h) const
{
    const auto now = now_.steady;
    return h.listed && h.described && !h.entry.draining && h.contacted &&
           h.recorded_in == 0 && !h.closed && h.evacuate_until <= now &&
           h.lent_until <= now && h.blocked_until <= now &&
           h.health.avoid_until <= now && !h.pace.is_avoided(now) &&
           !is_silent(h, now) && !h.lease.has_ended(now);
}

bool pool_engine::has_room_for(
    const host_state& h, const task_ref& step, const step_spec& spec) const
{
    if (!fits(reserved_resources(spec), h.entry.capacity - h.used))
        return false;
    if (!spec.label.empty() &&
        std::ranges::find(h.entry.labels, spec.label) == h.entry.labels.end())
        return false;
    if (spec.most_per_host == 0)
        return true;
    const auto first = h.runs.lower_bound(
        task_ref{step.submission, step.occurrence, step.step, 0});
    const auto last = h.runs.lower_bound(
        task_ref{step.submission, step.occurrence, step.step + 1, 0});
    return std::distance(first, last) < spec.most_per_host;
}

// A long-running task is moved only if another host can take it at once;
// otherwise it would be down until the pool gains a host.
bool pool_engine::fits_elsewhere(
    const host_state& from, const task_ref& task, const step_spec& spec) const
{
    return std::ranges::any_of(hosts_, [&](const auto& item) {
        const auto& h = item.second;
        return &h != &from && h.entry.pool == from.entry.pool &&
               is_eligible(h) && has_room_for(h, task, spec);
    });
}

bool pool_engine::may_interrupt(const task_ref& task) const
{
    const auto found = active_.find(task.submission);
    if (found == active_.end())
        return true;
    // A run that a previous owner has ordered to stop is still reported as
    // running, for up to `stop_bound`.
    if (!settled_at_ || now_.steady < *settled_at_ + terms_.stop_bound)
        return false;
    const auto& spec = found->second.record.spec.steps[task.step];
    const auto occurrence = found->second.occurrences.find(task.occurrence);
    if (occurrence == found->second.occurrences.end())
        return true;
    const auto& step = occurrence->second.steps[task.step];
    const auto limit = std::max<std::uint32_t>(spec.max_unavailable, 1);
    std::uint32_t unavailable = 0;
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i)
        if (i != task.index && !is_available(step.tasks[i]))
            ++unavailable;
    return unavailable < limit;
}

// Whether a long-running task is in service. The reported percentage is
// rounded, so it must have been at 100 for `min_available_time`. A task on a
// silent host counts as unavailable, as the host may be unreachable.
bool pool_engine::is_available(const task_state& t) const
{
    const auto h = hosts_.find(t.host);
    return t.phase == task_phase::running && t.percent >= full_percent &&
           now_.steady - t.progressed >= min_available_time &&
           h != hosts_.end() && !is_silent(h->second, now_.steady);
}

// Throttles filler tasks quickly when a latency-sensitive task on the host
// nears or exceeds its objective, and restores their share slowly.
void pool_engine::pace_fillers(host_state& h)
{
    constexpr auto pace_interval = 500ms;
    // As a fraction of the objective: throttling starts above the first and is
    // eased below the second.
    constexpr double pace_threshold = 0.85;
    constexpr double ease_threshold = 0.65;
    constexpr std::uint32_t ease_step = 10;
    if (now_.steady - h.fill_changed < pace_interval)
        return;
    double worst = 0;
    bool serves = false;
    bool any_best_effort = false;
    for (const auto& [task, run] : h.runs)
    {
        any_best_effort = any_best_effort || run.best_effort;
        if (!run.serves || run.objective.count() <= 0)
            continue;
        serves = true;
        worst = std::max(
            worst, static_cast<double>(run.load) /
                       static_cast<double>(run.objective.count()));
    }
    auto wanted = h.fill_percent;
    if (!serves)
        wanted = full_percent;
    else if (worst > 1.0)
        wanted = wanted > 25 ? wanted / 3 : 0;
    else if (worst > pace_threshold)
        wanted = wanted * 2 / 3;
    else if (worst < ease_threshold)
        wanted = std::min(full_percent, wanted + ease_step);
    if (wanted == h.fill_percent || !any_best_effort)
        return;
    h.fill_percent = wanted;
    h.fill_changed = now_.steady;
    for (const auto& [task, run] : h.runs)
        if (run.best_effort && run.confirmed && !run.stop_ordered)
            effects_.emplace_back(pool_effect::pace{
                h.entry.id, h.entry.born, task, run.run, wanted});
}

// Nothing that a previous owner started on the host is unknown any more.
void pool_engine::settle_host(const std::string& host)
{
    unsettled_hosts_.erase(host);
    if (unsettled_closed_hosts_.erase(host) > 0 && settled_at_)
        release_inherited();
}

// Whether nothing that a previous owner started on the host can still run, or
// be listed as ended under a lease that holds. `takeover_deadline_` covers the
// leases of the previous owner only; this one extends those of a host that
// answers, and an incarnation that is new to it may hold longer ones.
bool pool_engine::has_expired(const std::string& host) const
{
    const auto found = hosts_.find(host);
    return now_.steady > takeover_deadline_ &&
           (found == hosts_.end() ||
            (!found->second.contacted && !found->second.restarted) ||
            found->second.lease.has_ended(now_.steady));
}

// Tasks from before the takeover may start once every host that the previous
// owner used has listed all ends, or the last lease on it has expired for
// certain. For a host that the previous owner closed, only the tasks on the
// recorded list are held back.
void pool_engine::update_takeover()
{
    if (!settling_)
        return;
    const auto expired =
        std::erase_if(
            unsettled_hosts_,
            [this](const std::string& id) { return has_expired(id); }) +
        std::erase_if(unsettled_closed_hosts_, [this](const auto& item) {
            return has_expired(item.first);
        });
    if (!unsettled_hosts_.empty())
        return;
    if (!settled_at_ || expired > 0)
    {
        settled_at_ = settled_at_.value_or(now_.steady);
        release_inherited();
        effects_.emplace_back(pool_effect::decision{
            "takeover_settled",
            {},
            {},
            0,
            {},
            expired > 0
                ? "the leases of unreachable hosts have expired"
                : "every host has listed its ends or has a recorded task "
                  "list"});
    }
    settling_ = !unsettled_closed_hosts_.empty();
}

void pool_engine::release_inherited()
{
    for (auto& [id, s] : active_)
        for (auto& [k, occurrence] : s.occurrences)
            for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i)
            {
                auto& tasks = occurrence.steps[i].tasks;
                for (std::uint32_t j = 0; j < tasks.size(); ++j)
                    tasks[j].inherited =
                        tasks[j].inherited && may_be_inherited({id, k, i, j});
            }
}

void pool_engine::set_closed(host_state& h, bool closed)
{
    h.closed = closed;
    // No task is started there until the new record is stored.
    h.recorded_in = next_batch_;
    changes_.used_hosts.push_back(h.entry.id);
}

void pool_engine::begin_handover()
{
    handing_over_ = true;
    for (auto& [id, h] : hosts_)
        if (!unsettled_hosts_.contains(id) &&
            !unsettled_closed_hosts_.contains(id))
            set_closed(h, true);
}

host_use pool_engine::use_of(const host_state& h) const
{
    host_use use{h.entry.id,      h.entry.born, h.entry.pool,
                 h.entry.address, h.closed,     {}};
    if (h.closed)
        for (const auto& [task, run] : h.runs)
            use.tasks.push_back(task);
    return use;
}

void pool_engine::note_progress(const submission_state& s, const task_ref& task)
{
    note_progress(part_of(s.record.spec, task));
}

void pool_engine::note_progress(const progress_part& part)
{
    unstored_progress_[next_batch_].insert(part.submission);
    changes_.progressed.insert(part);
}

// The store is going to hold the part.
void pool_engine::note_stored(const progress_part& part)
{
    auto* s = active_submission(part.submission);
    if (!s)
        return;
    if (part.occurrence > 0 || part.part > 0)
        s->stored_parts.insert(part);
    for_each_task(*s, part, [&](const task_ref& task, const task_state& t) {
        if (!has_long_state(t))
            return;
        s->stored_tasks.insert(task);
        changes_.progressed_tasks.insert(task);
    });
}

pool_changes pool_engine::take_changes()
{
    for (const auto& part : changes_.progressed)
        note_stored(part);
    auto out = std::exchange(changes_, {});
    out.batch = next_batch_++;
    for (const auto id : out.accepted)
        unstored_progress_[out.batch].insert(id);
    return out;
}

bool pool_engine::has_changes() const
{
    return !changes_.empty();
}

std::uint64_t pool_engine::next_batch() const
{
    return next_batch_;
}

std::optional<submission_view> pool_engine::find(std::uint64_t id) const
{
    if (const auto done = finished_.find(id); done != finished_.end())
        return submission_view{
            done->second.phase, done->second.shown_after,
            done->second.shown_after};
    const auto found = active_.find(id);
    if (found == active_.end())
        return std::nullopt;
    const auto& s = found->second;
    return submission_view{
        s.phase, s.cancelled_in != 0 ? s.cancelled_in : s.accepted_in,
        s.accepted_in};
}

const submission_state* pool_engine::state_of(std::uint64_t id) const
{
    const auto found = active_.find(id);
    return found == active_.end() ? nullptr : &found->second;
}

std::optional<submission_phase>
pool_engine::finished_phase(std::uint64_t id) const
{
    const auto found = finished_.find(id);
    if (found == finished_.end())
        return std::nullopt;
    return found->second.phase;
}

std::size_t pool_engine::pending(const std::string& route) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(active_, [&](const auto& item) {
            return !item.second.started && item.second.cancelled_in == 0 &&
                   item.second.record.terms.route == route;
        }));
}

std::map<std::string, std::size_t> pool_engine::pending_by_route() const
{
    std::map<std::string, std::size_t> out;
    for (const auto& [id, s] : active_)
        if (!s.started && s.cancelled_in == 0)
            ++out[s.record.terms.route];
    return out;
}

const std::map<std::string, host_state>& pool_engine::hosts() const
{
    return hosts_;
}

const reservation_plan& pool_engine::reservations() const
{
    return reservations_;
}

std::optional<host_time>
pool_engine::extend_lease(const std::string& host, moment now)
{
    const auto found = hosts_.find(host);
    if (found == hosts_.end() || !found->second.contacted ||
        is_silent(found->second, now.steady))
        return std::nullopt;
    return found->second.lease.extend(now.steady, terms_.leases);
}

bool pool_engine::is_wanted(const pool_effect::start& order) const
{
    const auto found = hosts_.find(order.host);
    if (found == hosts_.end() || found->second.entry.born != order.born)
        return false;
    const auto run = found->second.runs.find(order.task);
    return run != found->second.runs.end() && run->second.run == order.run &&
           !run->second.stop_ordered;
}

bool pool_engine::is_wanted(const pool_effect::advise& question) const
{
    const auto* s = state_of(question.step.submission);
    return s && s->cancelled_in == 0 &&
           s->occurrences.contains(question.step.occurrence);
}

bool pool_engine::is_empty(const std::string& host, moment now) const
{
    // Until the takeover has settled, tasks of a previous owner may run on any
    // host.
    if (settling_)
        return false;
    const auto found = hosts_.find(host);
    if (found == hosts_.end())
        return true;
    const auto& h = found->second;
    return h.runs.empty() && (h.contacted || h.lease.has_ended(now.steady));
}

std::vector<std::string> pool_engine::unsettled_hosts() const
{
    std::vector<std::string> out(
        unsettled_hosts_.begin(), unsettled_hosts_.end());
    for (const auto& [id, tasks] : unsettled_closed_hosts_)
        out.push_back(id);
    return out;
}

bool pool_engine::is_settling() const
{
    return settling_;
}

resources pool_engine::typical_host(const std::string& pool) const
{
    resources largest;
    for (const auto& [id, h] : hosts_)
        if (h.entry.pool == pool &&
            h.entry.capacity.cpu_milli > largest.cpu_milli)
            largest = h.entry.capacity;
    return largest.cpu_milli > 0 ? largest : default_host_capacity;
}

void pool_engine::count_arrival(const submission_record& record)
{
    const auto host = typical_host(record.terms.pool);
    double work = 0;
    for (const auto& step : record.spec.steps)
        if (!step.long_running)
            work += share_of(reserved_resources(step), host) * step.count *
                    static_cast<double>(step.estimate.count());
    arrivals_[record.terms.pool].add(work, now_.steady);
}

bool pool_engine::is_ready(
    const submission_state& s, const occurrence_state& o, std::uint32_t step)
{
    return std::ranges::all_of(
        s.record.spec.steps[step].dependencies, [&](std::uint32_t earlier) {
            return o.steps[earlier].done == o.steps[earlier].tasks.size();
        });
}

double pool_engine::estimate_factor(const submission_state& s) const
{
    const auto found = estimate_factor_.find(s.record.terms.route);
    return found == estimate_factor_.end() ? 1.0 : found->second;
}

// Adds the capacity used by the host's runs to the demand. Returns whether any
// of them is long-running.
bool pool_engine::count_running(
    const host_state& h, const resources& host, const occurrence_set& late,
    pool_demand& demand)
{
    bool any_long_running = false;
    for (const auto& [task, run] : h.runs)
    {
        const double share = share_of(run.need, host);
        if (run.long_running)
            demand.long_running += share;
        else if (late.contains({task.submission, task.occurrence}))
            demand.late_running += share;
        else
            demand.running += share;
        any_long_running = any_long_running || run.long_running;
    }
    return any_long_running;
}

// Adds the capacity needed by a submission's waiting tasks to the demand, and
// its late occurrences to `late`.
void pool_engine::count_waiting(
    const submission_state& s, const resources& host, occurrence_set& late,
    pool_demand& demand, boot_time now) const
{
    for (const auto& [k, occurrence] : s.occurrences)
    {
        const bool is_late =
            forecast_completion(s, occurrence, estimate_factor(s), now).state !=
            timeliness::in_time;
        if (is_late)
            late.emplace(s.record.id, k);
        for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i)
        {
            const auto& spec = s.record.spec.steps[i];
            const auto waiting = std::ranges::count(
                occurrence.steps[i].tasks, task_phase::waiting,
                &task_state::phase);
            const double share = share_of(reserved_resources(spec), host) *
                                 static_cast<double>(waiting);
            if (!spec.long_running)
            {
                if (is_late)
                    demand.late_ms +=
                        share * static_cast<double>(spec.estimate.count());
                // Steps that are not ready will reuse the capacity of the steps
                // they depend on. A task runs on one host only, so its work
                // within the horizon is limited to the horizon.
                else if (is_ready(s, occurrence, i))
                    demand.waiting_ms +=
                        share *
                        static_cast<double>(
                            std::min(spec.estimate, demand_horizon).count());
                continue;
            }
            demand.long_running += share;
            // One spare host lets a task move before its host leaves.
            const auto spread = spec.most_per_host == 0
                                    ? 1
                                    : (spec.count + spec.most_per_host - 1) /
                                              spec.most_per_host +
                                          1;
            demand.long_running_hosts =
                std::max(demand.long_running_hosts, spread);
            if (waiting > 0)
                demand.long_running_hosts =
                    std::max(demand.long_running_hosts, demand.hosts + 1);
        }
    }
}

std::vector<pool_demand> pool_engine::demands(moment now) const
{
    std::map<std::string, pool_demand> out;
    std::map<std::string, resources> rooms;
    const auto room_of = [&](const std::string& pool) -> const resources& {
        const auto found = rooms.find(pool);
        return found == rooms.end()
                   ? rooms.emplace(pool, typical_host(pool)).first->second
                   : found->second;
    };
    occurrence_set late;
    for (const auto& [id, h] : hosts_)
    {
        auto& demand = out[h.entry.pool];
        if (!h.listed || !h.contacted)
            continue;
        const bool leaving = h.entry.draining || h.evacuate_until > now.steady;
        ++(leaving ? demand.draining : demand.hosts);
        if (h.runs.empty() && !leaving)
            demand.idle.push_back(id);
    }
    for (const auto& [id, s] : active_)
    {
        auto& demand = out[s.record.terms.pool];
        count_waiting(
            s, room_of(s.record.terms.pool), late, demand, now.steady);
    }
    std::map<std::string, std::uint32_t> with_lasting;
    for (const auto& [id, h] : hosts_)
    {
        const auto& pool = h.entry.pool;
        if (h.listed && h.contacted &&
            count_running(h, room_of(pool), late, out[pool]))
            ++with_lasting[pool];
    }
    for (const auto& [pool, hosts] : with_lasting)
        out[pool].long_running_hosts =
            std::max(out[pool].long_running_hosts, hosts);
    std::vector<pool_demand> list;
    for (auto& [pool, demand] : out)
    {
        demand.pool = pool;
        demand.answered = {epoch_, now.steady};
        if (const auto sum = arrivals_.find(pool); sum != arrivals_.end())
            demand.arrivals = sum->second.levels(now.steady);
        list.push_back(std::move(demand));
    }
    return list;
}

std::size_t pool_engine::active() const
{
    return active_.size();
}

bool pool_engine::has_submissions_of(const std::string& pool) const
{
    return std::ranges::any_of(active_, [&](const auto& item) {
        return item.second.record.terms.pool == pool;
    });
}

std::size_t pool_engine::waiting_tasks() const
{
    std::size_t sum = 0;
    for (const auto& [id, s] : active_)
        for (const auto& [k, occurrence] : s.occurrences)
            for (const auto& step : occurrence.steps)
                sum += static_cast<std::size_t>(std::ranges::count(
                    step.tasks, task_phase::waiting, &task_state::phase));
    return sum;
}

submission_state* pool_engine::active_submission(std::uint64_t id)
{
    const auto found = active_.find(id);
    return found == active_.end() ? nullptr : &found->second;
}

step_state* pool_engine::find_step(const task_ref& step)
{
    auto* s = active_submission(step.submission);
    if (!s)
        return nullptr;
    const auto occurrence = s->occurrences.find(step.occurrence);
    if (occurrence == s->occurrences.end() ||
        step.step >= occurrence->second.steps.size())
        return nullptr;
    return &occurrence->second.steps[step.step];
}

task_state* pool_engine::find_task(const task_ref& task)
{
    auto* step = find_step(task);
    return step && task.index < step->tasks.size() ? &step->tasks[task.index]
                                                   : nullptr;
}

const step_spec* pool_engine::spec_of(const task_ref& task) const
{
    const auto* s = state_of(task.submission);
    return s && task.step < s->record.spec.steps.size()
               ? &s->record.spec.steps[task.step]
               : nullptr;
}

std::uint32_t
pool_engine::next_run(const task_ref& task, const task_state& t) const
{
    const auto* s = state_of(task.submission);
    const auto epochs = epoch_ - std::min(epoch_, s->record.epoch);
    const auto base = static_cast<std::uint32_t>(epochs * runs_per_epoch);
    return std::max(t.run, base) + 1;
}

void pool_engine::log_decision(
    std::string_view name, const task_ref& task, std::uint32_t run,
    const std::string& host, std::string reason)
{
    effects_.emplace_back(pool_effect::decision{
        name, task, task.submission, run, host, std::move(reason)});
}

} // namespace dandeliontack
