// Simulates random fault histories of shard owners, hosts and the store. Owners
// are killed, or continue in isolation until their claim becomes invalid; hosts
// stop answering, restart, and execute orders late; tasks fail on their own;
// the store is unavailable. The invariants are checked from the hosts' point of
// view.

#include <dandeliontack/pool_engine.hpp>
#include <dandeliontack/shard_records.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <ranges>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr std::size_t record_bytes = 128 * 1024;
constexpr int host_count = 3;
constexpr int submission_count = 4;
constexpr auto max_order_delay = 12'000ms;
constexpr std::uint32_t attempt_limit = 3;

struct simulated_run
{
    std::uint32_t run = 0;
    milliseconds remaining{0};
};

// A host that behaves as the platform's API specifies.
struct simulated_host
{
    std::string id;
    milliseconds born{1};
    boot_time started;
    int clock_per_mille = 1000;
    bool reachable = true;
    std::uint64_t fencing_token = 0;
    host_time lease_end{0};
    std::map<task_ref, simulated_run> running;
    std::map<task_ref, std::uint32_t> ended_run;
    std::deque<ended_row> ended;
    std::uint64_t ends = 0;

    host_time clock(boot_time now) const
    {
        return milliseconds((now - started).count() * clock_per_mille / 1000);
    }
};

struct delayed_order
{
    boot_time at;
    std::string host;
    milliseconds born;
    std::uint64_t fencing_token;
    host_time lease_end;
    std::optional<pool_effect::start> start;
    std::optional<pool_effect::stop> stop;
};

struct owner
{
    std::unique_ptr<pool_engine> engine;
    std::uint64_t epoch = 0;
    boot_time confirmed;
    std::deque<pool_effect_body> orders;
};

class simulation
{
public:
    simulation()
    {
        for (int i = 0; i < host_count; ++i)
        {
            simulated_host h;
            h.id = "h" + std::to_string(i);
            h.started = now_.steady - milliseconds(i * 1000);
            h.clock_per_mille = i == 0 ? 980 : 1000;
            hosts_.push_back(h);
        }
        take_over();
    }

    void submit(std::uint64_t id)
    {
        submission_record record;
        record.id = id;
        record.terms.route = "route";
        record.terms.pool = "pool";
        record.terms.max_attempts = attempt_limit;
        record.terms.stretch = 2;
        step_spec step;
        step.count = 2;
        step.need = {1000, 1000, 0};
        step.estimate = 800ms;
        record.spec.steps = {step, step};
        record.spec.steps[1].dependencies = {0};
        apply_event(current_, pool_event::submitted{record});
    }

    void advance_time(milliseconds time)
    {
        for (auto spent = 0ms; spent < time; spent += 50ms)
        {
            now_.steady += 50ms;
            now_.wall += 50ms;
            for (auto& h : hosts_)
                run_tasks(h, 50ms);
            execute_due_orders();
            check_single_runs();
        }
    }

    // One planning round of the current owner, and of a previous owner that is
    // still active.
    void run_owners()
    {
        for (auto* o : {&current_, &previous_})
            if (o->engine && has_valid_claim(*o))
            {
                apply_event(*o, pool_event::tick{});
                send_orders(*o);
            }
        store();
    }

    void hold(int index)
    {
        for (auto* o : {&current_, &previous_})
            if (o->engine && has_valid_claim(*o))
                hold_by(*o, hosts_[static_cast<std::size_t>(index)]);
    }

    void store()
    {
        if (!store_up_ || !current_.engine)
            return;
        const auto changes = current_.engine->take_changes();
        for (auto& record : records_of(*current_.engine, changes, record_bytes))
            if (record.value.empty())
                stored_.erase(record.key);
            else
                stored_[record.key] = std::move(record.value);
        current_.confirmed = now_.steady;
        apply_event(current_, pool_event::batch_stored{changes.batch});
    }

    void set_store(bool up)
    {
        store_up_ = up;
    }

