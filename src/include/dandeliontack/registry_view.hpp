#pragma once

#include <dandeliontack/shard_map.hpp>

#include <functional>

namespace dandeliontack
{

/// What a node has read of the registry, and how to get a newer view.
struct registry_view
{
    /// Outlives this.
    const shard_map& shards;
    /// Reads the registry again soon.
    std::function<void()> refresh;
};

} // namespace dandeliontack
