#pragma once

#include <dandeliontack/account_shares.hpp>
#include <dandeliontack/arrival_rate.hpp>
#include <dandeliontack/pool_demand.hpp>
#include <dandeliontack/pool_state.hpp>
#include <dandeliontack/reservation_plan.hpp>
#include <dandeliontack/run_time_ratios.hpp>
#include <dandeliontack/run_times.hpp>
#include <dandeliontack/submission_refusal.hpp>

#include <functional>
#include <memory>

namespace dandeliontack
{

/// Time limits of the engine. The node overrides the defaults with the values
/// from its settings file.
struct pool_terms
{
    lease_terms leases;
    /// Upper bound on the time a host needs to carry out a stop.
    std::chrono::milliseconds stop_bound{1000};
    /// Upper bound on the duration of a lease that a host accepts.
    std::chrono::milliseconds max_lease{10'000};
    /// How long the result of a finished submission is kept.
    std::chrono::milliseconds finished_retention{180'000};
    /// A longer checkpoint of a task is not used: it could not be stored.
    std::size_t max_checkpoint = 64 * 1024;
    /// Whether hosts that slow their tasks down get no new ones.
    bool watch_pace = false;
    /// Whether hosts are reserved for large tasks and gangs that wait, and
    /// tasks are packed by the scarcer of cores and memory.
    bool look_ahead = false;
    /// Shared by all engines of a node; an engine without it has no bound.
    std::shared_ptr<kept_memory> memory;
};

/// The status of a submission as reported to a caller.
struct submission_view
{
    submission_phase phase = submission_phase::queued;
    /// The batch that has to be stored before the owner may confirm that the
    /// submission is accepted or cancelled; 0 if it may do so at once.
    std::uint64_t after_batch = 0;
    /// The batch that has to be stored before the owner may show the phase: a
    /// successor would not come to it by what is stored. 0 if there is none.
    std::uint64_t shown_after = 0;
};

/// Scheduler state machine of one shard of pools: applies events to the state
/// of submissions, tasks and hosts, and returns the required actions as
/// effects. It does no I/O and reads no clock. Not thread-safe.
class pool_engine
{
public:
    /// `epoch` is the owner's epoch; each new owner of a shard has a higher
    /// one.
    pool_engine(pool_terms terms, std::uint64_t epoch);

    /// Restores a submission from the store. Its tasks may be running on any
    /// host until the takeover has settled. `progress` fills in the stored task
    /// states.
    void restore(
        submission_record record, moment now,
        const std::function<void(submission_state&)>& progress);
    void restore_finished(
        std::uint64_t submission, submission_phase phase, moment now);
    void restore_host(const host_use& use, moment now);
    /// Ends the restore phase; from now on the owner schedules tasks.
    void begin(moment now);

    pool_effects apply(const pool_event_body& event, moment now);

    /// Closes every contacted host: records which tasks may run there and
    /// starts no more. A successor then holds back only these tasks while a
    /// host is unreachable. Later reports of hosts change nothing.
    void begin_handover();
    /// The record to be stored for a host.
    host_use use_of(const host_state& h) const;

    /// Returns all changes since the last call as a numbered batch.
    pool_changes take_changes();
    bool has_changes() const;
    /// The number of the batch that is taken next.
    std::uint64_t next_batch() const;

    /// Why a submission that is not known yet is not to be accepted: the work
    /// that goes before it by its account's share shows that it can't be done
    /// within three times its objective. No value without client accounts, and
    /// for what has no objective.
    std::optional<submission_refusal>
    refusal_of(const submission_record& record, moment now);

    std::optional<submission_view> find(std::uint64_t submission) const;
    const submission_state* state_of(std::uint64_t submission) const;
    std::optional<submission_phase> finished_phase(std::uint64_t id) const;
    /// Number of the route's submissions, without cancelled ones, of which no
    /// task has started.
    std::size_t pending(const std::string& route) const;

    const std::map<std::string, host_state>& hosts() const;
    /// The hosts that are reserved for waiting steps; empty without look-ahead.
    const reservation_plan& reservations() const;
    /// The expiry, on the host's clock, of a lease sent with a call at `now`. A
    /// host that is not responding gets no lease, so that its leases run out
    /// and its tasks can be started elsewhere.
    std::optional<host_time> extend_lease(const std::string& host, moment now);
    /// Whether the start order is still current.
    bool is_wanted(const pool_effect::start& order) const;
    /// Whether the step still needs advice.
    bool is_wanted(const pool_effect::advise& question) const;
    /// Whether no task of this shard can be running on the host.
    bool is_empty(const std::string& host, moment now) const;
    /// Hosts that a previous owner used and whose runs and ends this owner does
    /// not know completely yet.
    std::vector<std::string> unsettled_hosts() const;
    /// Whether tasks from before the takeover are still held back.
    bool is_settling() const;
    /// The demand and the hosts of each pool of the shard.
    std::vector<pool_demand> demands(moment now) const;
    /// The answer to the call.
    allotment_report report_allotments(const allotment_call& call) const;
    /// What accounts use and may use in this shard.
    const account_budget& budget() const;
    std::size_t active() const;
    bool has_submissions_of(const std::string& pool) const;
    std::size_t waiting_tasks() const;
    /// The numbers of `pending` of all routes that have any.
    std::map<std::string, std::size_t> pending_by_route() const;

private:
    friend class pool_planner;

    struct finished
    {
        submission_phase phase;
        boot_time since;
        /// The batch that contains it; 0 if it was restored.
        std::uint64_t stored_in = 0;
        /// See `submission_view`.
        std::uint64_t shown_after = 0;
    };

    void on(const pool_event::submitted& e);
    void on(const pool_event::cancelled& e);
    void on(const pool_event::hosts_listed& e);
    void on(const pool_event::host_reported& e);
    void on(const pool_event::host_incarnation_ended& e);
    void on(const pool_event::start_answered& e);
    void on(const pool_event::stop_answered& e);
    void on(const pool_event::advice_answered& e);
    void on(const pool_event::batch_stored& e);
    void on(const pool_event::records_refused& e);
    void on(const pool_event::evacuation_requested& e);
    void on(const pool_event::lending_requested& e);
    void on(const pool_event::accounts_changed& e);
    void on(const pool_event::allotments_called& e);
    void on(const pool_event::tick& e);

    double weight_of(const std::string& account) const;
    /// Whether shares apply to the submission.
    bool has_shares(const submission_record& record) const;
    /// Marks a submission that exceeds what its account is entitled to.
    void mark_excess(submission_state& s);
    void mark_all_excess();
    /// The work left of the submission's occurrences that can still be of use,
    /// in milliseconds of a host.
    double
    remaining_work(const submission_state& s, const resources& host) const;
    /// Work of a pool that can still be of use, in milliseconds of a host.
    struct pool_backlog
    {
        boot_time measured;
        double entitled = 0;
        /// By account.
        std::map<std::string, double> excess;
    };
    void measure_backlog(const std::string& pool, pool_backlog& out);
    static void
    add_backlog(pool_backlog& out, const submission_state& s, double work);
    share_backlog backlog_before(const submission_record& record);
    /// The hosts of the pool that serve other than long-running tasks.
    double capacity_of(const std::string& pool) const;
    void open_occurrences(submission_state& s);
    void open_occurrence(submission_state& s, std::uint32_t k);
    /// Counts what the submission keeps now.
    void count_memory(submission_state& s);
    /// Counts what the runs on hosts keep now.
    void count_runs();
    /// Forgets an active submission.
    void erase_active(submission_state& s);
    /// Opens the occurrence of a task that a host has a run of. The previous
    /// owner, whose clock may have been ahead, has opened it.
    void open_reported_occurrence(const task_ref& task);
    /// Whether a previous owner may have started the task on a host that has
    /// not answered yet.
    bool may_be_inherited(const task_ref& task) const;
    /// Applies a run that the host lists as ended. Returns the batch that has
    /// to be stored before the end is acknowledged to the host, after which the
    /// host may forget it.
    std::uint64_t apply_end(host_state& h, const ended_row& row);
    void apply_ends(host_state& h, const host_report& report);
    void end_newest_run(
        host_state& h, submission_state& s, task_state& t,
        const ended_row& row);
    void end_older_run(
        host_state& h, submission_state& s, task_state& t,
        const ended_row& row);
    void complete_gang(submission_state& s, const task_ref& member);
    void delay_restart(task_state& t) const;
    /// Reserves capacity on the host for a run, in place of any other run of
    /// the task there.
    std::map<task_ref, host_run>::iterator
    add_run(host_state& h, const task_ref& task, const host_run& run);
    std::map<task_ref, host_run>::iterator
    track_run(host_state& h, const running_row& row, const step_spec* step);
    /// Orders the run that the task counts as its newest to stop, if it is in
    /// progress.
    void stop_newest_run(const task_ref& task, std::string_view reason);
    /// Whether the run on the host takes the place of what is known of the
    /// task.
    bool is_adoptable(const task_ref& task, std::uint32_t run);
    void adopt_run(host_state& h, const running_row& row);
    /// Repairs tasks whose state contradicts the runs on hosts.
    void check_tasks();
    void
    apply_running(host_state& h, const running_row& row, host_time reported);
    void release_missing(host_state& h, const pool_event::host_reported& e);
    void advance_ack_cursor(host_state& h) const;
    void release(host_state& h, const task_ref& task, std::string_view reason);
    void release_all(host_state& h, std::string_view reason);
    void remove_run(host_state& h, const task_ref& task);
    void
    order_stop(host_state& h, const task_ref& task, std::string_view reason);
    void apply_stored(submission_state& s, std::uint64_t batch);
    void finish(submission_state& s, submission_phase phase);
    void stop_all_runs(submission_state& s, std::string_view reason);
    void count_failure(
        host_state& h, const task_ref& task,
        const std::set<std::string>& failed_on);
    void discount_failures(host_state& h, std::uint64_t submission);
    /// Whether the progress of the step's tasks speaks for their host.
    static bool shows_pace(const step_spec& step);
    /// The pace beyond which a task of the route is slow; none until enough of
    /// its run times are known.
    std::optional<double> slow_pace(const std::string& route) const;
    void measure_pace(
        host_state& h, const running_row& row, host_run& run,
        host_time reported);
    void note_run_time(
        host_state& h, const submission_state& s, const task_ref& task,
        std::chrono::milliseconds run_time);
    /// Whether other tasks of the step are as slow on other hosts.
    bool is_slow_elsewhere(
        const host_state& h, const task_ref& task, double pace) const;
    void note_pace(
        host_state& h, const submission_state& s, const task_ref& task,
        double pace);
    /// Stops the runs on a slow host that would end sooner elsewhere.
    void leave_slow_host(host_state& h);
    void begin_incarnation(host_state& h, std::chrono::milliseconds born);
    void expire_host(host_state& h);
    void check_runs(host_state& h);
    void evacuate(host_state& h);
    bool ends_soon(const task_ref& task);
    void pace_fillers(host_state& h);
    void settle_host(const std::string& host);
    bool has_expired(const std::string& host) const;
    void update_takeover();
    void release_inherited();
    /// Whether every run that a previous owner started is known with its
    /// account.
    bool knows_all_accounts() const;
    /// Logs when an account begins and ends to be held back.
    void log_held_accounts();
    void set_closed(host_state& h, bool closed);
    /// Whether every step that this one depends on is done.
    static bool is_ready(
        const submission_state& s, const occurrence_state& o,
        std::uint32_t step);
    /// The learned ratio of run time to estimate for the submission's route.
    double estimate_factor(const submission_state& s) const;
    /// Pairs of a submission id and an occurrence number.
    using occurrence_set = std::set<std::pair<std::uint64_t, std::uint32_t>>;
    static bool count_running(
        const host_state& h, const resources& host, const occurrence_set& late,
        pool_demand& demand);
    void count_waiting(
        const submission_state& s, const resources& host, occurrence_set& late,
        pool_demand& demand, boot_time now) const;
    resources typical_host(const std::string& pool) const;
    void count_arrival(const submission_record& record);
    bool is_available(const task_state& t) const;
    bool may_interrupt(const task_ref& task) const;
    bool fits_elsewhere(
        const host_state& from, const task_ref& task,
        const step_spec& spec) const;
    /// Whether the host may receive new tasks.
    bool is_eligible(const host_state& h) const;
    /// Whether a task of the step fits the host's free capacity, its labels and
    /// the step's limit of tasks per host.
    bool has_room_for(
        const host_state& h, const task_ref& step, const step_spec& spec) const;
    /// Notes that the part which holds the task has to be stored.
    void note_progress(const submission_state& s, const task_ref& task);
    void note_progress(const progress_part& part);
    /// Drops the state of occurrences that are done; returns whether all are.
    bool drop_done_occurrences(submission_state& s);
    void drop_stored(submission_state& s, std::uint32_t occurrence);
    void note_stored(const progress_part& part);
    void keep_checkpoint(
        task_state& t, const step_spec& step,
        const std::string& checkpoint) const;
    submission_state* active_submission(std::uint64_t id);
    task_state* find_task(const task_ref& task);
    step_state* find_step(const task_ref& step);
    const step_spec* spec_of(const task_ref& task) const;
    std::uint32_t next_run(const task_ref& task, const task_state& t) const;
    void log_decision(
        std::string_view name, const task_ref& task, std::uint32_t run,
        const std::string& host, std::string reason = {});

    pool_terms terms_;
    /// Null in a deployment without client accounts.
    std::shared_ptr<const account_table> accounts_;
    std::uint64_t accounts_version_ = 0;
    account_budget budget_;
    /// Accounts that are held back by their limit, with the last time.
    std::map<std::string, boot_time> held_accounts_;
    /// Of deployments with client accounts, by pool.
    std::map<std::string, account_entitlement> entitlements_;
    std::map<std::string, fair_order> fair_orders_;
    std::map<std::string, room_growth> room_;
    std::map<std::string, pool_backlog> backlogs_;
    std::map<std::string, return_schedule> returns_;
    kept_share kept_;
    /// What is counted there for runs on hosts, and for what hosts have
    /// reported of tasks.
    std::uint64_t run_bytes_ = 0;
    std::uint64_t report_bytes_ = 0;
    std::map<std::uint64_t, submission_state> active_;
    std::map<std::uint64_t, finished> finished_;
    std::map<std::string, host_state> hosts_;
    pool_changes changes_;
    std::uint64_t next_batch_ = 1;
    /// All batches up to this one are stored.
    std::uint64_t stored_batch_ = 0;
    std::map<std::uint64_t, std::set<std::uint64_t>> unstored_progress_;
    /// Arriving work in host milliseconds, by pool.
    std::map<std::string, arrival_rate> arrivals_;
    /// Hosts to be kept empty, with the end of the request; includes hosts that
    /// are not listed yet.
    std::map<std::string, boot_time> evacuations_;
    /// Requests to the advice service without an answer.
    std::size_t pending_advice_ = 0;
    /// Learned ratio of run time to estimate, by route.
    std::map<std::string, double> estimate_factor_;
    run_times run_times_;
    /// Used only with `pool_terms::look_ahead`.
    run_time_ratios run_time_ratios_;
    reservation_plan reservations_;
    /// Hosts that a previous owner used and that have not listed all ends to
    /// this one: hosts that may run any task, and closed hosts with the
    /// recorded list of tasks that may run there.
    std::set<std::string> unsettled_hosts_;
    std::map<std::string, std::set<task_ref>> unsettled_closed_hosts_;
    boot_time takeover_deadline_;
    bool settling_ = false;
    bool handing_over_ = false;
    /// When every host without a recorded list had answered, or its leases had
    /// expired.
    std::optional<boot_time> settled_at_;
    boot_time tasks_checked_;
    std::uint64_t epoch_;

    moment now_;
    pool_effects effects_;
};

} // namespace dandeliontack
