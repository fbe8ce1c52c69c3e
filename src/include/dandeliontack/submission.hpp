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

/// What a task takes of a host, or a host has.
struct room
{
    /// Thousandths of a core.
    std::int64_t cpu_milli = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    bool operator==(const room&) const = default;
};

/// Whether `need` fits into `free` in every dimension.
constexpr bool fits(const room& need, const room& free)
{
    return need.cpu_milli <= free.cpu_milli &&
           need.memory_mb <= free.memory_mb &&
           need.accelerators <= free.accelerators;
}

room operator+(const room& a, const room& b);
room operator-(const room& a, const room& b);

/// One step of a submission: a number of equal tasks.
struct step_spec
{
    std::uint32_t count = 0;
    room need;
    /// The caller's rough estimate of a task's run time.
    std::chrono::milliseconds estimate{0};
    /// Steps, by number, that must be done before this one starts.
    std::vector<std::uint32_t> after;
    bool checkpoints = false;
    /// All tasks run together or not at all, and end together.
    bool gang = false;
    /// The tasks are slower where they are on more than one rack.
    bool same_rack = false;
    /// A label that the host must have; empty for any host.
    std::string label;
    /// The rack that holds the data; tasks are slower on others.
    std::string rack;
    /// The most tasks of the step and occurrence on one host; 0 for any.
    std::uint32_t most_per_host = 0;
    /// Copies of a task may run in parallel.
    bool speculative = false;
    /// The tasks run until the submission is cancelled.
    bool long_running = false;
    /// What the tasks run; tasks of one image behave alike.
    std::string image;
    /// The tail latency that a serving task must keep; 0 where it has none.
    std::chrono::milliseconds latency_objective{0};
    /// The tasks use capacity that others leave: their cores aren't counted.
    bool fills = false;
    /// How many tasks of a long-running step may be away through our orders.
    std::uint32_t may_miss = 0;

    bool operator==(const step_spec&) const = default;
};

/// How a queue wants advice about the hosts that may run a step.
struct advice_terms
{
    std::chrono::milliseconds decide{0};
    std::chrono::milliseconds each{0};
    std::chrono::milliseconds valid{0};

    bool operator==(const advice_terms&) const = default;
};

/// What the configuration in force said of the queue at acceptance.
struct queue_terms
{
    std::string route;
    std::string pool;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    std::uint32_t max_attempts = 1;
    /// The latency objective is `stretch` times the longest chain of work, and
    /// `target` more.
    double stretch = 1.0;
    std::chrono::milliseconds target{0};
    std::optional<advice_terms> advice;

    bool operator==(const queue_terms&) const = default;
};

/// What a caller hands in under an identity of its own choice.
struct submission_spec
{
    /// Opaque text that hosts get with each task.
    std::string text;
    std::vector<step_spec> steps;
    /// How often the steps run; 0 for once and at once.
    std::uint32_t repetitions = 0;
    /// When occurrence 0 is due, and the time between two.
    std::chrono::sys_time<std::chrono::milliseconds> first_due;
    std::chrono::milliseconds interval{0};

    bool operator==(const submission_spec&) const = default;
};

/// An accepted submission, as it is stored.
struct submission_record
{
    std::uint64_t id = 0;
    submission_spec spec;
    queue_terms terms;
    std::chrono::sys_time<std::chrono::milliseconds> accepted;
    /// The epoch of the owner that accepted it.
    std::uint64_t epoch = 0;

    bool operator==(const submission_record&) const = default;
};

/// Where a submission stands, as callers see it.
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

/// One task of one occurrence.
struct task_ref
{
    std::uint64_t submission = 0;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const task_ref&) const = default;
};

/// 16 hexadecimal digits.
std::string submission_name(std::uint64_t id);
/// Nothing unless the text is 16 hexadecimal digits.
std::optional<std::uint64_t> parse_submission_name(std::string_view text);
/// `ID.OCCURRENCE.STEP.INDEX`, and back.
std::string task_name(const task_ref& task);
std::optional<task_ref> parse_task_name(std::string_view text);

/// What is wrong with a submission in itself, each with its place, such as
/// `steps[2].after`. Empty where it can be stored.
struct submission_fault
{
    std::string place;
    std::string message;
};
std::vector<submission_fault> check_submission(const submission_spec& spec);

} // namespace dandeliontack
