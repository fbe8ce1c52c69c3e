#pragma once

#include <dandeliontack/pool_events.hpp>

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace dandeliontack
{

enum class task_phase : std::uint8_t
{
    waiting,
    /// A start was ordered; the host has not answered.
    starting,
    running,
    /// A stop was ordered; the host has not listed the end.
    stopping,
    /// It ended as done or failed; the store has not acknowledged that.
    recording,
    done
};

struct task_state
{
    task_phase phase = task_phase::waiting;
    /// The number of the newest run; 0 before the first.
    std::uint32_t run = 0;
    /// The newest run whose end is stored or being stored.
    std::uint32_t recorded_run = 0;
    /// Runs that ended as failed, stored or being stored. Each counts once,
    /// whichever run is the newest. Not kept for tasks that last.
    std::set<std::uint32_t> failed_runs;
    /// While `recording`: what is being stored, and the batch that holds it.
    bool ended_done = false;
    std::uint64_t recorded_in = 0;
    /// A past owner may have started it where this one can't see yet.
    bool inherited = false;
    std::string host;
    std::string checkpoint;
    std::set<std::string> failed_on;
    std::uint32_t percent = 0;
    boot_time started;
    /// When `percent` last rose.
    boot_time progressed;
    boot_time retry_at;
};

struct step_state
{
    std::vector<task_state> tasks;
    std::uint32_t done = 0;
    /// Set while the service for advice is asked; granted hosts with tickets.
    bool asking = false;
    boot_time asked;
    std::map<std::string, std::string> tickets;
    boot_time tickets_until;
};

struct occurrence_state
{
    std::vector<step_state> steps;
    std::uint32_t steps_done = 0;
    boot_time due;
};

struct submission_state
{
    submission_record record;
    submission_phase phase = submission_phase::queued;
    std::map<std::uint32_t, occurrence_state> occurrences;
    std::uint32_t occurrences_done = 0;
    /// When it reached this owner.
    boot_time arrived;
    /// Whether a task has ever started.
    bool started = false;
    /// The batch that holds its acceptance; 0 once that is stored.
    std::uint64_t accepted_in = 0;
    /// The batch that holds its cancelling; 0 while there is none.
    std::uint64_t cancelled_in = 0;
    /// The sum of cores times estimates, in core milliseconds.
    double work = 0;
};

/// A run that takes room on a host.
struct host_run
{
    std::uint32_t run = 0;
    room need;
    /// Whether the host has said that it runs.
    bool confirmed = false;
    boot_time ordered;
    boot_time confirmed_at;
    /// By the host's clock: the newest report that lists the run, and the
    /// first one that showed its present progress.
    std::optional<host_time> listed;
    host_time progressed{0};
    /// Set once a stop was ordered, and once the host has taken it.
    std::optional<boot_time> stop_ordered;
    std::optional<boot_time> stop_taken;
    /// Answers in a row that did not list it.
    std::uint32_t missed = 0;
    std::uint32_t percent = 100;
    bool serves = false;
    bool fills = false;
    bool lasts = false;
    std::chrono::milliseconds objective{0};
    std::int64_t load = 0;
};

/// What failures and refusals say about a host.
struct host_health
{
    std::set<std::uint64_t> failed_submissions;
    std::uint32_t failures = 0;
    std::uint32_t suspensions = 0;
    boot_time avoid_until;
};

struct host_state
{
    host_entry entry;
    /// Whether the newest list has it.
    bool listed = false;
    boot_time unlisted_since;
    /// Whether this owner has had an answer from this life.
    bool contacted = false;
    boot_time last_answer;
    /// The batch in which its use is recorded; 0 once that is stored.
    std::uint64_t recorded_in = 0;
    /// Its record lists what may run there, and nothing more is started.
    bool closed = false;
    host_lease lease;
    room used;
    std::map<task_ref, host_run> runs;
    std::uint64_t seen_end = 0;
    std::uint64_t ack_cursor = 0;
    /// Ends whose records are not stored yet, in the host's order.
    std::deque<std::pair<std::uint64_t, std::uint64_t>> unstored_ends;
    host_health health;
    boot_time blocked_until;
    boot_time evacuate_until;
    /// It gets no new tasks before this, so that it can join another pool.
    boot_time lent_until;
    /// The share that filling tasks get on this host.
    std::uint32_t fill_percent = 100;
    boot_time fill_changed;
};

/// Whether the host has not answered for longer than a hold may take.
bool is_silent(const host_state& h, boot_time now);

/// That a host's life may run tasks of the pool; stored before its first use.
struct host_use
{
    std::string id;
    std::chrono::milliseconds born{0};
    std::string pool;
    std::string address;
    /// Whether nothing else than `tasks` may run there, as no start has been
    /// sent since this was stored.
    bool closed = false;
    std::vector<task_ref> tasks;
};

/// What has to be stored next, as one batch.
struct pool_changes
{
    std::uint64_t batch = 0;
    std::vector<std::uint64_t> accepted;
    std::vector<std::uint64_t> progressed;
    /// Finished; what they were may be dropped.
    std::vector<std::uint64_t> finished;
    /// Long finished; nothing of them need be known any more.
    std::vector<std::uint64_t> forgotten;
    std::vector<std::string> used_hosts;
    std::vector<std::string> dropped_hosts;

    bool empty() const;
};

} // namespace dandeliontack
