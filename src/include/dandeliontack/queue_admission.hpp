#pragma once

#include <dandeliontack/queue_table.hpp>
#include <dandeliontack/shard_map.hpp>
#include <dandeliontack/stored_records.hpp>

#include <cstdint>
#include <map>

namespace dandeliontack
{

/// Decides of which queues a shard may accept submissions, so that each has one
/// place for its whole life: every node finds the shard in the registry, and a
/// shard that a configuration takes a queue from accepts no late copies.
class queue_admission
{
public:
    /// `listed` are the queues that the registry lists for the shard.
    explicit queue_admission(shard_queues listed);

    /// Applies a configuration: queues that it sends to `shard` are to be
    /// listed, the others are closed.
    void
    apply(const queue_table& table, shard_id shard, std::uint64_t partitions);
    /// A queue that the registry has to list before a submission is accepted.
    void want(std::uint64_t queue);
    /// Accepts no submissions of the queue any more under the configuration of
    /// `terms` or an earlier one.
    void close(const queue_terms& terms);

    /// The list to store in the registry; nullptr if it is stored.
    const shard_queues* unlisted() const;
    /// The registry has stored `list`.
    void set_listed(shard_queues list);

    bool is_listed(std::uint64_t queue) const;
    /// Whether the shard is open for the queue under the configuration of
    /// `terms`. Accepting also requires that the queue is listed.
    bool is_open(const queue_terms& terms) const;

private:
    shard_queues listed_;
    shard_queues wanted_;
    /// The newest configuration known to send a queue elsewhere, by queue.
    std::map<std::uint64_t, std::uint64_t> closed_;
};

} // namespace dandeliontack
