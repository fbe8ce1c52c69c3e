#pragma once

#include "pool_driver.hpp"

namespace dandeliontack::test
{

/// A pool in virtual time: an engine, and hosts that run each task for its true
/// run time, whatever was estimated.
class simulated_pool
{
public:
    static constexpr auto round = 20ms;

    explicit simulated_pool(
        std::size_t hosts, pool_terms terms = {},
        resources capacity = {16'000, 32'000, 0})
        : capacity_(capacity), driver_(1, terms)
    {
        for (std::size_t i = 0; i < hosts; ++i)
            hosts_["host-" + std::to_string(i)];
        driver_.begin();
        list_hosts();
        driver_.store();
        report();
    }

    /// A submission of one step.
    std::uint64_t submit(
        const resources& need, std::uint32_t count,
        std::chrono::milliseconds run_time, double estimate_factor = 1,
        bool gang = false)
    {
        auto record = pool_driver::make_submission(count, next_id_++);
        auto& step = record.spec.steps.front();
        step.need = need;
        step.gang = gang;
        step.estimate = std::chrono::round<std::chrono::milliseconds>(
            run_time * estimate_factor);
        run_times_[record.id] = run_time;
        submitted_[record.id] = driver_.now.steady;
        driver_.apply(pool_event::submitted{record});
        driver_.store();
        return record.id;
    }

    /// Lets a round's time pass, and the hosts report.
    void advance()
    {
        driver_.advance(round);
        report();
        driver_.store();
    }

    /// A planning round.
    void plan()
    {
        carry_out(driver_.tick());
    }

    void run()
    {
        advance();
        plan();
    }

    void remove_host(const std::string& id)
    {
        hosts_.erase(id);
        list_hosts();
    }

    /// How long the last task of the submission has waited for its start.
    std::optional<std::chrono::milliseconds> wait_of(std::uint64_t id) const
    {
        const auto found = started_.find(id);
        if (found == started_.end())
            return std::nullopt;
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            found->second - submitted_.at(id));
    }

    /// Whether any host has ever run more than it has capacity for.
    bool was_overfull() const
    {
        return was_overfull_;
    }

    resources used(const std::string& id) const
    {
        resources sum;
        for (const auto& [task, run] : hosts_.at(id).runs)
            sum = sum + run.need;
        return sum;
    }

    std::size_t decisions(std::string_view name) const
    {
        return static_cast<std::size_t>(std::ranges::count(
            pool_driver::effects_of<pool_effect::decision>(driver_.all_effects),
            name, &pool_effect::decision::name));
    }

    pool_driver& driver()
    {
        return driver_;
    }
    const pool_driver& driver() const
    {
        return driver_;
    }

private:
    struct simulated_run
    {
        std::uint32_t run = 0;
        resources need;
        boot_time end;
    };
    struct simulated_host
    {
        std::map<task_ref, simulated_run> runs;
        std::uint64_t ends = 0;
    };

    void list_hosts()
    {
        pool_event::hosts_listed listed;
        for (const auto& [id, h] : hosts_)
        {
            listed.entries.push_back(pool_driver::host(id));
            listed.entries.back().capacity = capacity_;
        }
        driver_.apply(listed);
    }

    void report()
    {
        for (auto& [id, h] : hosts_)
        {
            std::vector<running_row> running;
            std::vector<ended_row> ended;
            for (const auto& [task, run] : h.runs)
                if (run.end <= driver_.now.steady)
                    ended.push_back(
                        {++h.ends, task, run.run, run_outcome::done, {}});
                else
                    running.push_back({task, run.run, {}, ++percent_ % 100, 0});
            for (const auto& row : ended)
                h.runs.erase(row.task);
            driver_.hold(id, std::move(running), std::move(ended));
        }
    }

    void carry_out(const pool_effects& effects)
    {
        for (const auto& start :
             pool_driver::effects_of<pool_effect::start>(effects))
        {
            const auto id = start.task.submission;
            const auto* s = driver_.engine.state_of(id);
            hosts_[start.host].runs[start.task] = {
                start.run, s->record.spec.steps[start.task.step].need,
                driver_.now.steady + run_times_.at(id)};
            started_[id] = driver_.now.steady;
            was_overfull_ = was_overfull_ || !fits(used(start.host), capacity_);
        }
        driver_.answer_starts(effects);
    }

    resources capacity_;
    pool_driver driver_;
    std::map<std::string, simulated_host> hosts_;
    std::map<std::uint64_t, std::chrono::milliseconds> run_times_;
    std::map<std::uint64_t, boot_time> submitted_;
    /// The newest start of a task, by submission.
    std::map<std::uint64_t, boot_time> started_;
    std::uint64_t next_id_ = 1;
    std::uint32_t percent_ = 0;
    bool was_overfull_ = false;
};

} // namespace dandeliontack::test
