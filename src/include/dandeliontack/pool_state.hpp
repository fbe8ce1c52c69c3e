#pragma once

#include <dandeliontack/host_pace.hpp>
#include <dandeliontack/kept_memory.hpp>
#include <dandeliontack/number_ranges.hpp>
#include <dandeliontack/pool_events.hpp>

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace dandeliontack
{

enum class task_phase : std::uint8_t
{
    waiting,
    /// A start was ordered, and the host has not answered yet.
    starting,
    running,
    /// A stop was ordered, and the host has not reported the end yet.
    stopping,
    /// The run ended as done or failed, and the store has not acknowledged that
    /// yet.
    recording,
    done
};

struct task_state
{
    task_phase phase = task_phase::waiting;
    /// The number of the newest run; 0 before the first.
    std::uint32_t run = 0;
    /// The highest run whose end is stored or being stored.
    std::uint32_t recorded_run = 0;
    /// Runs that ended as failed, stored or being stored. Each counts as one
    /// attempt, even if it is not the newest run. Not kept for long-running
    /// tasks.
    std::set<std::uint32_t> failed_runs;
    /// Failed runs that are counted, but no longer in `failed_runs`.
    std::uint32_t older_failures = 0;
    /// While `recording`: whether the task is done with the end that is being
    /// stored, and the batch that contains the newest end. A long-running task
    /// is never done.
    bool ended_done = false;
    std::uint64_t recorded_in = 0;
    /// A previous owner may have started it on a host that this owner has not
    /// contacted yet.
    bool inherited = false;
    /// Hosts that have a run of it, which need not be the newest. It is not
    /// started elsewhere until there is none.
    std::uint32_t holders = 0;
    std::string host;
    std::string checkpoint;
    std::set<std::string> failed_on;
    std::uint32_t percent = 0;
    boot_time started;
    /// When `percent` last rose.
    boot_time progressed;
    boot_time retry_at;
    /// For a long-running task: how many of its last runs in a row ended soon
    /// after their start.
    std::uint32_t short_runs = 0;
};

/// Whether the task has ended as done, also if that is not stored yet.
bool is_done(const task_state& t);
/// Whether a run of the task is to be on its host.
bool is_in_progress(const task_state& t);
/// Counts a run that ended as failed.
void add_failure(task_state& t, std::uint32_t run);
/// The number of runs that ended as failed.
std::uint32_t failures_of(const task_state& t);
/// Whether the stored state of the task is long, so that it is stored in a
/// record of its own.
bool has_long_state(const task_state& t);

/// When a step passed the stages of its life; zero before each. A successor of
/// an owner knows only what happened under itself.
struct step_times
{
    /// The steps that it depends on were done and stored.
    boot_time ready;
    /// The newest first start of a task was ordered.
    boot_time placed;
    /// The newest end of a task as done was reported.
    boot_time ended;
};

/// What the advice service said of one incarnation of a host: whether it may
/// run the step, which does not change, and the ticket for starts there.
struct host_advice
{
    std::chrono::milliseconds born{0};
    /// Empty if the host may not run the step.
    std::string ticket;
    boot_time valid_until;
};

struct step_state
{
    std::vector<task_state> tasks;
    std::uint32_t done = 0;
    step_times times;
    /// Starts of tasks that had been started before.
    std::uint32_t restarts = 0;
    /// The hosts of the pending request to the advice service; empty if there
    /// is none.
    std::map<std::string, std::chrono::milliseconds> asked_hosts;
    /// By host.
    std::map<std::string, host_advice> advice;
};

struct occurrence_state
{
    std::vector<step_state> steps;
    std::uint32_t steps_done = 0;
    boot_time due;
};

/// A part of a submission's progress that is stored as one record: tasks with
/// adjacent numbers of one occurrence, counted over all steps. The first part
/// of the first occurrence also holds what concerns the whole submission.
struct progress_part
{
    std::uint64_t submission = 0;
    std::uint32_t occurrence = 0;
    std::uint32_t part = 0;

    auto operator<=>(const progress_part&) const = default;
};

/// Tasks in each part, so many that the state of all fits one record.
inline constexpr std::uint32_t tasks_per_part = 256;

/// The part that a task of the submission belongs to.
progress_part part_of(const submission_spec& spec, const task_ref& task);

struct submission_state
{
    submission_record record;
    submission_phase phase = submission_phase::queued;
    /// The occurrences that are due and not done.
    std::map<std::uint32_t, occurrence_state> occurrences;
    number_ranges occurrences_done;
    /// The first occurrence that has not been due yet.
    std::uint32_t next_occurrence = 0;
    /// What the store holds beside the record of the first part.
    std::set<progress_part> stored_parts;
    std::set<task_ref> stored_tasks;
    /// When this owner received it, or earlier by the time that it has waited
    /// under previous owners.
    boot_time arrived;
    /// Whether a task has ever started.
    bool started = false;
    /// The batch that contains its acceptance; 0 once that is stored.
    std::uint64_t accepted_in = 0;
    /// The batch that contains its cancellation; 0 if it is not cancelled.
    std::uint64_t cancelled_in = 0;
    /// Sum of cores times estimate over all tasks, in core milliseconds.
    double work = 0;
    /// Its account sent it beyond what it is entitled to.
    bool is_excess = false;
    submission_memory memory;
    /// What is counted for it in `kept_memory`.
    std::uint64_t kept_bytes = 0;
};

/// Visits the tasks of a part in order.
void for_each_task(
    const submission_state& s, const progress_part& part,
    const std::function<void(const task_ref&, const task_state&)>& visit);

/// A run that occupies capacity on a host.
struct host_run
{
    std::uint32_t run = 0;
    resources need;
    /// Whether the host has confirmed that it runs.
    bool confirmed = false;
    boot_time ordered;
    boot_time confirmed_at;
    /// On the host's clock: the newest report that lists the run, and the first
    /// report that showed its current progress.
    std::optional<host_time> listed;
    host_time progressed{0};
    /// Set once a stop was ordered, and once the host has acknowledged it.
    std::optional<boot_time> stop_ordered;
    std::optional<boot_time> stop_acknowledged;
    /// Number of consecutive reports that did not list the run.
    std::uint32_t missed_reports = 0;
    std::uint32_t percent = 100;
    /// Where the current interval of its pace began, on the host's clock, and
    /// the pace of the one before as a ratio to the estimate; 0 before that.
    std::optional<host_time> pace_since;
    std::uint32_t pace_percent = 0;
    double pace = 0;
    bool serves = false;
    bool best_effort = false;
    bool long_running = false;
    std::chrono::milliseconds objective{0};
    std::int64_t load = 0;
    /// The account that it counts for, and what it counts there; a best-effort
    /// task counts with its cores.
    account_budget::position account = 0;
    resources charge;
    /// Known from the host's list: a previous owner has started it.
    bool inherited = false;
};

/// Failure history of a host, used to suspend it.
struct host_health
{
    std::set<std::uint64_t> failed_submissions;
    std::uint32_t failures = 0;
    std::uint32_t suspensions = 0;
    boot_time avoid_until;
};

/// An end that a host lists and may not forget yet.
struct unacknowledged_end
{
    /// The host's number of the end.
    std::uint64_t number = 0;
    std::uint64_t submission = 0;
    /// The batch with which everything is stored that follows from the end, and
    /// from earlier ends of the task.
    std::uint64_t batch = 0;
};

struct host_state
{
    host_entry entry;
    /// Whether the newest host list contains it.
    bool listed = false;
    boot_time unlisted_since;
    /// Whether this incarnation has answered this owner.
    bool contacted = false;
    /// Whether this owner has seen every end that this incarnation lists. Until
    /// then it may list the end of any task that a previous owner started.
    bool caught_up = false;
    boot_time last_answer;
    /// Since when this owner knows of this incarnation.
    boot_time known_since;
    /// When the newest call that this incarnation has answered was sent.
    boot_time last_answered_call;
    /// Whether `entry` is of this incarnation, not of an earlier one.
    bool described = true;
    /// Whether it is a later incarnation than the one that this owner knew
    /// first.
    bool restarted = false;
    /// The batch that contains its `host_use` record; 0 once that is stored.
    std::uint64_t recorded_in = 0;
    /// Its record lists the tasks that may run there, and no more are started.
    bool closed = false;
    host_lease lease;
    resources used;
    std::map<task_ref, host_run> runs;
    std::uint64_t last_seen_end = 0;
    std::uint64_t ack_cursor = 0;
    /// Ends that are not acknowledged yet, in the host's order.
    std::deque<unacknowledged_end> unacknowledged_ends;
    host_health health;
    host_pace pace;
    boot_time blocked_until;
    boot_time evacuate_until;
    /// It gets no new tasks before this time, so that it becomes idle and can
    /// join another pool.
    boot_time lent_until;
    /// The share of their cores, in percent, that filler tasks get on this
    /// host.
    std::uint32_t fill_percent = 100;
    boot_time fill_changed;
};

/// Whether the host has not answered for longer than a hold call may take.
bool is_silent(const host_state& h, boot_time now);

/// States that an incarnation of a host may run tasks of the pool. Stored
/// before the first task is started there.
struct host_use
{
    std::string id;
    std::chrono::milliseconds born{0};
    std::string pool;
    std::string address;
    /// If set, only `tasks` may run there: no start has been sent since this
    /// was stored.
    bool closed = false;
    std::vector<task_ref> tasks;
};

/// Changes to be stored as one batch.
struct pool_changes
{
    std::uint64_t batch = 0;
    std::vector<std::uint64_t> accepted;
    std::set<progress_part> progressed;
    /// Tasks of these parts that are stored on their own.
    std::set<task_ref> progressed_tasks;
    /// Submissions that have finished; their stored details may be deleted.
    std::vector<std::uint64_t> finished;
    /// Stored parts and tasks of submissions or occurrences that are done.
    std::vector<progress_part> dropped_parts;
    std::vector<task_ref> dropped_tasks;
    /// Submissions whose retention period after finishing has passed; nothing
    /// about them need be kept.
    std::vector<std::uint64_t> forgotten;
    std::vector<std::string> used_hosts;
    std::vector<std::string> dropped_hosts;

    bool empty() const;
};

} // namespace dandeliontack