    // A new owner claims the shard. The previous one is dead, or continues
    // until its claim becomes invalid.
    void take_over(bool previous_continues = false)
    {
        if (!store_up_)
            return;
        previous_ = previous_continues ? std::move(current_) : owner{};
        current_ = owner{};
        current_.epoch = ++epochs_;
        current_.engine =
            std::make_unique<pool_engine>(pool_terms{}, current_.epoch);
        current_.confirmed = now_.steady;
        std::vector<keyed_record> records;
        records.reserve(stored_.size());
        for (const auto& [key, value] : stored_)
            records.push_back({key, value, 0});
        for (const auto& key :
             restore_engine(*current_.engine, records, now_).orphans)
            stored_.erase(key);
        current_.engine->begin(now_);
        update_host_list();
    }

    // A planned handover: the previous owner stores lists of the running tasks.
    void hand_over()
    {
        if (!store_up_)
            return;
        current_.engine->begin_handover();
        store();
        take_over();
    }

    void set_reachable(int index, bool reachable)
    {
        hosts_[static_cast<std::size_t>(index)].reachable = reachable;
    }

    void restart_host(int index)
    {
        // A restarted host has lost its fencing token. No previous owner has a
        // valid claim by then, because a successor waits until it has become
        // invalid (tested in shard_map_test).
        if (previous_.engine && has_valid_claim(previous_))
            return;
        auto& h = hosts_[static_cast<std::size_t>(index)];
        h.born += 1ms;
        h.started = now_.steady;
        h.fencing_token = 0;
        h.lease_end = 0ms;
        h.running.clear();
        h.ended_run.clear();
        h.ended.clear();
        h.ends = 0;
        update_host_list();
    }

    void update_host_list()
    {
        pool_event::hosts_listed listed;
        for (const auto& h : hosts_)
        {
            host_entry entry;
            entry.id = h.id;
            entry.born = h.born;
            entry.address = "127.0.0.1:1";
            entry.pool = "pool";
            entry.capacity = {4000, 4000, 0};
            listed.entries.push_back(entry);
        }
        apply_event(current_, listed);
    }

    void set_order_delay_percent(int percent)
    {
        order_delay_percent_ = percent;
    }

    // Makes this percentage of the runs fail, each after a random time.
    void set_failure_percent(int percent)
    {
        failure_percent_ = percent;
    }

    // Makes hosts list at most this many ends in an answer.
    void set_ends_per_answer(std::size_t count)
    {
        ends_per_answer_ = count;
    }

    bool all_ended(std::set<submission_phase> as) const
    {
        for (std::uint64_t id = 1; id <= submission_count; ++id)
        {
            const auto view = current_.engine->find(id);
            if (!view || !as.contains(view->phase))
                return false;
        }
        return true;
    }

    /// Describes the unfinished tasks and the hosts for a failure report.
    std::string describe_unfinished() const
    {
        std::string text;
        for (std::uint64_t id = 1; id <= submission_count; ++id)
        {
            const auto* s = current_.engine->state_of(id);
            if (!s)
                continue;
            for (const auto& [k, occurrence] : s->occurrences)
                for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i)
                    for (const auto& t : occurrence.steps[i].tasks)
                        text += std::to_string(id) + "." + std::to_string(i) +
                                " phase " +
                                std::to_string(static_cast<int>(t.phase)) +
                                " run " + std::to_string(t.run) + " recorded " +
                                std::to_string(t.recorded_run) + " on " +
                                t.host + (t.inherited ? " inherited" : "") +
                                "\n";
        }
        for (const auto& [id, h] : current_.engine->hosts())
            text += id + " listed " + std::to_string(h.listed) + " contacted " +
                    std::to_string(h.contacted) + " closed " +
                    std::to_string(h.closed) + " recorded in " +
                    std::to_string(h.recorded_in) + " runs " +
                    std::to_string(h.runs.size()) + " lease ended " +
                    std::to_string(h.lease.has_ended(now_.steady)) + " seen " +
                    std::to_string(h.last_seen_end) + " cursor " +
                    std::to_string(h.ack_cursor) + "\n";
        return text;
    }

