#pragma once

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace dandeliontack::harness
{

/// What the system says that a process uses.
struct process_usage
{
    std::uint64_t resident_bytes = 0;
    std::uint64_t peak_bytes = 0;
    std::size_t descriptors = 0;
};

std::string to_string(const process_usage& used);

/// Throws `std::runtime_error` if the process has ended.
process_usage usage_of(pid_t process);

/// The bounds of a process that is told to have a small machine, and what it
/// uses of it while a crowd presses. Created once the process is calm.
class small_machine
{
public:
    static constexpr std::uint64_t memory_bytes = 64ULL * 1024 * 1024;
    static constexpr std::size_t descriptors = 1000;

    explicit small_machine(pid_t process);

    /// Section `[limits]` that tells a program of the machine.
    static std::string limits_section();

    /// Waits until the memory no longer rises, within bounds.
    void settle();

    /// The most memory that the process may use: its machine's, or half as
    /// much again as when it was calm.
    std::uint64_t most_bytes() const;

    process_usage used() const
    {
        return usage_of(process_);
    }

    /// The most descriptors that were open at once while it settled.
    std::size_t most_descriptors() const
    {
        return most_descriptors_;
    }

private:
    pid_t process_;
    std::uint64_t calm_bytes_;
    std::size_t most_descriptors_ = 0;
};

} // namespace dandeliontack::harness
