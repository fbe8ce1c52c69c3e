#pragma once

#include <dandeliontack/arrival_rate.hpp>
#include <dandeliontack/pool_demand.hpp>
#include <dandeliontack/pool_state.hpp>

#include <functional>

namespace dandeliontack
{

/// Bounds that the engine decides by; defaults are this project's own, the
/// node overwrites those that the deployment states.
struct pool_terms
{
    lease_terms leases;
    /// The longest that a stop takes on a host.
    std::chrono::milliseconds stop_bound{1000};
    /// The longest lease that a host grants.
    std::chrono::milliseconds longest_hold{10'000};
    /// How long a finished submission stays known.
    std::chrono::milliseconds keep_finished{180'000};
};

/// What a caller may be told about a submission.
struct submission_view
{
    submission_phase phase = submission_phase::queued;
    /// The batch after which this owner may speak of it; 0 for at once.
    std::uint64_t after_batch = 0;
};

/// The reducer of one shard of pools: takes events, keeps the state of its
/// submissions, tasks and hosts, and returns what is to be done as data. It
/// does no I/O and reads no clock. Not safe for several threads.
class pool_engine
{
public:
    /// `epoch` is the owner's; epochs of one shard rise.
    pool_engine(pool_terms terms, std::uint64_t epoch);

    /// Takes over a stored submission. Its tasks may run anywhere until
    /// `begin` has met the hosts. `progress` fills what is stored of tasks.
    void restore(
        submission_record record, moment now,
        const std::function<void(submission_state&)>& progress);
    void restore_finished(
        std::uint64_t submission, submission_phase phase, moment now);
    void restore_host(const host_use& use, moment now);
    /// Ends the restoring; the owner's right begins.
    void begin(moment now);

    pool_effects apply(const pool_event_body& event, moment now);

    /// Records of every host what may run there; nothing is started any more.
    /// A successor then need not wait for hosts that it can't reach.
    void close_hosts();
    /// What is to be stored of a host now.
    host_use use_of(const host_state& h) const;

    /// Everything that changed since the last call, numbered as a batch.
    pool_changes take_changes();
    bool has_changes() const;

    std::optional<submission_view> find(std::uint64_t submission) const;
    const submission_state* state_of(std::uint64_t submission) const;
    std::optional<submission_phase> finished_phase(std::uint64_t id) const;
    /// Accepted submissions of a route of which no task has started.
    std::size_t pending(const std::string& route) const;

    const std::map<std::string, host_state>& hosts() const;
    /// The end of a lease that a call sent now may carry. A host that has
    /// fallen silent gets none, so that what it runs can be given up.
    std::optional<host_time> extend_lease(const std::string& host, moment now);
    /// Whether the run is still the one that is to be started there.
    bool is_wanted(const pool_effect::start& order) const;
    /// Whether nothing of this shard can run on the host.
    bool is_empty(const std::string& host, moment now) const;
    /// Hosts that a past owner used and that have not answered yet.
    std::vector<std::string> unmet_hosts() const;
    /// Whether tasks of before the takeover are still held back.
    bool is_settling() const;
    /// What each pool of the shard needs and has.
    std::vector<pool_demand> demands(moment now) const;
    std::size_t active() const;
    std::size_t waiting_tasks() const;

private:
    friend class pool_planner;

    struct finished
    {
        submission_phase phase;
        boot_time since;
    };

    void on(const pool_event::submitted& e);
    void on(const pool_event::cancelled& e);
    void on(const pool_event::hosts_listed& e);
    void on(const pool_event::host_held& e);
    void on(const pool_event::host_life_ended& e);
    void on(const pool_event::start_answered& e);
    void on(const pool_event::stop_answered& e);
    void on(const pool_event::advice_answered& e);
    void on(const pool_event::batch_stored& e);
    void on(const pool_event::evacuation_wanted& e);
    void on(const pool_event::lending_wanted& e);
    void on(const pool_event::tick& e);

    void open_occurrences(submission_state& s);
    /// Whether the end has to be stored.
    bool take_end(host_state& h, const ended_row& row);
    bool end_current(
        host_state& h, submission_state& s, task_state& t,
        const ended_row& row);
    bool end_other(
        host_state& h, submission_state& s, task_state& t,
        const ended_row& row);
    std::map<task_ref, host_run>::iterator
    hold_run(host_state& h, const running_row& row, const step_spec* step);
    void
    take_running(host_state& h, const running_row& row, host_time reported);
    void find_missing(host_state& h, const pool_event::host_held& e);
    void advance_cursor(host_state& h);
    void release(host_state& h, const task_ref& task, std::string_view reason);
    void release_all(host_state& h, std::string_view reason);
    void forget_run(host_state& h, const task_ref& task);
    void
    order_stop(host_state& h, const task_ref& task, std::string_view reason);
    void settle_recorded(submission_state& s, std::uint64_t batch);
    void finish(submission_state& s, submission_phase phase);
    void stop_everything(submission_state& s, std::string_view reason);
    void blame(
        host_state& h, const task_ref& task,
        const std::set<std::string>& failed_on);
    void clear_of(host_state& h, std::uint64_t submission);
    void begin_life(host_state& h, std::chrono::milliseconds born);
    void check_host(host_state& h);
    void check_runs(host_state& h);
    void evacuate(host_state& h);
    void pace_fillers(host_state& h);
    void met(const std::string& host);
    void check_bar();
    void let_go_inherited();
    void close_host(host_state& h, bool closed);
    /// Whether every step that this one follows is done.
    static bool is_ready(
        const submission_state& s, const occurrence_state& o,
        std::uint32_t step);
    /// The learned ratio of run times to estimates of a submission's route.
    double estimate_factor(const submission_state& s) const;
    /// Submissions with the number of an occurrence.
    using occurrence_set = std::set<std::pair<std::uint64_t, std::uint32_t>>;
    static bool count_running(
        const host_state& h, const room& host, const occurrence_set& late,
        pool_demand& demand);
    void count_waiting(
        const submission_state& s, const room& host, occurrence_set& late,
        pool_demand& demand, boot_time now) const;
    room typical_host(const std::string& pool) const;
    void count_arrival(const submission_record& record);
    bool is_at_work(const task_state& t) const;
    bool may_take_away(const task_ref& task) const;
    bool has_place_elsewhere(
        const host_state& from, const task_ref& task,
        const step_spec& spec) const;
    /// Whether the host may get new tasks at all.
    bool is_eligible(const host_state& h) const;
    /// Whether a task of the step fits the host, its labels and its spread.
    bool has_room_for(
        const host_state& h, const task_ref& step, const step_spec& spec) const;
    void note_progress(std::uint64_t submission);
    submission_state* active_submission(std::uint64_t id);
    task_state* find_task(const task_ref& task);
    const step_spec* spec_of(const task_ref& task) const;
    std::uint32_t next_run(const task_ref& task, const task_state& t) const;
    void
    say(std::string_view name, const task_ref& task, std::uint32_t run,
        const std::string& host, std::string reason = {});

    pool_terms terms_;
    std::map<std::uint64_t, submission_state> active_;
    std::map<std::uint64_t, finished> finished_;
    std::map<std::string, host_state> hosts_;
    pool_changes changes_;
    std::uint64_t next_batch_ = 1;
    std::map<std::uint64_t, std::set<std::uint64_t>> recording_;
    /// Work that arrives, in host milliseconds, by pool.
    std::map<std::string, arrival_rate> arrivals_;
    /// Hosts that are to stay empty, also those that aren't listed yet.
    std::map<std::string, boot_time> evacuations_;
    /// Learned ratio of run time to estimate, by route.
    std::map<std::string, double> estimate_factor_;
    /// Hosts that a past owner used and that have not answered this one:
    /// those on which anything may run, and those with a list of it.
    std::set<std::string> unmet_hosts_;
    std::map<std::string, std::set<task_ref>> unmet_closed_;
    boot_time bar_until_;
    bool settling_ = false;
    /// When every host without a list had answered.
    std::optional<boot_time> settled_at_;
    std::uint64_t epoch_;

    moment now_;
    pool_effects effects_;
};

} // namespace dandeliontack