private:
    bool has_valid_claim(const owner& o) const
    {
        return now_.steady - o.confirmed < lease_terms().claim_validity;
    }

    void apply_event(owner& o, const pool_event_body& event)
    {
        if (!o.engine)
            return;
        for (auto& effect : o.engine->apply(event, now_))
            if (!std::holds_alternative<pool_effect::decision>(effect))
                o.orders.push_back(std::move(effect));
    }

    simulated_host& find_host(const std::string& id)
    {
        return *std::ranges::find(hosts_, id, &simulated_host::id);
    }

    void end(simulated_host& h, const task_ref& task, run_outcome outcome)
    {
        const auto run = h.running.at(task).run;
        h.running.erase(task);
        auto& ended = h.ended_run[task];
        ended = std::max(ended, run);
        h.ended.push_back({++h.ends, task, run, outcome, {}});
        if (outcome == run_outcome::done)
            done_.insert(task);
        if (outcome == run_outcome::failed)
            histories_[task].push_back({{h.id, h.born, h.ends}});
    }

    // Checks that a task is not started again after `attempt_limit` failed
    // ends, counting those that were acknowledged, even later, under a valid
    // lease.
    void check_attempts(const task_ref& task) const
    {
        std::uint32_t failures = 0;
        for (const auto& failed_end : histories_.at(task))
            if (!failed_end)
                RC_ASSERT(failures < attempt_limit);
            else if (acknowledged_failures_.contains(*failed_end))
                ++failures;
    }

    void run_tasks(simulated_host& h, milliseconds time)
    {
        std::vector<std::pair<task_ref, run_outcome>> finished_runs;
        for (auto& [task, run] : h.running)
        {
            run.remaining -= time;
            if (h.clock(now_.steady) >= h.lease_end)
                finished_runs.emplace_back(task, run_outcome::lease_expired);
            else if (run.remaining <= 0ms)
                finished_runs.emplace_back(
                    task, *rc::gen::inRange(0, 100) < failure_percent_
                              ? run_outcome::failed
                              : run_outcome::done);
        }
        for (const auto& [task, outcome] : finished_runs)
            end(h, task, outcome);
        if (h.clock(now_.steady) >= h.lease_end)
            // Ends that were not acknowledged before the lease expired do not
            // count.
            for (const auto& row : h.ended)
                lapsed_ends_.insert({h.id, h.born, row.number});
    }

    start_answer execute(
        simulated_host& h, const pool_effect::start& order,
        std::uint64_t fencing_token, host_time lease_end)
    {
        if (fencing_token < h.fencing_token)
            return start_answer::fenced;
        h.fencing_token = fencing_token;
        if (lease_end <= h.clock(now_.steady))
            return start_answer::too_late;
        h.lease_end = std::max(h.lease_end, lease_end);
        const auto found = h.running.find(order.task);
        if (found != h.running.end() && found->second.run == order.run)
            return start_answer::started;
        if (found != h.running.end() || order.run <= h.ended_run[order.task])
            return start_answer::run_too_low;
        RC_ASSERT(!acknowledged_.contains(order.task));
        if (order.task.step == 1)
            for (std::uint32_t i = 0; i < 2; ++i)
                RC_ASSERT(done_.contains({order.task.submission, 0, 0, i}));
        h.running[order.task] = {
            order.run, failure_percent_ == 0
                           ? 800ms
                           : milliseconds(*rc::gen::inRange(1, 800))};
        histories_[order.task].emplace_back();
        check_attempts(order.task);
        return start_answer::started;
    }

    bool execute(
        simulated_host& h, const pool_effect::stop& order,
        std::uint64_t fencing_token)
    {
        if (fencing_token < h.fencing_token)
            return false;
        h.fencing_token = fencing_token;
        const auto found = h.running.find(order.task);
        if (found != h.running.end() && found->second.run == order.run)
            end(h, order.task, run_outcome::stopped);
        else
        {
            auto& ended = h.ended_run[order.task];
            ended = std::max(ended, order.run);
        }
        return true;
    }

    bool order_is_delayed()
    {
        return *rc::gen::inRange(0, 100) < order_delay_percent_;
    }

    boot_time random_later_time()
    {
        return now_.steady + milliseconds(*rc::gen::inRange<int>(
                                 0, static_cast<int>(max_order_delay.count())));
    }

    void send_orders(owner& o)
    {
        auto orders = std::exchange(o.orders, {});
        for (const auto& effect : orders)
        {
            if (const auto* start = std::get_if<pool_effect::start>(&effect))
                send(o, *start);
            if (const auto* stop = std::get_if<pool_effect::stop>(&effect))
                send(o, *stop);
        }
    }

    void send(owner& o, const pool_effect::start& order)
    {
        auto& h = find_host(order.host);
        pool_event::start_answered answered{order.host,
                                            order.born,
                                            order.task,
                                            order.run,
                                            start_answer::refused,
                                            {}};
        const auto lease_end = o.engine->is_wanted(order)
                                   ? o.engine->extend_lease(order.host, now_)
                                   : std::nullopt;
        if (lease_end && h.reachable && !order_is_delayed())
        {
            answered.answer = execute(h, order, o.epoch, *lease_end);
            answered.clock = h.clock(now_.steady);
        }
        else if (lease_end)
        {
            answered.answer = start_answer::unknown;
            if (h.reachable)
                delayed_orders_.push_back(
                    {random_later_time(),
                     h.id,
                     h.born,
                     o.epoch,
                     *lease_end,
                     order,
                     {}});
        }
        apply_event(o, answered);
    }

    void send(owner& o, const pool_effect::stop& order)
    {
        auto& h = find_host(order.host);
        bool taken = false;
        if (h.reachable && !order_is_delayed())
            taken = execute(h, order, o.epoch);
        else if (h.reachable)
            delayed_orders_.push_back(
                {random_later_time(), h.id, h.born, o.epoch, 0ms, {}, order});
        apply_event(
            o, pool_event::stop_answered{
                   order.host, order.born, order.task, order.run, taken});
    }

    void execute_due_orders()
    {
        const auto due = std::ranges::partition(
            delayed_orders_,
            [&](const delayed_order& o) { return o.at > now_.steady; });
        const std::vector<delayed_order> orders(due.begin(), due.end());
        delayed_orders_.erase(due.begin(), due.end());
        for (const auto& order : orders)
        {
            auto& h = find_host(order.host);
            if (h.born != order.born)
                continue;
            if (order.start)
                execute(h, *order.start, order.fencing_token, order.lease_end);
            else
                execute(h, *order.stop, order.fencing_token);
        }
    }

    void hold_by(owner& o, simulated_host& h)
    {
        const auto known = o.engine->hosts().find(h.id);
        if (known == o.engine->hosts().end() || !h.reachable ||
            o.epoch < h.fencing_token)
            return;
        h.fencing_token = o.epoch;
        const auto lease_end = o.engine->extend_lease(h.id, now_);
        if (lease_end)
            h.lease_end = std::max(h.lease_end, *lease_end);
        const auto cursor = known->second.ack_cursor;
        if (known->second.entry.born == h.born)
            while (!h.ended.empty() && h.ended.front().number <= cursor)
            {
                const auto row = h.ended.front();
                h.ended.pop_front();
                const host_end key{h.id, h.born, row.number};
                if (lapsed_ends_.contains(key))
                    continue;
                if (row.outcome == run_outcome::done)
                    acknowledged_.insert(row.task);
                if (row.outcome != run_outcome::failed)
                    continue;
                acknowledged_failures_.insert(key);
                check_attempts(row.task);
            }
        host_report report;
        report.clock = h.clock(now_.steady);
        report.born = h.born;
        for (const auto& [task, run] : h.running)
            report.running.push_back({task, run.run, {}, 50, 0});
        std::ranges::copy(
            h.ended | std::views::take(ends_per_answer_),
            std::back_inserter(report.ended));
        report.ends_complete = report.ended.size() < ends_per_answer_;
        apply_event(
            o, pool_event::host_reported{
                   h.id, known->second.entry.born, now_.steady,
                   std::move(report)});
    }

    // Checks that no task runs on two hosts at the same time.
    void check_single_runs() const
    {
        std::map<task_ref, int> runs;
        for (const auto& h : hosts_)
            for (const auto& [task, run] : h.running)
                RC_ASSERT(++runs[task] == 1);
    }

    moment now_{boot_time(1h), wall_time(1h)};
    std::vector<simulated_host> hosts_;
    std::vector<delayed_order> delayed_orders_;
    owner current_;
    owner previous_;
    std::uint64_t epochs_ = 0;
    bool store_up_ = true;
    int order_delay_percent_ = 0;
    int failure_percent_ = 0;
    std::size_t ends_per_answer_ = 500;
    std::map<std::string, std::string> stored_;
    std::set<task_ref> done_;
    /// Tasks whose successful end was acknowledged under a valid lease.
    std::set<task_ref> acknowledged_;
    /// Identifies an end by host, start time of the host's incarnation, and
    /// number on that host.
    using host_end = std::tuple<std::string, milliseconds, std::uint64_t>;
    std::set<host_end> lapsed_ends_;
    /// The starts (nullopt) and failed ends of each task, in order.
    std::map<task_ref, std::vector<std::optional<host_end>>> histories_;
    /// Failed ends that were acknowledged under a valid lease.
    std::set<host_end> acknowledged_failures_;
};

