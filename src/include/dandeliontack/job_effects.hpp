#pragma once

#include <dandeliontack/job_events.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace dandeliontack
{

/// A job should be started, checkpointed, throttled or stopped by the platform.
/// `term` and `offset` fence it: the platform refuses one that is older than
/// the last it took for the same job.
struct job_command
{
    std::string job;
    std::string host;
    job_action action = job_action::stop;
    /// The run that is meant: the offset of the record that placed it.
    std::uint64_t lease = 0;
    std::uint64_t term = 0;
    std::uint64_t offset = 0;
};

/// Different jobs fail on the host: whoever owns its life cycle should
/// quarantine it as soon as the pool's budget allows.
struct quarantine_suggested
{
    std::string host;
};

/// A job can't run as things are; operators should be told.
struct job_unrunnable_reported
{
    std::string job;
    unrunnable_reason reason = unrunnable_reason::fits_no_host;
};

using job_effect =
    std::variant<job_command, quarantine_suggested, job_unrunnable_reported>;

} // namespace dandeliontack
