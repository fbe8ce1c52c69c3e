#pragma once

#include <dandeliontack/shard_map.hpp>
#include <dandeliontack/store_client.hpp>
#include <dandeliontack/wake_signal.hpp>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <vector>

namespace dandeliontack
{

/// A node's claim to a shard: the epoch under which it writes the shard's
/// partition, what the registry says of it, and how long the right lasts.
class shard_claim
{
public:
    shard_claim(node_context& context, store_client& store, shard_id shard);

    /// Takes the epoch after `last`. False where another node was first or the
    /// store is away.
    boost::asio::awaitable<bool> take(std::uint64_t last);

    /// Tells the registry who owns the shard, or that it was given back. False
    /// where the store did not take it in time, where a later owner has
    /// announced itself, or where it was given back meanwhile.
    boost::asio::awaitable<bool> announce(bool released);

    /// Announces the claim again and again until the registry has it or
    /// `is_over`: an owner that nobody knows of serves nobody.
    boost::asio::awaitable<void> announce_until(std::function<bool()> is_over);

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
    boost::asio::awaitable<bool>
    claim_registry(std::vector<keyed_record> records);
    owner_record mine(std::uint64_t epoch, bool released) const;

    node_context& context_;
    shard_id shard_;
    fenced_writer writer_;
    fenced_writer registry_writer_;
    bool registry_tried_ = false;
    bool announcing_ = false;
    bool released_ = false;
    wake_signal announced_;
};

} // namespace dandeliontack