void random_fault_step(simulation& sim)
{
    switch (*rc::gen::inRange(0, 12))
    {
    case 0:
        sim.take_over(false);
        break;
    case 1:
        sim.take_over(true);
        break;
    case 2:
        sim.hand_over();
        break;
    case 3:
        sim.set_reachable(*rc::gen::inRange(0, host_count), false);
        break;
    case 4:
    case 5:
        sim.set_reachable(*rc::gen::inRange(0, host_count), true);
        break;
    case 6:
        sim.restart_host(*rc::gen::inRange(0, host_count));
        break;
    case 7:
        sim.set_store(false);
        break;
    case 8:
    case 9:
        sim.set_store(true);
        break;
    default:
        break;
    }
}

void fault_free_step(simulation& sim)
{
    for (int i = 0; i < host_count; ++i)
        sim.hold(i);
    sim.run_owners();
    sim.advance_time(100ms);
}

// Submits tasks, runs a number of steps with random faults, then steps without
// faults until every submission has ended in one of the phases, and fails if
// that takes more than 400 steps.
void run_scenario(simulation& sim, const std::set<submission_phase>& phases)
{
    sim.set_order_delay_percent(*rc::gen::inRange(0, 40));
    for (std::uint64_t id = 1; id <= submission_count; ++id)
        sim.submit(id);
    sim.store();
    const auto steps = *rc::gen::inRange(10, 80);
    for (int i = 0; i < steps; ++i)
    {
        random_fault_step(sim);
        for (int j = 0; j < host_count; ++j)
            if (*rc::gen::inRange(0, 3) > 0)
                sim.hold(j);
        sim.run_owners();
        sim.advance_time(milliseconds(*rc::gen::inRange(50, 700)));
    }
    sim.set_order_delay_percent(0);
    sim.set_store(true);
    for (int i = 0; i < host_count; ++i)
        sim.set_reachable(i, true);
    for (int i = 0; i < 400 && !sim.all_ended(phases); ++i)
        fault_free_step(sim);
    if (!sim.all_ended(phases))
        RC_FAIL(sim.describe_unfinished());
}

} // namespace

RC_GTEST_PROP(ownership, tasks_never_run_concurrently_and_all_complete, ())
{
    simulation sim;
    run_scenario(sim, {submission_phase::completed});
}

// Guards against taking a list of ends that a host has cut for the whole list:
// tasks whose end was in the rest ran again after a takeover.
RC_GTEST_PROP(ownership, cut_lists_of_ends_are_read_to_their_end, ())
{
    simulation sim;
    sim.set_ends_per_answer(*rc::gen::inRange<std::size_t>(1, 4));
    sim.set_failure_percent(*rc::gen::element(0, 0, 60));
    run_scenario(sim, {submission_phase::completed, submission_phase::failed});
}

RC_GTEST_PROP(ownership, acknowledged_failures_count_against_attempt_limit, ())
{
    simulation sim;
    sim.set_failure_percent(*rc::gen::inRange(50, 101));
    run_scenario(sim, {submission_phase::completed, submission_phase::failed});
}

} // namespace dandeliontack
