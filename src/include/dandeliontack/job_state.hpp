#pragma once

#include <dandeliontack/job_events.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

namespace dandeliontack
{

/// Where an accepted job stands. It is in exactly one phase at any moment.
enum class job_phase : std::uint8_t
{
    waiting,
    /// It holds a host; the platform has not said yet that it runs.
    placed,
    running,
    /// It holds its host until the platform says that it was checkpointed.
    checkpointing,
    /// It holds its host until the platform says that it was stopped.
    stopping,
    finished,
    /// It is reported as one that can't run.
    unrunnable,
    /// Operators cancelled it and it holds no host.
    cancelled
};

/// Whether a job in this phase holds room on a host.
constexpr bool holds_host(job_phase phase)
{
    return phase >= job_phase::placed && phase <= job_phase::stopping;
}

/// The life of an accepted job. One that was never placed has none yet.
struct job_record
{
    job_phase phase = job_phase::waiting;
    /// The revision of the job that the phase `unrunnable` is about.
    std::uint64_t revision = 0;
    unrunnable_reason reason = unrunnable_reason::fits_no_host;
    /// The team and the kind when the job was placed.
    std::string team;
    std::string kind;
    std::string host;
    /// The offset of the record that placed it; 0 while it holds no host.
    std::uint64_t lease = 0;
    /// What it holds of its host and its team's quota.
    job_size held;
    /// The last reported usage, and the largest in any of its runs.
    job_size usage;
    job_size peak;
    bool throttled = false;
    std::uint64_t checkpoints = 0;
    /// When it was placed or the last action was requested.
    std::chrono::sys_time<std::chrono::milliseconds> acted;
    std::chrono::sys_time<std::chrono::milliseconds> reported;
    /// The hosts on which it failed, and how often it failed in all.
    std::set<std::string> failed_on;
    std::uint64_t failures = 0;

    bool operator==(const job_record&) const = default;
};

/// The newest usage peaks of a kind of job, oldest first.
struct kind_usage
{
    std::deque<job_size> peaks;

    bool operator==(const kind_usage&) const = default;
};

/// What failures say about a host.
struct host_failures
{
    /// Different jobs that failed since the last one finished there.
    std::set<std::string> jobs;
    bool suspected = false;

    bool operator==(const host_failures&) const = default;
};

struct job_state
{
    std::map<std::string, job_record> jobs;
    std::map<std::string, kind_usage> kinds;
    std::map<std::string, host_failures> failures;
    /// Sums of `held`, by host and by team.
    std::map<std::string, job_size> held_on_host;
    std::map<std::string, job_size> held_by_team;

    bool operator==(const job_state&) const = default;
};

} // namespace dandeliontack
