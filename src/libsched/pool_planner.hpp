#pragma once

#include "host_outlook.hpp"
#include "unfit_needs.hpp"
#include <dandeliontack/pool_engine.hpp>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace dandeliontack
{

/// Selects the waiting tasks that start in this scheduling round and their
/// hosts. Load pattern: each pool in turn receives several times its capacity
/// for some seconds, so the order of candidates decides which submissions miss
/// their objective.
class pool_planner
{
public:
    explicit pool_planner(pool_engine& engine);

    void plan();

private:
    /// A step of an occurrence that has tasks ready to start.
    struct candidate
    {
        submission_state* submission = nullptr;
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        /// Sort key, in this order of significance; lower values start first.
        int rank = 0;
        std::uint32_t priority = 0;
        double order_key = 0;
        /// Only with look-ahead: how long its start may be delayed before the
        /// submission has no value; no bound if it has none.
        std::optional<std::chrono::milliseconds> slack;

        step_urgency urgency() const;
        task_ref first_task() const
        {
            return {submission->record.id, occurrence, step, 0};
        }
        const step_spec& spec() const
        {
            return submission->record.spec.steps[step];
        }
        step_state& state() const
        {
            return submission->occurrences.at(occurrence).steps[step];
        }
    };

    void collect_hosts();
    std::vector<candidate> collect_candidates();
    candidate make_candidate(
        submission_state& s, std::uint32_t occurrence, std::uint32_t step);
    bool may_start(const task_state& t) const;
    void place(const candidate& c);
    void place_by_shares(const std::vector<candidate>& candidates);
    /// Places candidates of the same rank and priority.
    void place_band(std::span<const candidate> candidates);
    /// Notes that a candidate which can still be of use found no room.
    void note_full(const candidate& c);
    void note_room();
    void place_tasks(const candidate& c);
    void place_gang(const candidate& c);
    host_state* best_host(
        const candidate& c, const step_spec& spec, const task_state& t,
        const std::string& rack);
    /// Notes a need that no host of the pool has room for in this round.
    void note_unfit(const std::string& pool, const resources& need);
    /// Whether a task of the step may start on the host, advice aside.
    bool has_room(
        const host_state& h, const candidate& c, const step_spec& spec) const;
    bool can_place(
        const host_state& h, const candidate& c, const step_spec& spec) const;
    double cost_of(
        const host_state& h, const step_spec& spec, const task_state& t,
        const std::string& rack) const;
    void start(
        const candidate& c, std::uint32_t index, host_state& h,
        std::uint32_t run);
    /// Whether the advice lets a task of the step start on the host.
    bool is_granted(const host_state& h, const candidate& c) const;
    /// How many tasks of the step the host has room for, at most `most`.
    std::uint32_t room_for(
        const host_state& h, const candidate& c, const step_spec& spec,
        std::uint32_t most) const;
    /// Requests advice on hosts with room that the service has not been asked
    /// about, if tasks of the step could start there and the hosts that are
    /// granted have no room for them.
    void request_advice(const candidate& c);
    /// Whether the granted hosts have room for `tasks` of the step's tasks.
    bool has_granted_room(const candidate& c, std::uint32_t tasks) const;
    /// The rack of a host that a task of the step is assigned to; empty if
    /// there is none.
    std::string rack_in_use(const candidate& c) const;

    // Look-ahead, in pool_look_ahead.cpp.
    /// Ends the reservations of earlier rounds that can no longer be met, and
    /// prepares the outlook of the hosts of the others.
    void review_reservations(const std::vector<candidate>& candidates);
    /// Reserves hosts for large tasks and gangs that found no room.
    void reserve_hosts(const std::vector<candidate>& candidates);
    void reserve_hosts_in(
        const std::vector<host_state*>& hosts,
        const std::vector<candidate>& candidates);
    /// The steps of the pool that hosts are sought for in this round.
    std::vector<const candidate*> steps_to_reserve_for(
        const std::vector<host_state*>& hosts,
        const std::vector<candidate>& candidates) const;
    reservation_request request_for(const candidate& c) const;
    std::uint32_t waiting_tasks(const candidate& c) const;
    /// Whether the host may run tasks of the step, room aside.
    bool may_reserve(const host_state& h, const candidate& c) const;
    /// Whether a task of the step may start on the host without delaying
    /// what is reserved.
    bool respects_reservation(
        const host_state& h, const candidate& c, const step_spec& spec) const;
    bool is_reserved_for(const host_state& h, const candidate& c) const;
    void note_start(const host_state& h, const candidate& c);
    host_outlook outlook_of(const host_state& h) const;
    /// How long a task of the step is expected to run.
    std::chrono::milliseconds
    run_time_of(const submission_state& s, const step_spec& spec) const;
    /// Selects the resource of each pool by which tasks are packed.
    void find_scarcer_resources();

    pool_engine& engine_;
    moment now_;
    /// How many more starts each eligible host may get before it has answered
    /// some of those that were ordered.
    std::map<const host_state*, std::size_t> starts_left_;
    /// Eligible hosts by pool.
    std::map<std::string, std::vector<host_state*>> hosts_;
    /// Pools in which tasks that can still be of use wait for room.
    std::set<std::string> full_;
    /// Moving average of the work of a submission, in core milliseconds, by
    /// queue.
    std::map<std::string, double> mean_work_;
    /// By pool.
    std::map<std::string, unfit_needs> unfit_;
    /// Of the hosts that are reserved.
    std::map<const host_state*, host_outlook> outlooks_;
    /// By pool; cores if there is none.
    std::map<std::string, std::int64_t resources::*> scarcer_;
};

/// The largest of a task's shares of a host's cores, memory and accelerators.
double share_of(const resources& need, const resources& host);
/// The resources that a task reserves on its host. A best-effort task reserves
/// memory and accelerators, but no cores.
resources reserved_resources(const step_spec& step);

} // namespace dandeliontack
