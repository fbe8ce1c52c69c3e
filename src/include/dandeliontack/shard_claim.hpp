#pragma once

#include <dandeliontack/shard_map.hpp>
#include <dandeliontack/store_client.hpp>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <vector>

namespace dandeliontack
{

/// A node's claim to a shard: the epoch under which it writes the shard's
/// partition, what the registry says of it, and how long the right lasts.
class shard_claim
{
public:
    shard_claim(node_context& context, store_client& store, shard_id shard);

    /// Takes an epoch above `last`. False where another node was first or the
    /// store is away.
    boost::asio::awaitable<bool> take(std::uint64_t last);

    /// Tells the registry who owns the shard, or that it was given back.
    boost::asio::awaitable<bool> announce(bool released);

    /// Appends to the shard's partition; false once the epoch is lost. Without
    /// records it appends one that only renews the claim.
    boost::asio::awaitable<bool> append(std::vector<keyed_record> records);

    /// Ends the waiting of an append that can't be settled.
    void abandon();

    /// Whether orders may be given now. A successor claims the shard only
    /// after this node's announcements have stayed out for longer than that.
    bool has_right() const;
    /// What is left until the claim has to be renewed; 0 or less when due.
    std::chrono::milliseconds until_renewal() const;

    std::uint64_t epoch() const;
    /// What became of the last append.
    const fenced_writer& writer() const;

private:
    owner_record mine(std::uint64_t epoch, bool released) const;

    node_context& context_;
    shard_id shard_;
    fenced_writer writer_;
    fenced_writer registry_writer_;
};

} // namespace dandeliontack
