#include "pool_planner.hpp"

#include "completion_forecast.hpp"

#include <algorithm>
#include <limits>
#include <queue>
#include <ranges>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;

// Ranks of candidates; lower ranks start first.
constexpr int rank_long_running = 0;
constexpr int rank_started = 1;
constexpr int rank_in_time = 2;
// In time, of accounts that have sent more than they are entitled to.
constexpr int rank_excess_started = 3;
constexpr int rank_excess_in_time = 4;
constexpr int rank_late = 5;
constexpr int rank_excess_late = 6;
constexpr int rank_overdue = 7;
// The part of a submission's value that does not depend on its work, relative
// to the value of a submission of average work in its queue.
constexpr double fixed_value_share = 0.3;
constexpr std::int64_t max_hosts_per_advice_request = 30;
// Starts that a host has been sent or is to be sent, and has not confirmed.
// With more, those at the end of a slow host's queue would be given up before
// they are sent, and ordered anew at the end of another.
constexpr std::size_t max_unconfirmed_starts = 32;
// Requests to the advice service that wait for their answer. The service
// handles one at a time, and until then others may have become more urgent.
constexpr std::size_t max_pending_advice = 2;
// Terms of the placement cost of a task on a host. Only their relative order
// matters.
constexpr double cost_previous_failure = 1000;
constexpr double cost_other_rack = 100;
constexpr double cost_on_probation = 50;
constexpr double cost_interference = 5;
constexpr double cost_first_long_running = 2;

resources times(const resources& need, std::int64_t count)
{
    return {
        need.cpu_milli * count, need.memory_mb * count,
        need.accelerators * count};
}

} // namespace

double share_of(const resources& need, const resources& host)
{
    const auto ratio = [](std::int64_t part, std::int64_t of) {
        return of > 0 ? static_cast<double>(part) / static_cast<double>(of)
                      : 0.0;
    };
    return std::max(
        {ratio(need.cpu_milli, host.cpu_milli),
         ratio(need.memory_mb, host.memory_mb),
         ratio(need.accelerators, host.accelerators)});
}

resources reserved_resources(const step_spec& step)
{
    auto need = step.need;
    if (step.best_effort)
        need.cpu_milli = 0;
    return need;
}

// What has started goes first, but is no more urgent than what is in time:
// otherwise the rest of small submissions would take what is reserved.
step_urgency pool_planner::candidate::urgency() const
{
    return {rank == rank_started ? rank_in_time : rank, priority};
}

pool_planner::pool_planner(pool_engine& engine)
    : engine_(engine), now_(engine.now_)
{}

void pool_planner::plan()
{
    collect_hosts();
    if (hosts_.empty())
        return;
    auto candidates = collect_candidates();
    std::ranges::sort(candidates, {}, [](const candidate& c) {
        return std::tuple(c.rank, c.priority, c.order_key);
    });
    if (engine_.terms_.look_ahead)
        review_reservations(candidates);
    if (engine_.accounts_)
        place_by_shares(candidates);
    else
        std::ranges::for_each(
            candidates, [this](const candidate& c) { place(c); });
    if (engine_.terms_.look_ahead)
        reserve_hosts(candidates);
    if (engine_.accounts_)
        note_room();
}

void pool_planner::place(const candidate& c)
{
    if (c.submission->record.spec.steps[c.step].gang)
        place_gang(c);
    else
        place_tasks(c);
}

// Among candidates of one pool, rank and priority, the account with the lowest
// start tag is next; its own candidates keep their order.
void pool_planner::place_by_shares(const std::vector<candidate>& candidates)
{
    const auto has_same_band = [](const candidate& a, const candidate& b) {
        return a.rank == b.rank && a.priority == b.priority;
    };
    for (auto begin = candidates.begin(); begin != candidates.end();)
    {
        const auto end =
            std::find_if(begin, candidates.end(), [&](const candidate& c) {
                return !has_same_band(*begin, c);
            });
        place_band({begin, end});
        begin = end;
    }
}

