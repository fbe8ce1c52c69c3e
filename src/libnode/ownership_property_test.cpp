// Random histories of owners, hosts and the store: owners are killed, or live
// on cut off until their right ends; hosts fall silent, start anew, and carry
// orders out late; tasks fail by their own fault; the store is away. Checked
// from what the hosts see.

#include <dandeliontack/pool_engine.hpp>
#include <dandeliontack/stored_records.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr int host_count = 3;
constexpr int submission_count = 4;
constexpr auto latest_order = 12'000ms;
constexpr std::uint32_t most_attempts = 3;

struct simulated_run
{
    std::uint32_t run = 0;
    milliseconds left{0};
};

// A host as the platform's contract has it.
struct simulated_host
{
    std::string id;
    milliseconds born{1};
    boot_time started;
    int clock_per_mille = 1000;
    bool reachable = true;
    std::uint64_t fence = 0;
    host_time until{0};
    std::map<task_ref, simulated_run> running;
    std::map<task_ref, std::uint32_t> ended_run;
    std::deque<ended_row> ended;
    std::uint64_t ends = 0;

    host_time clock(boot_time now) const
    {
        return milliseconds((now - started).count() * clock_per_mille / 1000);
    }
};

struct late_order
{
    boot_time at;
    std::string host;
    milliseconds born;
    std::uint64_t fence;
    host_time until;
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

class world
{
public:
    world()
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
        record.terms.max_attempts = most_attempts;
        record.terms.stretch = 2;
        step_spec step;
        step.count = 2;
        step.need = {1000, 1000, 0};
        step.estimate = 800ms;
        record.spec.steps = {step, step};
        record.spec.steps[1].after = {0};
        give(current_, pool_event::submitted{record});
    }

    void pass(milliseconds time)
    {
        for (auto spent = 0ms; spent < time; spent += 50ms)
        {
            now_.steady += 50ms;
            now_.wall += 50ms;
            for (auto& h : hosts_)
                work(h, 50ms);
            carry_out_late_orders();
            check_single_runs();
        }
    }

    // A round of the owner's shell, and of a past owner that lives on.
    void act()
    {
        for (auto* o : {&current_, &past_})
            if (o->engine && has_right(*o))
            {
                give(*o, pool_event::tick{});
                send_orders(*o);
            }
        store();
    }

    void hold(int index)
    {
        for (auto* o : {&current_, &past_})
            if (o->engine && has_right(*o))
                hold_from(*o, hosts_[static_cast<std::size_t>(index)]);
    }

    void store()
    {
        if (!store_up_ || !current_.engine)
            return;
        const auto changes = current_.engine->take_changes();
        for (const auto& id : changes.dropped_hosts)
            stored_hosts_.erase(id);
        for (const auto& id : changes.used_hosts)
            if (const auto h = current_.engine->hosts().find(id);
                h != current_.engine->hosts().end())
                stored_hosts_[id] = encode(current_.engine->use_of(h->second));
        for (const auto id : changes.accepted)
            if (const auto* s = current_.engine->state_of(id))
                stored_submissions_[id] = encode(s->record);
        for (const auto id : changes.progressed)
            if (const auto* s = current_.engine->state_of(id))
                stored_progress_[id] = encode(progress_of(*s));
        for (const auto id : changes.finished)
        {
            progress_record ended;
            ended.finished = current_.engine->finished_phase(id);
            stored_progress_[id] = encode(ended);
            stored_submissions_.erase(id);
        }
        current_.confirmed = now_.steady;
        give(current_, pool_event::batch_stored{changes.batch});
    }

    void set_store(bool up)
    {
        store_up_ = up;
    }

