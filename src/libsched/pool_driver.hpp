#pragma once

#include <dandeliontack/pool_engine.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace dandeliontack::test
{

using namespace std::chrono_literals;

inline constexpr std::uint64_t submission_id = 0x11;

/// Drives an engine in tests: provides the clock and simulates hosts and the
/// store.
class pool_driver
{
public:
    explicit pool_driver(std::uint64_t epoch = 1, pool_terms terms = {})
        : engine(terms, epoch)
    {}

    void advance(std::chrono::milliseconds by)
    {
        now.steady += by;
        now.wall += by;
    }

    pool_effects apply(const pool_event_body& event)
    {
        auto effects = engine.apply(event, now);
        std::ranges::copy(effects, std::back_inserter(all_effects));
        return effects;
    }

    pool_effects tick()
    {
        return apply(pool_event::tick{});
    }

    /// Takes the pending changes and acknowledges them as stored.
    pool_changes store()
    {
        auto changes = engine.take_changes();
        apply(pool_event::batch_stored{changes.batch});
        return changes;
    }

    static host_entry host(const std::string& id)
    {
        host_entry entry;
        entry.id = id;
        entry.born = 1ms;
        entry.address = "127.0.0.1:1";
        entry.pool = "pool";
        entry.capacity = {16'000, 32'000, 0};
        return entry;
    }

    void list_hosts(const std::vector<std::string>& ids)
    {
        pool_event::hosts_listed listed;
        for (const auto& id : ids)
            listed.entries.push_back(host(id));
        apply(listed);
    }

    void begin()
    {
        begun_ = true;
        engine.begin(now);
    }

    /// The host answers a hold call and then receives a new lease.
    pool_effects hold(
        const std::string& id, std::vector<running_row> running = {},
        std::vector<ended_row> ended = {})
    {
        host_report report;
        report.clock = now.steady.time_since_epoch();
        report.running = std::move(running);
        report.ended = std::move(ended);
        auto effects = apply(
            pool_event::host_reported{id, 1ms, now.steady, std::move(report)});
        engine.extend_lease(id, now);
        return effects;
    }

    /// The host answers a hold call with a part of its list of ends.
    pool_effects
    hold_cut(const std::string& id, std::vector<ended_row> first_ends)
    {
        host_report report;
        report.clock = now.steady.time_since_epoch();
        report.ended = std::move(first_ends);
        report.ends_complete = false;
        auto effects = apply(
            pool_event::host_reported{id, 1ms, now.steady, std::move(report)});
        engine.extend_lease(id, now);
        return effects;
    }

    /// Lists the hosts, stores their `host_use` records, and has each host
    /// answer once.
    void connect_hosts(const std::vector<std::string>& ids)
    {
        if (!begun_)
            begin();
        list_hosts(ids);
        store();
        for (const auto& id : ids)
            hold(id);
    }

    static submission_record
    make_submission(std::uint32_t count, std::uint64_t id = submission_id)
    {
        submission_record out;
        out.id = id;
        out.terms.route = "route";
        out.terms.pool = "pool";
        out.terms.max_attempts = 3;
        out.terms.stretch = 2;
        out.terms.target = 600ms;
        step_spec step;
        step.count = count;
        step.need = {1000, 1000, 0};
        step.estimate = 1000ms;
        out.spec.steps.push_back(step);
        return out;
    }

    void submit(const submission_record& submission)
    {
        apply(pool_event::submitted{submission});
        store();
    }

    void restore(const submission_record& submission)
    {
        engine.restore(submission, now, [](submission_state&) {});
    }

    void restore_host(const std::string& id)
    {
        engine.restore_host({id, 1ms, "pool", "127.0.0.1:1", false, {}}, now);
    }

    /// Restores a host that a previous owner closed, with the tasks that may
    /// run there.
    void restore_closed_host(const std::string& id, std::vector<task_ref> tasks)
    {
        engine.restore_host(
            {id, 1ms, "pool", "127.0.0.1:1", true, std::move(tasks)}, now);
    }

    /// Selects the effects of one type.
    template <class Effect>
    static std::vector<Effect> effects_of(const pool_effects& effects)
    {
        std::vector<Effect> out;
        for (const auto& effect : effects)
            if (const auto* found = std::get_if<Effect>(&effect))
                out.push_back(*found);
        return out;
    }

    /// Answers every start order as started.
    void answer_starts(const pool_effects& effects)
    {
        for (const auto& order : effects_of<pool_effect::start>(effects))
            apply(pool_event::start_answered{
                order.host, order.born, order.task, order.run,
                start_answer::started, now.steady.time_since_epoch()});
    }

    pool_engine engine;
    moment now{boot_time(1h), wall_time(1h)};
    pool_effects all_effects;

private:
    bool begun_ = false;
};

inline task_ref task(std::uint32_t index, std::uint32_t step = 0)
{
    return {submission_id, 0, step, index};
}

inline running_row
running_run(std::uint32_t index, std::uint32_t run, std::uint32_t percent = 100)
{
    return {task(index), run, {}, percent, 0};
}

inline ended_row ended_run(
    std::uint64_t number, std::uint32_t index, std::uint32_t run,
    run_outcome outcome)
{
    return {number, task(index), run, outcome, {}};
}

} // namespace dandeliontack::test
