#pragma once

#include "job_hosts.hpp"
#include <dandeliontack/job_placement.hpp>
#include <dandeliontack/reducer.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace dandeliontack::job_driver
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// What a job is like in truth, whatever it declares.
struct true_job
{
    job_size size{1, 1, 0};
    milliseconds run_time = seconds(5);
    bool fails = false;
};

/// Drives the reducer and the planner as a leader and the platform's workers
/// would, on a clock of its own. For tests and benchmarks only.
class driver
{
public:
    explicit driver(const placement_strategy& strategy = learned_placement)
        : s(led_state()), strategy_(strategy)
    {}

    /// A state in which the driver's writer leads.
    static state led_state()
    {
        state led;
        led.membership.term = {1, {1, 1}, 0};
        return led;
    }

    state s;
    std::vector<event> history;
    std::map<std::string, true_job> truth;
    /// Hosts that fail everything they start.
    std::set<std::string> bad_hosts;
    /// When each job started first.
    std::map<std::string, milliseconds> started;
    milliseconds now{0};
    std::size_t last_proposals = 0;

    void publish(config_event change)
    {
        apply(log_stream::operators, operators_offset_++, std::move(change));
    }

    void publish(const std::string& job, bool cancelled)
    {
        const auto known = s.config.jobs.at(job);
        auto config = known.config;
        config.cancelled = cancelled;
        publish(job_published{"driver", known.revision, config});
    }

    /// Appends a record to the system's stream and applies it; its commands
    /// reach the platform at once.
    effects append(event_body body)
    {
        return apply(log_stream::system, system_offset_++, std::move(body));
    }

    /// Applies a record a second time, as a resend whose answer was lost does.
    void resend(std::size_t index)
    {
        auto copy = history.at(index % history.size());
        copy.origin.offset = copy.origin.stream == log_stream::operators
                                 ? operators_offset_++
                                 : system_offset_++;
        history.push_back(copy);
        s = reduce(std::move(s), copy).next;
    }

    void add_host(const std::string& name, const job_size& size)
    {
        append(fleet_event{host_observed{
            name, listing::live, "dc", "rack", size.processors, size.memory_mb,
            size.accelerators}});
    }

    /// Lets the platform work for a while, then plans once.
    void step(milliseconds time)
    {
        now += time;
        run_platform(time);
        const auto proposals = plan();
        last_proposals = proposals.size();
        for (const auto& proposal : proposals)
            append(proposal);
    }

    std::vector<event_body> plan() const
    {
        const std::vector<listed_host> listed;
        const planning_input input{
            std::chrono::sys_time<milliseconds>(now), listed};
        return plan_jobs(s, input, strategy_);
    }

    /// Whether each accepted job is finished, cancelled or reported.
    bool settled() const
    {
        return std::ranges::all_of(s.config.jobs, [&](const auto& item) {
            const auto phase = phase_of(s, item.first);
            return phase == job_phase::finished ||
                   phase == job_phase::unrunnable ||
                   phase == job_phase::cancelled;
        });
    }

private:
    struct run
    {
        std::uint64_t lease = 0;
        std::string host;
        milliseconds begin{0};
        milliseconds reported{0};
        bool throttled = false;
        job_action ending = job_action::start;
        milliseconds end{0};
    };

    static constexpr milliseconds checkpoint_time{800};
    static constexpr milliseconds report_interval{1000};

    effects apply(log_stream stream, std::uint64_t offset, event_body body)
    {
        // The driver's clock begins at 0, so does that of its records.
        history.push_back(
            {{stream, offset, {1, 1}, ++sequence_, 1},
             std::chrono::sys_time<milliseconds>(now),
             std::move(body)});
        auto result = reduce(std::move(s), history.back());
        s = std::move(result.next);
        for (const auto& item : result.todo)
            if (const auto* domain = std::get_if<job_effect>(&item))
                if (const auto* todo = std::get_if<job_command>(domain))
                    take(*todo);
        return std::move(result.todo);
    }

    void take(const job_command& todo)
    {
        if (todo.action == job_action::start)
        {
            runs_[todo.job] = {todo.lease, todo.host, now, now};
            return;
        }
        const auto found = runs_.find(todo.job);
        if (found == runs_.end() || found->second.lease != todo.lease)
            return;
        auto& one = found->second;
        if (todo.action == job_action::throttle)
        {
            one.throttled = true;
            return;
        }
        one.ending = todo.action;
        one.end = todo.action == job_action::stop ? now : now + checkpoint_time;
    }

    void run_platform(milliseconds time)
    {
        const auto runs = runs_;
        for (const auto& [name, one] : runs)
        {
            const auto phase = s.jobs.jobs.at(name).phase;
            if (phase == job_phase::placed)
            {
                append(job_event{job_started{name, one.lease}});
                started.try_emplace(name, now);
            }
            advance(name, one, time);
        }
    }

    void advance(const std::string& name, const run& one, milliseconds time)
    {
        const auto& job = truth[name];
        if (job.fails || bad_hosts.contains(one.host))
            return end(name, job_failed{name, one.lease});
        if (one.ending == job_action::stop)
            return end(name, job_stopped{name, one.lease});
        if (one.ending == job_action::checkpoint && now >= one.end)
            return end(name, job_checkpointed{name, one.lease});
        progress_[name] += one.throttled ? time / 2 : time;
        if (now - one.reported >= report_interval ||
            progress_[name] >= job.run_time)
            report(name, one);
        if (progress_[name] >= job.run_time)
            end(name, job_finished{name, one.lease});
    }

    void report(const std::string& name, const run& one)
    {
        auto usage = truth[name].size;
        const auto& held = s.jobs.jobs.at(name).held;
        if (one.throttled)
            usage.processors = std::min(usage.processors, held.processors);
        append(job_event{job_reported{name, one.lease, usage}});
        runs_.at(name).reported = now;
    }

    void end(const std::string& name, job_event e)
    {
        if (std::holds_alternative<job_stopped>(e))
            progress_[name] = milliseconds(0);
        runs_.erase(name);
        append(std::move(e));
    }

    const placement_strategy& strategy_;
    std::uint64_t operators_offset_ = 0;
    std::uint64_t system_offset_ = 1;
    std::uint64_t sequence_ = 0;
    std::map<std::string, run> runs_;
    std::map<std::string, milliseconds> progress_;
};

/// Adds a pool of hosts of one size, named NAME-0 and so on.
inline void add_pool(
    driver& d, const std::string& name, std::size_t hosts, const job_size& size,
    std::uint64_t budget_hosts = 0)
{
    pool_config pool;
    pool.name = name;
    pool.budget_hosts = budget_hosts;
    for (std::size_t i = 0; i < hosts; ++i)
        pool.hosts.push_back(name + "-" + std::to_string(i));
    d.publish(pool_published{"driver", 0, pool});
    for (const auto& host : pool.hosts)
        d.add_host(host, size);
}

inline void add_team(driver& d, const std::string& name, const job_size& quota)
{
    d.publish(team_published{
        "driver",
        0,
        {name, quota.processors, quota.memory_mb, quota.accelerators}});
}

/// Publishes a job that uses what it declares, unless `truth` says otherwise.
inline job_config
add_job(driver& d, job_config config, milliseconds run_time = seconds(5))
{
    if (config.kind.empty())
        config.kind = "kind";
    d.truth.try_emplace(config.name, true_job{declared_size(config), run_time});
    d.publish(job_published{"driver", 0, config});
    return config;
}

} // namespace dandeliontack::job_driver