    // A new owner claims the shard. The past one is dead, or goes on until its
    // right has ended.
    void take_over(bool past_lives_on = false)
    {
        if (!store_up_)
            return;
        past_ = past_lives_on ? std::move(current_) : owner{};
        current_ = owner{};
        current_.epoch = ++epochs_;
        current_.engine =
            std::make_unique<pool_engine>(pool_terms{}, current_.epoch);
        current_.confirmed = now_.steady;
        for (const auto& [id, bytes] : stored_hosts_)
            current_.engine->restore_host(*decode_host_use(bytes), now_);
        for (const auto& [id, bytes] : stored_progress_)
            if (const auto row = decode_progress(id, bytes); row->finished)
                current_.engine->restore_finished(id, *row->finished, now_);
        for (const auto& [id, bytes] : stored_submissions_)
            current_.engine->restore(
                *decode_submission_record(bytes), now_,
                [&](submission_state& s) {
                    const auto row = stored_progress_.find(s.record.id);
                    if (row != stored_progress_.end())
                        apply_progress(
                            *decode_progress(s.record.id, row->second), s);
                });
        current_.engine->begin(now_);
        list();
    }

    // A planned handover: the past owner leaves lists of what runs.
    void hand_over()
    {
        if (!store_up_)
            return;
        current_.engine->close_hosts();
        store();
        take_over();
    }

    void set_reachable(int index, bool reachable)
    {
        hosts_[static_cast<std::size_t>(index)].reachable = reachable;
    }

    void restart_host(int index)
    {
        // A host that starts anew has forgotten the fencing token. No past
        // owner has its right by then: a successor waits for its end
        // (shard_map_test, takes_nobody_for_lost_who_may_still_give_orders).
        if (past_.engine && has_right(past_))
            return;
        auto& h = hosts_[static_cast<std::size_t>(index)];
        h.born += 1ms;
        h.started = now_.steady;
        h.fence = 0;
        h.until = 0ms;
        h.running.clear();
        h.ended_run.clear();
        h.ended.clear();
        h.ends = 0;
        list();
    }

    void list()
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
        give(current_, listed);
    }

    void set_trouble(int per_cent)
    {
        trouble_ = per_cent;
    }

    // So many of a hundred runs fail, after any time.
    void set_failing(int per_cent)
    {
        failing_ = per_cent;
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

    /// What is not done, for the report of a failure.
    std::string left_over() const
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
                    std::to_string(h.seen_end) + " cursor " +
                    std::to_string(h.ack_cursor) + "\n";
        return text;
    }

