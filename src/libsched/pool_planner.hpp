#pragma once

#include <dandeliontack/pool_engine.hpp>

#include <map>
#include <string>
#include <vector>

namespace dandeliontack
{

/// Decides which waiting tasks start now, and where. Pattern of load: each
/// pool in turn gets several times what it can run for some seconds, so the
/// order says what is served late and what is not.
class pool_planner
{
public:
    explicit pool_planner(pool_engine& engine);

    void plan();

private:
    /// A step of an occurrence with waiting tasks whose turn has come.
    struct candidate
    {
        submission_state* submission = nullptr;
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        /// Compared in this order; smaller goes first.
        int rank = 0;
        std::uint32_t priority = 0;
        double key = 0;
    };

    void collect_hosts();
    std::vector<candidate> collect_candidates();
    candidate
    ranked(submission_state& s, std::uint32_t occurrence, std::uint32_t step);
    bool may_start(const task_state& t) const;
    void place_tasks(const candidate& c);
    void place_gang(const candidate& c);
    host_state* best_host(
        const candidate& c, const step_spec& spec, const task_state& t,
        const std::string& rack);
    bool
    takes(const host_state& h, const candidate& c, const step_spec& spec) const;
    double cost_of(
        const host_state& h, const step_spec& spec, const task_state& t,
        const std::string& rack) const;
    void start(
        const candidate& c, std::uint32_t index, host_state& h,
        std::uint32_t run);
    bool has_advice(const candidate& c);
    std::string rack_in_use(const candidate& c) const;

    pool_engine& engine_;
    moment now_;
    std::map<std::string, std::vector<host_state*>> hosts_;
    std::map<std::string, double> mean_work_;
};

/// The room that a task takes of what a host's other tasks may use.
room counted_room(const step_spec& step);

} // namespace dandeliontack
