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
/// partition, the owner record in the registry, and how long the claim is
/// valid without confirmation by the store.
class shard_claim
{
public:
    shard_claim(node_context& context, store_client& store, shard_id shard);

    /// Claims epoch `last` + 1. Returns false if another node claimed it first
    /// or the store is unavailable.
    boost::asio::awaitable<bool> take(std::uint64_t last);

    /// Writes this node to the registry as the owner of the shard, or the
    /// shard's release. Returns false if the store did not accept the record in
    /// time, a later owner is already registered, or the shard was released
    /// meanwhile.
    boost::asio::awaitable<bool> announce(bool released);

    /// Writes the queues of which the shard may hold submissions to the
    /// registry. Returns false if the store did not accept the record in time,
    /// or the shard was released.
    boost::asio::awaitable<bool> list_queues(shard_queues queues);

    /// Repeats the announcement until the registry has stored it or `is_over`
    /// returns true: other nodes send no requests to an unregistered owner.
    boost::asio::awaitable<void> announce_until(std::function<bool()> is_over);

    /// Appends to the shard's partition; returns false once the epoch has been
    /// superseded. If `records` is empty, appends an owner record, which only
    /// renews the claim.
    boost::asio::awaitable<bool> append(std::vector<keyed_record> records);

    /// Stops retrying an append whose outcome is not yet known.
    void abandon();

    /// Whether this node may still act as the owner: both the last write to the
    /// partition and the node's last announcement are recent enough. A
    /// successor claims the shard only after the node has been silent for
    /// longer than that.
    bool is_valid() const;
    /// Time until the claim has to be renewed; 0 or less when due.
    std::chrono::milliseconds until_renewal() const;

    std::uint64_t epoch() const;
    /// The registry's record of this node as the owner, or of its release.
    owner_record record(bool released) const;
    /// The writer of the shard's partition, for the outcome of the last append.
    const fenced_writer& writer() const;

private:
    /// Writes records to the registry; one call at a time.
    boost::asio::awaitable<bool>
    write_registry(std::vector<keyed_record> records);
    boost::asio::awaitable<bool>
    claim_registry(std::vector<keyed_record> records);
    owner_record own_record(std::uint64_t epoch, bool released) const;

    node_context& context_;
    shard_id shard_;
    fenced_writer writer_;
    fenced_writer registry_writer_;
    bool registry_claim_tried_ = false;
    bool announcing_ = false;
    bool released_ = false;
    wake_signal announced_;
};

} // namespace dandeliontack