private:
    bool has_right(const owner& o) const
    {
        return now_.steady - o.confirmed < lease_terms().right;
    }

    void give(owner& o, const pool_event_body& event)
    {
        if (!o.engine)
            return;
        for (auto& effect : o.engine->apply(event, now_))
            if (!std::holds_alternative<pool_effect::decided>(effect))
                o.orders.push_back(std::move(effect));
    }

    simulated_host& named(const std::string& id)
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

    // No start follows as many failed ends as a task has attempts, where these
    // were acknowledged under a lease that held, be it later.
    void check_attempts(const task_ref& task) const
    {
        std::uint32_t failures = 0;
        for (const auto& failed_end : histories_.at(task))
            if (!failed_end)
                RC_ASSERT(failures < most_attempts);
            else if (noted_failures_.contains(*failed_end))
                ++failures;
    }

    void work(simulated_host& h, milliseconds time)
    {
        std::vector<std::pair<task_ref, run_outcome>> over;
        for (auto& [task, run] : h.running)
        {
            run.left -= time;
            if (h.clock(now_.steady) >= h.until)
                over.emplace_back(task, run_outcome::lapsed);
            else if (run.left <= 0ms)
                over.emplace_back(
                    task, *rc::gen::inRange(0, 100) < failing_
                              ? run_outcome::failed
                              : run_outcome::done);
        }
        for (const auto& [task, outcome] : over)
            end(h, task, outcome);
        if (h.clock(now_.steady) >= h.until)
            // Ends that were not acknowledged before stand for nothing.
            for (const auto& row : h.ended)
                lapsed_ends_.insert({h.id, h.born, row.number});
    }

    start_answer carry_out(
        simulated_host& h, const pool_effect::start& order, std::uint64_t fence,
        host_time until)
    {
        if (fence < h.fence)
            return start_answer::fenced;
        h.fence = fence;
        if (until <= h.clock(now_.steady))
            return start_answer::too_late;
        h.until = std::max(h.until, until);
        const auto found = h.running.find(order.task);
        if (found != h.running.end() && found->second.run == order.run)
            return start_answer::started;
        if (found != h.running.end() || order.run <= h.ended_run[order.task])
            return start_answer::run_too_low;
        RC_ASSERT(!noted_.contains(order.task));
        if (order.task.step == 1)
            for (std::uint32_t i = 0; i < 2; ++i)
                RC_ASSERT(done_.contains({order.task.submission, 0, 0, i}));
        h.running[order.task] = {
            order.run,
            failing_ == 0 ? 800ms : milliseconds(*rc::gen::inRange(1, 800))};
        histories_[order.task].emplace_back();
        check_attempts(order.task);
        return start_answer::started;
    }

    bool carry_out(
        simulated_host& h, const pool_effect::stop& order, std::uint64_t fence)
    {
        if (fence < h.fence)
            return false;
        h.fence = fence;
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

    bool troubled()
    {
        return *rc::gen::inRange(0, 100) < trouble_;
    }

    boot_time some_time_later()
    {
        return now_.steady + milliseconds(*rc::gen::inRange<int>(
                                 0, static_cast<int>(latest_order.count())));
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
        auto& h = named(order.host);
        pool_event::start_answered answered{order.host,
                                            order.born,
                                            order.task,
                                            order.run,
                                            start_answer::refused,
                                            {}};
        const auto until = o.engine->is_wanted(order)
                               ? o.engine->extend_lease(order.host, now_)
                               : std::nullopt;
        if (until && h.reachable && !troubled())
        {
            answered.answer = carry_out(h, order, o.epoch, *until);
            answered.clock = h.clock(now_.steady);
        }
        else if (until)
        {
            answered.answer = start_answer::unknown;
            if (h.reachable)
                late_.push_back(
                    {some_time_later(),
                     h.id,
                     h.born,
                     o.epoch,
                     *until,
                     order,
                     {}});
        }
        give(o, answered);
    }

    void send(owner& o, const pool_effect::stop& order)
    {
        auto& h = named(order.host);
        bool taken = false;
        if (h.reachable && !troubled())
            taken = carry_out(h, order, o.epoch);
        else if (h.reachable)
            late_.push_back(
                {some_time_later(), h.id, h.born, o.epoch, 0ms, {}, order});
        give(
            o, pool_event::stop_answered{
                   order.host, order.born, order.task, order.run, taken});
    }

    void carry_out_late_orders()
    {
        const auto due = std::ranges::partition(
            late_, [&](const late_order& o) { return o.at > now_.steady; });
        const std::vector<late_order> orders(due.begin(), due.end());
        late_.erase(due.begin(), due.end());
        for (const auto& order : orders)
        {
            auto& h = named(order.host);
            if (h.born != order.born)
                continue;
            if (order.start)
                carry_out(h, *order.start, order.fence, order.until);
            else
                carry_out(h, *order.stop, order.fence);
        }
    }

    void hold_from(owner& o, simulated_host& h)
    {
        const auto known = o.engine->hosts().find(h.id);
        if (known == o.engine->hosts().end() || !h.reachable ||
            o.epoch < h.fence)
            return;
        h.fence = o.epoch;
        const auto until = o.engine->extend_lease(h.id, now_);
        if (until)
            h.until = std::max(h.until, *until);
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
                    noted_.insert(row.task);
                if (row.outcome != run_outcome::failed)
                    continue;
                noted_failures_.insert(key);
                check_attempts(row.task);
            }
        hold_report report;
        report.clock = h.clock(now_.steady);
        report.born = h.born;
        for (const auto& [task, run] : h.running)
            report.running.push_back({task, run.run, {}, 50, 0});
        report.ended.assign(h.ended.begin(), h.ended.end());
        give(
            o, pool_event::host_held{
                   h.id, known->second.entry.born, now_.steady,
                   std::move(report)});
    }

    // No task runs on two hosts at once.
    void check_single_runs() const
    {
        std::map<task_ref, int> runs;
        for (const auto& h : hosts_)
            for (const auto& [task, run] : h.running)
                RC_ASSERT(++runs[task] == 1);
    }

    moment now_{boot_time(1h), wall_time(1h)};
    std::vector<simulated_host> hosts_;
    std::vector<late_order> late_;
    owner current_;
    owner past_;
    std::uint64_t epochs_ = 0;
    bool store_up_ = true;
    int trouble_ = 0;
    int failing_ = 0;
    std::map<std::string, std::string> stored_hosts_;
    std::map<std::uint64_t, std::string> stored_submissions_;
    std::map<std::uint64_t, std::string> stored_progress_;
    std::set<task_ref> done_;
    /// Tasks whose end as done was acknowledged under a lease that held.
    std::set<task_ref> noted_;
    /// An end by its host, the host's life, and its number there.
    using host_end = std::tuple<std::string, milliseconds, std::uint64_t>;
    std::set<host_end> lapsed_ends_;
    /// The starts (nothing) and failed ends of each task, in their order.
    std::map<task_ref, std::vector<std::optional<host_end>>> histories_;
    /// Failed ends that were acknowledged under a lease that held.
    std::set<host_end> noted_failures_;
};