void pool_planner::place_band(std::span<const candidate> candidates)
{
    // Of an account in a pool.
    struct queue
    {
        const std::string* account = nullptr;
        const fair_order* order = nullptr;
        std::vector<const candidate*> waiting;
        std::size_t next = 0;
    };
    std::map<std::pair<std::string_view, std::string_view>, queue> queues;
    for (const auto& c : candidates)
    {
        const auto& record = c.submission->record;
        auto& q = queues[{record.terms.pool, record.account}];
        if (q.waiting.empty())
        {
            q.account = &record.account;
            q.order = &engine_.fair_orders_[record.terms.pool];
        }
        q.waiting.push_back(&c);
    }
    using entry = std::pair<double, queue*>;
    const auto is_later = [](const entry& a, const entry& b) {
        return a.first > b.first;
    };
    std::priority_queue<entry, std::vector<entry>, decltype(is_later)> ready(
        is_later);
    for (auto& [key, q] : queues)
        ready.emplace(q.order->start_tag(*q.account), &q);
    while (!ready.empty())
    {
        auto* q = ready.top().second;
        ready.pop();
        place(*q->waiting[q->next]);
        if (++q->next < q->waiting.size())
            ready.emplace(q->order->start_tag(*q->account), q);
    }
}

void pool_planner::note_room()
{
    for (const auto& pool : std::views::keys(hosts_))
        engine_.room_[pool].note(
            engine_.capacity_of(pool), full_.contains(pool), now_.steady);
}

void pool_planner::collect_hosts()
{
    for (auto& [id, h] : engine_.hosts_)
    {
        if (!engine_.is_eligible(h))
            continue;
        const auto unconfirmed = static_cast<std::size_t>(std::ranges::count_if(
            h.runs, [](const auto& run) { return !run.second.confirmed; }));
        starts_left_[&h] = max_unconfirmed_starts -
                           std::min(unconfirmed, max_unconfirmed_starts);
        hosts_[h.entry.pool].push_back(&h);
    }
}

bool pool_planner::may_start(const task_state& t) const
{
    return t.phase == task_phase::waiting && t.retry_at <= now_.steady &&
           t.recorded_in <= engine_.stored_batch_ && t.holders == 0 &&
           !(t.inherited && engine_.settling_);
}

std::vector<pool_planner::candidate> pool_planner::collect_candidates()
{
    std::vector<candidate> out;
    for (auto& [id, s] : engine_.active_)
    {
        auto& mean =
            mean_work_.try_emplace(s.record.terms.route, s.work).first->second;
        constexpr double smoothing = 0.1;
        mean += smoothing * (s.work - mean);
    }
    for (auto& [id, s] : engine_.active_)
    {
        if (s.accepted_in != 0 || s.cancelled_in != 0 ||
            !hosts_.contains(s.record.terms.pool))
            continue;
        for (auto& [k, o] : s.occurrences)
            for (std::uint32_t i = 0; i < o.steps.size(); ++i)
            {
                auto& step = o.steps[i];
                if (step.done == step.tasks.size() ||
                    !pool_engine::is_ready(s, o, i))
                    continue;
                if (step.times.ready == boot_time{})
                    step.times.ready = now_.steady;
                if (std::ranges::any_of(step.tasks, [&](const task_state& t) {
                        return may_start(t);
                    }))
                    out.push_back(make_candidate(s, k, i));
            }
    }
    return out;
}

pool_planner::candidate pool_planner::make_candidate(
    submission_state& s, std::uint32_t occurrence, std::uint32_t step)
{
    candidate c{&s, occurrence, step, 0, s.record.terms.priority, 0, {}};
    const auto& spec = s.record.spec.steps[step];
    if (spec.long_running)
    {
        c.rank = rank_long_running;
        c.order_key = static_cast<double>(s.arrived.time_since_epoch().count());
        return c;
    }
    const auto& terms = s.record.terms;
    const auto& o = s.occurrences.at(occurrence);
    const auto view =
        forecast_completion(s, o, engine_.estimate_factor(s), now_.steady);
    const double age = static_cast<double>(view.age.count());
    const bool started = std::ranges::any_of(o.steps, [](const auto& item) {
        return std::ranges::any_of(item.tasks, [](const task_state& t) {
            return t.phase != task_phase::waiting;
        });
    });
    switch (view.state)
    {
    case timeliness::in_time:
        if (s.is_excess)
            c.rank = started ? rank_excess_started : rank_excess_in_time;
        else
            c.rank = started ? rank_started : rank_in_time;
        break;
    case timeliness::late:
        c.rank = s.is_excess ? rank_excess_late : rank_late;
        break;
    case timeliness::overdue:
        c.rank = rank_overdue;
        break;
    }
    if (view.state != timeliness::overdue)
        c.slack = view.until_overdue;
    const double mean = std::max(mean_work_[terms.route], 1.0);
    const double work = std::max(s.work, 1.0);
    const double value =
        fixed_value_share + (1 - fixed_value_share) * work / mean;
    // In time: the highest value per unit of work first. Late: the oldest
    // first.
    c.order_key = c.rank < rank_late ? -value / work : -age;
    return c;
}

