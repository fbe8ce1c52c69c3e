#pragma once

#include <dandeliontack/configuration_relay.hpp>
#include <dandeliontack/node_context.hpp>
#include <dandeliontack/shard_map.hpp>
#include <dandeliontack/shard_owner.hpp>
#include <dandeliontack/shard_service.hpp>
#include <dandeliontack/wake_signal.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dandeliontack
{

/// A call to the owner of a shard.
struct shard_call
{
    enum class verb : std::uint8_t
    {
        submit,
        /// Whether a submission that would now go to another shard was accepted
        /// by this one.
        find,
        cancel,
        /// Cancels a submission, or keeps it from being accepted later.
        withdraw,
        state,
        pending,
        evacuate,
        host_ended,
        demands,
        /// Asks the holder of the fleet duty to store a node's announcement.
        announce,
        /// Tells a node who owns a shard, or that its owner released it.
        owner_changed,
        /// Asks a node for the version of its configuration and its age.
        configuration_version,
        /// Asks a node for a newer configuration than that of a version.
        configuration
    };
    verb kind = verb::state;
    shard_id shard = 0;
    std::uint64_t submission = 0;
    /// The argument: an account for `withdraw`, a route for `pending`, a host
    /// for `evacuate`, the encoded departure for `host_ended`, the encoded host
    /// loans for `demands`, the encoded announcement for `announce`, the
    /// encoded owner record for `owner_changed`, the known version, in decimal,
    /// for `configuration`.
    std::string name;
    /// For `submit` and `find`; shared, as a call may be repeated.
    std::shared_ptr<const submission_record> record;
    /// The queue whose places the answer to `withdraw`, `state` or `pending` is
    /// to name; 0 for none.
    std::uint64_t queue = 0;
    /// For `submit`: the shards that don't have the submission.
    asked_shards asked{};
    /// After this time the caller waits for no answer; 0 if it doesn't say.
    std::chrono::milliseconds timeout{0};
};

/// The configuration of another node.
struct peer_configuration
{
    /// In the operator's encoding; empty if there is none.
    std::string encoded;
    /// Why there is none.
    std::string reason;
    /// Bytes that the answer had, or that had arrived of it.
    std::uint64_t received = 0;
};

/// Finds the owner of a shard, in this process or on another node, and calls
/// it.
class shard_router
{
public:
    shard_router(node_context& context, shard_map& shards);

    void add_owner(std::shared_ptr<shard_owner> owner);
    void remove_owner(shard_id shard);
    const std::map<shard_id, std::shared_ptr<shard_owner>>& owners() const;

    /// Calls the owner, and retries until `total_timeout` if it moved or did
    /// not answer. `reach_timeout` bounds the time without a reachable owner.
    /// `rejected` means that the call was not applied: an owner refused it, or
    /// none could be reached.
    boost::asio::awaitable<shard_answer>
    ask(shard_call call, std::chrono::milliseconds total_timeout,
        std::chrono::milliseconds reach_timeout);

    /// Makes several calls concurrently; the answers are in the order of the
    /// calls.
    boost::asio::awaitable<std::vector<shard_answer>> ask_all(
        std::vector<shard_call> calls, std::chrono::milliseconds total_timeout,
        std::chrono::milliseconds reach_timeout);

    /// Calls the known owner without retries, if it is another node.
    boost::asio::awaitable<shard_answer>
    ask_once(shard_call call, std::chrono::milliseconds timeout);

    /// Stores an announcement of another node, while this node holds the fleet
    /// duty.
    using announcement_store =
        std::function<boost::asio::awaitable<shard_answer>(std::string)>;
    void set_announcement_store(announcement_store store);

    /// The configuration that other nodes may ask for; outlives this.
    void set_configuration_source(configuration_relay& source);
    /// Asks nodes for the versions of their configurations. Returns the answers
    /// as soon as one is newer than `known`, or when all have come or timed
    /// out.
    boost::asio::awaitable<std::vector<peer_version>>
    ask_versions(std::vector<node_announcement> nodes, std::uint64_t known);
    /// Fetches a configuration newer than `version` from a node.
    boost::asio::awaitable<peer_configuration>
    fetch_configuration(node_announcement node, std::uint64_t version);

    /// Handles a call from another node that arrived at `arrived` or later.
    boost::asio::awaitable<http_response>
    serve(http_request request, boot_time arrived);

    /// Wakes calls that wait for an owner after the registry has changed.
    void notify_owner_change();
    /// Returns at the next change of an owner, or when `longest` has passed.
    boost::asio::awaitable<void>
    wait_for_owner_change(std::chrono::milliseconds longest);

    /// Tells the live nodes about a claim or a release at once; the registry
    /// says the same to those that it does not reach, but is read only a few
    /// times a second. A released shard's owner must have stopped acting.
    void tell_nodes(shard_id shard, const owner_record& owner);

    /// The deployment's layout; empty until it has been read.
    const std::optional<fleet_layout>& layout() const;
    /// Whether any pool has ever had an owner.
    bool has_pool_owners() const;
    /// The registry as this node has read it.
    const shard_map& shards() const;
    /// Applies the owners that another node names.
    void learn_owners(const queue_places& places);

private:
    boost::asio::awaitable<shard_answer>
    ask_local(shard_owner& owner, shard_call call);
    boost::asio::awaitable<shard_answer> ask_remote(
        const owner_record& owner, const shard_call& call, http_request request,
        std::chrono::milliseconds timeout);
    boost::asio::awaitable<std::optional<peer_version>>
    ask_version(node_announcement node);
    shard_answer answer_configuration(const shard_call& call) const;
    boost::asio::awaitable<void>
    tell_node(std::string address, shard_call call);

    node_context& context_;
    shard_map& shards_;
    std::map<shard_id, std::shared_ptr<shard_owner>> owners_;
    announcement_store announcement_store_;
    configuration_relay* configuration_source_ = nullptr;
    wake_signal owner_changed_;
};

} // namespace dandeliontack