void trouble_step(world& w)
{
    switch (*rc::gen::inRange(0, 12))
    {
    case 0:
        w.take_over(false);
        break;
    case 1:
        w.take_over(true);
        break;
    case 2:
        w.hand_over();
        break;
    case 3:
        w.set_reachable(*rc::gen::inRange(0, host_count), false);
        break;
    case 4:
    case 5:
        w.set_reachable(*rc::gen::inRange(0, host_count), true);
        break;
    case 6:
        w.restart_host(*rc::gen::inRange(0, host_count));
        break;
    case 7:
        w.set_store(false);
        break;
    case 8:
    case 9:
        w.set_store(true);
        break;
    default:
        break;
    }
}

void calm_step(world& w)
{
    for (int i = 0; i < host_count; ++i)
        w.hold(i);
    w.act();
    w.pass(100ms);
}

// Submits, then passes through trouble, then through calm until every
// submission has ended in one of the phases.
void play(world& w, const std::set<submission_phase>& phases)
{
    w.set_trouble(*rc::gen::inRange(0, 40));
    for (std::uint64_t id = 1; id <= submission_count; ++id)
        w.submit(id);
    w.store();
    const auto steps = *rc::gen::inRange(10, 80);
    for (int i = 0; i < steps; ++i)
    {
        trouble_step(w);
        for (int j = 0; j < host_count; ++j)
            if (*rc::gen::inRange(0, 3) > 0)
                w.hold(j);
        w.act();
        w.pass(milliseconds(*rc::gen::inRange(50, 700)));
    }
    w.set_trouble(0);
    w.set_store(true);
    for (int i = 0; i < host_count; ++i)
        w.set_reachable(i, true);
    for (int i = 0; i < 400 && !w.all_ended(phases); ++i)
        calm_step(w);
    if (!w.all_ended(phases))
        RC_FAIL(w.left_over());
}

} // namespace

RC_GTEST_PROP(ownership, no_task_runs_twice_and_none_is_lost, ())
{
    world w;
    play(w, {submission_phase::completed});
}

RC_GTEST_PROP(ownership, every_failed_end_that_is_acknowledged_counts_once, ())
{
    world w;
    w.set_failing(*rc::gen::inRange(50, 101));
    play(w, {submission_phase::completed, submission_phase::failed});
}

} // namespace dandeliontack