bool pool_planner::has_room(
    const host_state& h, const candidate& c, const step_spec& spec) const
{
    const task_ref step{c.submission->record.id, c.occurrence, c.step, 0};
    // A host that was suspended or slow before gets one run at a time.
    return starts_left_.at(&h) > 0 && engine_.has_room_for(h, step, spec) &&
           ((h.health.suspensions == 0 && !h.pace.is_suspect(now_.steady)) ||
            h.runs.empty() || spec.long_running) &&
           respects_reservation(h, c, spec);
}

bool pool_planner::can_place(
    const host_state& h, const candidate& c, const step_spec& spec) const
{
    return has_room(h, c, spec) && is_granted(h, c);
}

double pool_planner::cost_of(
    const host_state& h, const step_spec& spec, const task_state& t,
    const std::string& rack) const
{
    double cost = 0;
    if (t.failed_on.contains(h.entry.id))
        cost += cost_previous_failure;
    if (!rack.empty() && h.entry.rack != rack)
        cost += cost_other_rack;
    if (h.health.suspensions > 0 || h.pace.is_suspect(now_.steady))
        cost += cost_on_probation;
    if (spec.best_effort || spec.long_running)
        cost += cost_interference *
                static_cast<double>(
                    std::ranges::count_if(h.runs, [&](const auto& r) {
                        return r.second.serves ||
                               (r.second.best_effort && !spec.best_effort);
                    }));
    const auto scarcer = scarcer_.find(h.entry.pool);
    const auto part =
        scarcer == scarcer_.end() ? &resources::cpu_milli : scarcer->second;
    const auto free = h.entry.capacity - h.used;
    const double left = h.entry.capacity.*part > 0
                            ? static_cast<double>(free.*part) /
                                  static_cast<double>(h.entry.capacity.*part)
                            : 0;
    // Long-running tasks are packed onto few hosts, since a host that runs one
    // can't move to another pool. Other tasks go where the least capacity
    // remains free.
    if (spec.long_running && !spec.best_effort)
        cost += std::ranges::any_of(
                    h.runs, [](const auto& r) { return r.second.long_running; })
                    ? 0
                    : cost_first_long_running;
    return cost + left;
}

host_state* pool_planner::best_host(
    const candidate& c, const step_spec& spec, const task_state& t,
    const std::string& rack)
{
    const auto& pool = c.submission->record.terms.pool;
    if (unfit_[pool].contains(reserved_resources(spec)))
        return nullptr;
    host_state* best = nullptr;
    double least = std::numeric_limits<double>::max();
    for (auto* h : hosts_[pool])
    {
        if (!can_place(*h, c, spec))
            continue;
        const double cost = cost_of(*h, spec, t, rack);
        if (cost < least)
        {
            least = cost;
            best = h;
        }
    }
    return best;
}

void pool_planner::note_unfit(const std::string& pool, const resources& need)
{
    if (unfit_[pool].contains(need))
        return;
    const bool has_room =
        std::ranges::any_of(hosts_[pool], [&](const host_state* h) {
            return starts_left_.at(h) > 0 &&
                   fits(need, h->entry.capacity - h->used);
        });
    if (!has_room)
        unfit_[pool].add(need);
}

std::string pool_planner::rack_in_use(const candidate& c) const
{
    const auto& step = c.submission->occurrences.at(c.occurrence).steps[c.step];
    for (const auto& t : step.tasks)
        if (!t.host.empty())
            if (const auto h = engine_.hosts_.find(t.host);
                h != engine_.hosts_.end())
                return h->second.entry.rack;
    return {};
}

bool pool_planner::is_granted(const host_state& h, const candidate& c) const
{
    if (!c.submission->record.terms.advice)
        return true;
    const auto& advice =
        c.submission->occurrences.at(c.occurrence).steps[c.step].advice;
    const auto known = advice.find(h.entry.id);
    return known != advice.end() && known->second.born == h.entry.born &&
           !known->second.ticket.empty() &&
           known->second.valid_until > now_.steady;
}

