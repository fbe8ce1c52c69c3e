#pragma once

#include "cluster.hpp"
#include "process_usage.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace dandeliontack::harness
{

/// A node with little memory and few descriptors on a stand-in of the
/// platform, to be flooded by its callers or its hosts.
class flooded_node
{
public:
    static constexpr std::size_t descriptors = small_machine::descriptors;

    /// Starts the node and waits until it serves; throws
    /// `std::runtime_error` if it doesn't. `limits` ends its settings.
    explicit flooded_node(
        const std::string& limits = small_machine::limits_section());

    /// What the node announced under a name of section `[listen]`.
    endpoint address_of(const std::string& name)
    {
        return node_.address_of(name);
    }
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
    void settle()
    {
        machine_->settle();
    }

    /// The most memory that the node may use; see `small_machine`.
    std::uint64_t most_bytes() const
    {
        return machine_->most_bytes();
    }

    const small_machine& machine() const
    {
        return *machine_;
    }

    /// Throws `std::runtime_error` if the node has ended.
    process_usage used() const
    {
        return machine_->used();
    }

    /// The most descriptors that were open at once while the node settled.
    std::size_t most_descriptors() const
    {
        return machine_->most_descriptors();
    }

private:
    child_process start_node(const std::string& limits) const;

    temporary_folder folder_;
    child_process platform_;
    endpoint platform_address_;
    child_process node_;
    endpoint callers_;
    std::optional<small_machine> machine_;
};

} // namespace dandeliontack::harness
