#pragma once

#include <dandeliontack/boot_clock.hpp>
#include <dandeliontack/client_account.hpp>
#include <dandeliontack/host_lease.hpp>
#include <dandeliontack/submission.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dandeliontack
{

/// The registration of one incarnation of a host, which is the time from one of
/// its starts to the next.
struct host_entry
{
    std::string id;
    /// Start time of this incarnation; tells incarnations with the same id
    /// apart.
    std::chrono::milliseconds born{0};
    std::string address;
    std::string pool;
    std::string data_centre;
    std::string rack;
    std::vector<std::string> labels;
    resources capacity;
    bool draining = false;

    bool operator==(const host_entry&) const = default;
};

/// How a run ended.
enum class run_outcome : std::uint8_t
{
    done,
    failed,
    stopped,
    lease_expired,
    /// Another member of the gang ended.
    gang_broken,
    /// The other members of the gang did not start in time.
    gang_incomplete
};

/// A run that a host lists as running.
struct running_row
{
    task_ref task;
    std::uint32_t run = 0;
    std::string checkpoint;
    std::uint32_t percent = 0;
    /// Tail latency in ms for a latency-sensitive task, cores in use for any
    /// other.
    std::int64_t load = 0;
};

/// A run that a host lists as ended.
struct ended_row
{
    std::uint64_t number = 0;
    task_ref task;
    std::uint32_t run = 0;
    run_outcome outcome = run_outcome::stopped;
    std::string checkpoint;
};

/// A host's report of its running and ended runs, the answer to a hold call.
struct host_report
{
    host_time clock{0};
    std::optional<std::chrono::milliseconds> born;
    std::vector<running_row> running;
    std::vector<ended_row> ended;
    /// Whether `ended` holds every end that is not acknowledged yet. A host
    /// lists a limited number at a time, the oldest first.
    bool ends_complete = true;
    /// The numbers of ends that could not be read.
    std::vector<std::uint64_t> unreadable_ends;
};

/// How a host answered a start request.
enum class start_answer : std::uint8_t
{
    started,
    fenced,
    run_too_low,
    too_late,
    no_room,
    ticket_refused,
    malformed,
    /// The host is unhealthy and did not start the run.
    refused,
    /// Another incarnation answered at the address.
    other_incarnation,
    /// No definite answer: the start may still be carried out.
    unknown
};

std::string_view to_string(start_answer answer);
std::string_view to_string(run_outcome outcome);

namespace pool_event
{

struct submitted
{
    submission_record record;
};
struct cancelled
{
    std::uint64_t submission = 0;
};
struct hosts_listed
{
    /// All live entries of the pool.
    std::vector<host_entry> entries;
};
struct host_reported
{
    std::string host;
    std::chrono::milliseconds born{0};
    /// When the hold call that this answers was sent.
    boot_time sent;
    host_report report;
};
/// The incarnation of the host that this owner has known since before a moment
/// has ended. Says nothing of a later one.
struct host_incarnation_ended
{
    std::string host;
    boot_time known_before;
    /// When the evidence was received: a call that the incarnation answers and
    /// that was sent later refutes it.
    boot_time seen;
};
struct start_answered
{
    std::string host;
    std::chrono::milliseconds born{0};
    task_ref task;
    std::uint32_t run = 0;
    start_answer answer = start_answer::unknown;
    std::optional<host_time> clock;
};
/// The host's answer to a stop; `taken` if the host accepted it.
struct stop_answered
{
    std::string host;
    std::chrono::milliseconds born{0};
    task_ref task;
    std::uint32_t run = 0;
    bool accepted = false;
};
struct advice_answered
{
    task_ref step;
    std::vector<std::pair<std::string, std::string>> granted;
    std::chrono::milliseconds valid{0};
    bool answered = false;
};
/// All batches up to and including this one are stored.
struct batch_stored
{
    std::uint64_t batch = 0;
};
/// The store will never accept records of these submissions and hosts.
struct records_refused
{
    std::vector<std::uint64_t> submissions;
    std::vector<std::string> hosts;
};
/// Requests that a host be evacuated for maintenance or a move to another pool,
/// and kept empty until `until`.
struct evacuation_requested
{
    std::string host;
    boot_time until;
};
/// Other pools need capacity more urgently: `hosts` hosts of this pool get no
/// new tasks for a while, and leave the pool once they are idle.
struct lending_requested
{
    std::string pool;
    std::uint32_t hosts = 0;
};
/// The client accounts of a newer configuration; null if it has none.
struct accounts_changed
{
    std::shared_ptr<const account_table> accounts;
    /// The version of the configuration.
    std::uint64_t version = 0;
};
struct tick
{
};

} // namespace pool_event

using pool_event_body = std::variant<
    pool_event::submitted, pool_event::cancelled, pool_event::hosts_listed,
    pool_event::host_reported, pool_event::host_incarnation_ended,
    pool_event::start_answered, pool_event::stop_answered,
    pool_event::advice_answered, pool_event::batch_stored,
    pool_event::records_refused, pool_event::evacuation_requested,
    pool_event::lending_requested, pool_event::accounts_changed,
    pool_event::tick>;

/// What a submission spent its time on, summed over its steps.
struct submission_delays
{
    /// Since it was due.
    std::chrono::milliseconds age{0};
    /// Its latency objective.
    std::chrono::milliseconds objective{0};
    /// The length of the longest chain of its steps, as estimated.
    std::chrono::milliseconds chain{0};
    /// Steps were ready, and tasks of them had no host.
    std::chrono::milliseconds unplaced{0};
    /// From the start of a step's last task to the end of its last task.
    std::chrono::milliseconds running{0};
    /// Starts of tasks that had been started before.
    std::uint32_t restarts = 0;
};

namespace pool_effect
{

struct start
{
    std::string host;
    std::chrono::milliseconds born{0};
    task_ref task;
    std::uint32_t run = 0;
    std::string checkpoint;
    std::string ticket;
};
struct stop
{
    std::string host;
    std::chrono::milliseconds born{0};
    task_ref task;
    std::uint32_t run = 0;
    std::string_view reason;
};
struct pace
{
    std::string host;
    std::chrono::milliseconds born{0};
    task_ref task;
    std::uint32_t run = 0;
    std::uint32_t percent = 100;
};
struct advise
{
    task_ref step;
    std::vector<std::string> hosts;
    /// How long the service needs to answer, by the queue's settings.
    std::chrono::milliseconds need{0};
};
/// A log entry for a decision: its name, subject and reason.
struct decision
{
    std::string_view name;
    std::optional<task_ref> task;
    std::optional<std::uint64_t> submission;
    std::uint32_t run = 0;
    std::string host;
    std::string reason;
};

/// A log entry for the end of a submission.
struct finished
{
    std::uint64_t submission = 0;
    std::string_view phase;
    std::string route;
    std::string pool;
    submission_delays delays;
};

} // namespace pool_effect

using pool_effect_body = std::variant<
    pool_effect::start, pool_effect::stop, pool_effect::pace,
    pool_effect::advise, pool_effect::decision, pool_effect::finished>;
using pool_effects = std::vector<pool_effect_body>;

} // namespace dandeliontack
