#pragma once

#include <dandeliontack/job_size.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace dandeliontack
{

/// What the platform does to a job when told.
enum class job_action : std::uint8_t
{
    start,
    throttle,
    checkpoint,
    stop
};

/// Why a job is reported as one that cannot run.
enum class unrunnable_reason : std::uint8_t
{
    fits_no_host,
    exceeds_quota,
    fails_on_hosts
};

/// The leader places a waiting job on a host. The record's offset becomes the
/// job's lease, which every later record about this run must name.
struct job_placed
{
    std::string job;
    std::string host;
    /// What the job holds of the host and of its team's quota.
    job_size size;
};

/// The platform says that the job runs.
struct job_started
{
    std::string job;
    std::uint64_t lease = 0;
};

/// What the job used of late, as the platform reports it with a lag.
struct job_reported
{
    std::string job;
    std::uint64_t lease = 0;
    job_size usage;
};

/// The leader changes what a running job holds, where there is room.
struct job_resized
{
    std::string job;
    std::uint64_t lease = 0;
    job_size size;
};

/// The leader wants the platform to throttle, checkpoint or stop a job.
struct job_action_requested
{
    std::string job;
    std::uint64_t lease = 0;
    job_action action = job_action::stop;
};

/// The platform says that the job is done.
struct job_finished
{
    std::string job;
    std::uint64_t lease = 0;
};

/// The platform says that the job failed on its host.
struct job_failed
{
    std::string job;
    std::uint64_t lease = 0;
};

/// The job left its host and may go on from its checkpoint elsewhere.
struct job_checkpointed
{
    std::string job;
    std::uint64_t lease = 0;
};

/// The job left its host and starts anew, unless it is cancelled.
struct job_stopped
{
    std::string job;
    std::uint64_t lease = 0;
};

/// The leader found the job's host gone, and its lease with it.
struct job_lost
{
    std::string job;
    std::uint64_t lease = 0;
};

/// The leader reports that a waiting job can't run as things are.
struct job_unrunnable
{
    std::string job;
    unrunnable_reason reason = unrunnable_reason::fits_no_host;
};

/// The reason why a job could not run is gone; it waits again.
struct job_reopened
{
    std::string job;
};

/// Several different jobs failed on a host: it gets no more of them, and its
/// quarantine is suggested.
struct host_suspected
{
    std::string host;
};

/// A suspected host is gone from the platform's list; what comes back under
/// its name is trusted anew.
struct host_cleared
{
    std::string host;
};

using job_event = std::variant<
    job_placed, job_started, job_reported, job_resized, job_action_requested,
    job_finished, job_failed, job_checkpointed, job_stopped, job_lost,
    job_unrunnable, job_reopened, host_suspected, host_cleared>;

} // namespace dandeliontack
