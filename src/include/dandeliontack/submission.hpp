#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dandeliontack
{

/// Resources that a task requires or that a host provides.
struct resources
{
    /// Thousandths of a core.
    std::int64_t cpu_milli = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    bool operator==(const resources&) const = default;
};

/// Whether `need` is at most `free` in every resource.
constexpr bool fits(const resources& need, const resources& free)
{
    return need.cpu_milli <= free.cpu_milli &&
           need.memory_mb <= free.memory_mb &&
           need.accelerators <= free.accelerators;
}

resources operator+(const resources& a, const resources& b);
resources operator-(const resources& a, const resources& b);

/// One step of a submission: a number of identical tasks.
struct step_spec
{
    std::uint32_t count = 0;
    resources need;
    /// The caller's rough estimate of a task's run time.
    std::chrono::milliseconds estimate{0};
    /// Indices of the steps that must be done before this one starts.
    std::vector<std::uint32_t> dependencies;
    bool checkpoints = false;
    /// Gang scheduling: all tasks start and end together or not at all.
    bool gang = false;
    /// The tasks run slower when spread over more than one rack.
    bool same_rack = false;
    /// The label that a host must have; empty for any host.
    std::string label;
    /// The rack that holds the input data; tasks run slower on others.
    std::string rack;
    /// The maximum number of tasks of the step and occurrence on one host; 0
    /// for no limit.
    std::uint32_t most_per_host = 0;
    /// Speculative execution: copies of a task may run in parallel.
    bool speculative = false;
    /// The tasks run until the submission is cancelled.
    bool long_running = false;
    /// The program image of the tasks. Tasks of one image behave alike.
    std::string image;
    /// The tail latency objective of a serving task; 0 for none.
    std::chrono::milliseconds latency_objective{0};
    /// Best effort: the tasks use the cores that other tasks leave idle, and
    /// reserve none.
    bool best_effort = false;
    /// The maximum number of tasks of a long-running step that may be down at
    /// once because of orders of the scheduler.
    std::uint32_t max_unavailable = 0;

    bool operator==(const step_spec&) const = default;
};

/// Time limits for the advice service, which grants the hosts that may run a
/// step of the queue.
struct advice_terms
{
    std::chrono::milliseconds decide{0};
    std::chrono::milliseconds each{0};
    std::chrono::milliseconds valid{0};

    bool operator==(const advice_terms&) const = default;
};

/// The queue's settings in the configuration in force at acceptance.
struct queue_terms
{
    std::string route;
    std::string pool;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    std::uint32_t max_attempts = 1;
    /// The latency objective is `stretch` times the length of the critical path
    /// plus `target`.
    double stretch = 1.0;
    std::chrono::milliseconds target{0};
    std::optional<advice_terms> advice;
    /// Identifies the queue in every version of the configuration, whatever
    /// pool it is sent to (`queue_id_of`); 0 if not known.
    std::uint64_t queue = 0;
    /// The version of the configuration.
    std::uint64_t version = 0;

    bool operator==(const queue_terms&) const = default;
};

/// What a caller submits under an id of its own choice.
struct submission_spec
{
    /// Opaque text that is passed to hosts with each task.
    std::string text;
    std::vector<step_spec> steps;
    /// The number of occurrences; 0 for a single one that is due immediately.
    std::uint32_t repetitions = 0;
    /// When occurrence 0 is due, and the time between two occurrences.
    std::chrono::sys_time<std::chrono::milliseconds> first_due;
    std::chrono::milliseconds interval{0};

    bool operator==(const submission_spec&) const = default;
};

/// An accepted submission in its stored form.
struct submission_record
{
    std::uint64_t id = 0;
    submission_spec spec;
    queue_terms terms;
    std::chrono::sys_time<std::chrono::milliseconds> accepted;
    /// The ownership epoch in which it was accepted.
    std::uint64_t epoch = 0;
    /// The client account that submitted it; empty if none was needed.
    std::string account;

    bool operator==(const submission_record&) const = default;
};

/// The most steps of a submission.
inline constexpr std::size_t max_steps = 256;

/// The state of a submission as reported to callers.
enum class submission_phase : std::uint8_t
{
    queued,
    running,
    completed,
    failed,
    cancelled
};

constexpr bool is_terminal(submission_phase phase)
{
    return phase >= submission_phase::completed;
}

std::string_view to_string(submission_phase phase);

/// Identifies one task of one occurrence.
struct task_ref
{
    std::uint64_t submission = 0;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const task_ref&) const = default;
};

/// The number of tasks of one occurrence.
std::uint64_t tasks_of(const submission_spec& spec);

/// Formats the id as 16 hexadecimal digits.
std::string submission_name(std::uint64_t id);
/// Returns no value unless the text is 16 hexadecimal digits.
std::optional<std::uint64_t> parse_submission_name(std::string_view text);
/// `ID.OCCURRENCE.STEP.INDEX`, and back.
std::string task_name(const task_ref& task);
std::optional<task_ref> parse_task_name(std::string_view text);

/// A validation error of a submission.
struct validation_error
{
    /// Path of the field, such as `steps[2].after`.
    std::string path;
    std::string message;
};
/// Validates a submission on its own, without regard to the configuration.
/// Returns an empty list if it can be stored.
std::vector<validation_error> check_submission(const submission_spec& spec);

/// Checks a valid submission against the limits for new ones, which keep one
/// submission from using up a node's memory. Returns an empty list if it may be
/// accepted.
std::vector<validation_error> check_limits(const submission_spec& spec);

} // namespace dandeliontack
