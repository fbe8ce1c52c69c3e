#pragma once

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
    std::string action;
    std::uint64_t term = 0;
    std::uint64_t offset = 0;
};

using job_effect = std::variant<job_command>;

} // namespace dandeliontack
