#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>

namespace dandeliontack::capacity
{

/// What a process has used so far.
struct process_usage
{
    std::chrono::nanoseconds processor_time{};
    std::uint64_t resident_bytes = 0;
};

/// Reads a process's use from /proc.
process_usage read_usage(pid_t process);

/// The processor time of the calling thread.
std::chrono::nanoseconds thread_processor_time();

/// Bytes that this process holds from the allocator.
std::uint64_t heap_bytes();

} // namespace dandeliontack::capacity
