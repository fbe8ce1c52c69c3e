#pragma once

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

/// One thing that is asked of a shard's owner.
struct shard_call
{
    enum class verb : std::uint8_t
    {
        submit,
        cancel,
        state,
        pending,
        evacuate,
        host_ended,
        demands,
        /// A node announces itself through the holder of the fleet duty.
        announce
    };
    verb what = verb::state;
    shard_id shard = 0;
    std::uint64_t submission = 0;
    /// A route for `pending`, a host for `evacuate` and
    /// `host_ended`, what is lent for `demands`, the announcement for
    /// `announce`.
    std::string name;
    std::optional<submission_record> record;
};

/// Finds the owner of a shard, here or on another node, and asks it.
class shard_router
{
public:
    shard_router(node_context& context, shard_map& shards);

    void own(std::shared_ptr<shard_owner> owner);
    void disown(shard_id shard);
    const std::map<shard_id, std::shared_ptr<shard_owner>>& owned() const;

    /// Asks the owner, again where it moved or did not answer, until
    /// `patience` has passed; `reach` bounds the time without an owner that
    /// can be reached. `rejected` means that nothing was sent to any owner.
    boost::asio::awaitable<shard_answer>
    ask(shard_call call, std::chrono::milliseconds patience,
        std::chrono::milliseconds reach);

    /// Asks several owners at the same time; the answers are in the order of
    /// the calls.
    boost::asio::awaitable<std::vector<shard_answer>> ask_all(
        std::vector<shard_call> calls, std::chrono::milliseconds patience,
        std::chrono::milliseconds reach);

    /// Asks the known owner once, if that is another node.
    boost::asio::awaitable<shard_answer>
    ask_once(shard_call call, std::chrono::milliseconds timeout);

    /// What stores announcements of other nodes here.
    using announcer =
        std::function<boost::asio::awaitable<shard_answer>(std::string)>;
    void set_announcer(announcer store);

    /// Answers a call of another node.
    boost::asio::awaitable<http_response> serve(http_request request);

    /// The registry changed.
    void changed();

    /// How the deployment is divided; nothing before that is known.
    const std::optional<fleet_layout>& layout() const;
    /// Whether a pool has ever had an owner.
    bool has_owners() const;

private:
    boost::asio::awaitable<shard_answer>
    ask_local(shard_owner& owner, shard_call call);
    boost::asio::awaitable<shard_answer> ask_remote(
        const owner_record& owner, const shard_call& call,
        std::chrono::milliseconds timeout);

    node_context& context_;
    shard_map& shards_;
    std::map<shard_id, std::shared_ptr<shard_owner>> owned_;
    announcer announcer_;
    wake_signal changed_;
};

} // namespace dandeliontack
