#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace dandeliontack
{

/// How soon a job must run.
enum class job_class : std::uint8_t
{
    urgent,
    normal,
    deferrable
};

/// A job, as operators publish it. Accepted, it is never dropped.
struct job_config
{
    std::string name;
    std::string team;
    std::string pool;
    job_class priority = job_class::normal;
    /// Declared sizes; they are hints.
    std::uint64_t processors = 1;
    std::uint64_t memory_mb = 1024;
    std::uint64_t accelerators = 0;
    std::chrono::milliseconds run_time = std::chrono::minutes(10);
    /// The kind of work, by which estimates are learned.
    std::string kind;
    /// Published with this set, the job is to be stopped.
    bool cancelled = false;

    bool operator==(const job_config&) const = default;
};

} // namespace dandeliontack