std::uint32_t pool_planner::room_for(
    const host_state& h, const candidate& c, const step_spec& spec,
    std::uint32_t most) const
{
    // Room that is reserved counts, so that the advice is there when the room
    // is.
    if (is_reserved_for(h, c))
        return most;
    if (!has_room(h, c, spec))
        return 0;
    const auto need = reserved_resources(spec);
    const auto free = h.entry.capacity - h.used;
    std::int64_t count = most;
    if (spec.most_per_host > 0)
        count = std::min<std::int64_t>(count, spec.most_per_host);
    for (const auto& [part, whole] :
         {std::pair(need.cpu_milli, free.cpu_milli),
          std::pair(need.memory_mb, free.memory_mb),
          std::pair(need.accelerators, free.accelerators)})
        if (part > 0)
            count = std::min(count, whole / part);
    return static_cast<std::uint32_t>(std::max<std::int64_t>(count, 0));
}

bool pool_planner::has_granted_room(
    const candidate& c, std::uint32_t tasks) const
{
    const auto& spec = c.submission->record.spec.steps[c.step];
    std::uint32_t room = 0;
    for (const auto* h : hosts_.at(c.submission->record.terms.pool))
    {
        if (room >= tasks)
            break;
        if (is_granted(*h, c))
            room += room_for(*h, c, spec, tasks);
    }
    return room >= tasks;
}

void pool_planner::request_advice(const candidate& c)
{
    const auto& s = *c.submission;
    const auto& spec = s.record.spec.steps[c.step];
    auto& step = c.submission->occurrences.at(c.occurrence).steps[c.step];
    if (!step.asked_hosts.empty() ||
        engine_.pending_advice_ >= max_pending_advice)
        return;
    const std::uint32_t wanted = spec.gang ? spec.count : 1;
    std::uint32_t room = 0;
    std::vector<const host_state*> unknown;
    for (const auto* h : hosts_.at(s.record.terms.pool))
    {
        const auto known = step.advice.find(h->entry.id);
        const bool is_denied = known != step.advice.end() &&
                               known->second.born == h->entry.born &&
                               known->second.ticket.empty();
        const auto here = is_denied ? 0 : room_for(*h, c, spec, wanted);
        room += here;
        if (here > 0 && !is_granted(*h, c))
            unknown.push_back(h);
    }
    if (unknown.empty() || room < wanted)
        return;
    const auto& terms = *s.record.terms.advice;
    std::ranges::sort(unknown, std::greater<>{}, [](const host_state* h) {
        return h->entry.capacity.cpu_milli - h->used.cpu_milli;
    });
    // The tickets must be valid for longer than the service takes.
    std::size_t count = max_hosts_per_advice_request;
    if (terms.each > 0ms && terms.valid > 0ms)
        count = static_cast<std::size_t>(std::clamp<std::int64_t>(
            (terms.valid - terms.decide) / terms.each, 1,
            max_hosts_per_advice_request));
    pool_effect::advise ask{{s.record.id, c.occurrence, c.step, 0}, {}, {}};
    for (const auto* h : unknown | std::views::take(count))
    {
        ask.hosts.push_back(h->entry.id);
        step.asked_hosts[h->entry.id] = h->entry.born;
    }
    ask.need = terms.decide + terms.each * ask.hosts.size();
    ++engine_.pending_advice_;
    engine_.effects_.emplace_back(std::move(ask));
}

void pool_planner::note_full(const candidate& c)
{
    if (c.rank != rank_long_running && c.rank != rank_overdue)
        full_.insert(c.submission->record.terms.pool);
}

void pool_planner::place_tasks(const candidate& c)
{
    const auto& spec = c.submission->record.spec.steps[c.step];
    auto& step = c.submission->occurrences.at(c.occurrence).steps[c.step];
    auto rack = spec.rack;
    if (rack.empty() && spec.same_rack)
        rack = rack_in_use(c);
    const auto account =
        engine_.budget_.find_or_add(c.submission->record.account);
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i)
    {
        auto& t = step.tasks[i];
        if (!may_start(t))
            continue;
        auto* h = best_host(c, spec, t, rack);
        if (!h)
        {
            note_unfit(
                c.submission->record.terms.pool, reserved_resources(spec));
            note_full(c);
            if (c.submission->record.terms.advice)
                request_advice(c);
            return;
        }
        if (!engine_.budget_.has_room(account, spec.need))
        {
            const auto waiting = std::count_if(
                step.tasks.begin() + i, step.tasks.end(),
                [&](const task_state& other) { return may_start(other); });
            engine_.budget_.hold(account, times(spec.need, waiting), spec.need);
            return;
        }
        if (rack.empty() && spec.same_rack)
            rack = h->entry.rack;
        start(
            c, i, *h,
            engine_.next_run(
                {c.submission->record.id, c.occurrence, c.step, i}, t));
    }
}

