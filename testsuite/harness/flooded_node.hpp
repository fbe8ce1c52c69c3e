#pragma once

#include "cluster.hpp"

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
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

/// A node with little memory and few descriptors on a stand-in of the
/// platform, to be flooded by its callers or its hosts.
class flooded_node
{
public:
    static constexpr std::uint64_t memory_bytes = 64ULL * 1024 * 1024;
    static constexpr std::size_t descriptors = 1000;

    /// Starts the node and waits until it serves; throws
    /// `std::runtime_error` if it doesn't.
    flooded_node();

    const endpoint& callers() const
    {
        return callers_;
    }
    const endpoint& platform() const
    {
        return platform_address_;
    }

    /// Whether the node comes to answer one ordinary request.
    bool serves();

    /// Waits until the node's memory no longer rises, within bounds.
    void settle();

    /// The most memory that the node may use: its machine's, or half as much
    /// again as when it was calm.
    std::uint64_t most_bytes() const;

    /// Throws `std::runtime_error` if the node has ended.
    process_usage used() const;

    /// The most descriptors that were open at once while the node settled.
    std::size_t most_descriptors() const
    {
        return most_descriptors_;
    }

private:
    child_process start_node() const;

    temporary_folder folder_;
    child_process platform_;
    endpoint platform_address_;
    child_process node_;
    endpoint callers_;
    std::uint64_t calm_bytes_ = 0;
    std::size_t most_descriptors_ = 0;
};

} // namespace dandeliontack::harness