void pool_planner::place_gang(const candidate& c)
{
    const auto& spec = c.submission->record.spec.steps[c.step];
    auto& step = c.submission->occurrences.at(c.occurrence).steps[c.step];
    if (!std::ranges::all_of(
            step.tasks, [&](const task_state& t) { return may_start(t); }))
        return;
    if (c.submission->record.terms.advice && !has_granted_room(c, spec.count))
    {
        request_advice(c);
        return;
    }
    std::uint32_t run = 0;
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i)
        run = std::max(
            run, engine_.next_run(
                     {c.submission->record.id, c.occurrence, c.step, i},
                     step.tasks[i]));
    // All members restart from the checkpoint of the newest recorded run
    // of any member.
    const auto saved = std::ranges::max_element(
        step.tasks, {}, [](const task_state& t) { return t.recorded_run; });
    const auto checkpoint = saved->checkpoint;
    std::vector<host_state*> chosen_hosts;
    auto rack = spec.rack;
    for (const auto& t : step.tasks)
    {
        auto* h = best_host(c, spec, t, rack);
        if (!h)
            break;
        if (rack.empty() && spec.same_rack)
            rack = h->entry.rack;
        chosen_hosts.push_back(h);
        h->used = h->used + reserved_resources(spec);
    }
    for (auto* h : chosen_hosts)
        h->used = h->used - reserved_resources(spec);
    if (chosen_hosts.size() < step.tasks.size())
    {
        note_full(c);
        return;
    }
    const auto account =
        engine_.budget_.find_or_add(c.submission->record.account);
    const auto need = times(spec.need, spec.count);
    if (!engine_.budget_.has_room(account, need))
    {
        engine_.budget_.hold(account, need, need);
        return;
    }
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i)
    {
        step.tasks[i].checkpoint = checkpoint;
        start(c, i, *chosen_hosts[i], run);
    }
}

void pool_planner::start(
    const candidate& c, std::uint32_t index, host_state& h, std::uint32_t run)
{
    const auto& spec = c.submission->record.spec.steps[c.step];
    auto& step = c.submission->occurrences.at(c.occurrence).steps[c.step];
    auto& t = step.tasks[index];
    const task_ref task{c.submission->record.id, c.occurrence, c.step, index};
    if (t.run == 0)
        step.times.placed = now_.steady;
    else
        ++step.restarts;
    t.phase = task_phase::starting;
    t.run = run;
    t.host = h.entry.id;
    t.started = now_.steady;
    t.percent = 0;
    t.inherited = false;
    host_run held;
    held.run = run;
    held.need = reserved_resources(spec);
    held.ordered = now_.steady;
    held.serves = spec.long_running && spec.latency_objective > 0ms;
    held.best_effort = spec.best_effort;
    held.long_running = spec.long_running;
    held.objective = spec.latency_objective;
    engine_.add_run(h, task, held);
    const auto& record = c.submission->record;
    if (engine_.accounts_ && !spec.long_running)
        engine_.fair_orders_[record.terms.pool].charge(
            record.account, engine_.weight_of(record.account),
            share_of(held.need, h.entry.capacity) *
                static_cast<double>(spec.estimate.count()));
    if (engine_.terms_.look_ahead)
        note_start(h, c);
    auto& left = starts_left_[&h];
    left -= std::min<std::size_t>(left, 1);
    const auto advice = step.advice.find(h.entry.id);
    engine_.effects_.emplace_back(pool_effect::start{
        h.entry.id, h.entry.born, task, run, t.checkpoint,
        advice == step.advice.end() ? std::string() : advice->second.ticket});
    engine_.log_decision(
        "start_ordered", task, run, h.entry.id,
        c.rank >= rank_late ? "late" : "in time");
}

} // namespace dandeliontack
