#pragma once

#include <dandeliontack/configuration_relay.hpp>
#include <dandeliontack/http.hpp>
#include <dandeliontack/node_context.hpp>
#include <dandeliontack/queue_places.hpp>
#include <dandeliontack/queue_table.hpp>
#include <dandeliontack/shard_router.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace dandeliontack
{

/// The HTTP API for callers: accepts submissions, reports their state, cancels
/// them, and counts the pending submissions of a queue.
class caller_front
{
public:
    /// `configurations` tells whether the configuration in force may be
    /// outdated; outlives this.
    caller_front(
        node_context& context, shard_router& router,
        const configuration_relay& configurations);

    /// Applies a newer configuration; an older one is ignored.
    void set_table(std::shared_ptr<const queue_table> table);
    const queue_table* table() const;
    std::shared_ptr<const queue_table> shared_table() const;

    /// The request may have arrived at `arrived` or later; its caller's timeout
    /// counts from there.
    boost::asio::awaitable<http_response>
    handle(http_request request, boot_time arrived);

private:
    struct request_scope
    {
        queue_entry queue;
        /// The account of the request's key; empty for a public queue.
        std::string account;
        const fleet_layout& layout;
        /// The shard that was called last.
        shard_id shard = 0;
        /// The path after the queue's prefix: the submission id, or empty.
        std::string path_suffix;
        /// When the response has to be ready.
        boot_time deadline;

        /// At least 1 ms.
        std::chrono::milliseconds time_left() const;
    };

    boost::asio::awaitable<http_response>
    submit(std::string body, request_scope& scope);
    /// Refuses a submission whose record the store would not accept.
    std::optional<http_response>
    check_stored_size(const submission_record& record) const;
    boost::asio::awaitable<shard_answer>
    submit_once(shard_call call, request_scope& scope);
    boost::asio::awaitable<http_response> state(request_scope& scope);
    boost::asio::awaitable<http_response> cancel(request_scope& scope);
    boost::asio::awaitable<http_response> pending(const request_scope& scope);
    /// Asks one cell after the other, the most probable one first; the last one
    /// names all places of `queue`, unless it is 0.
    boost::asio::awaitable<shard_answer>
    ask_cells(request_scope& scope, shard_call call, std::uint64_t queue);
    /// Asks the cells for the submission's state, then all other shards that
    /// may hold submissions of the queue. `not_found` means that none has it,
    /// by the word of an owner that has read the registry since the request.
    boost::asio::awaitable<shard_answer>
    find_state(request_scope& scope, std::uint64_t id);
    /// Cancels the submission wherever it is. `not_found` means that none of
    /// the queue's shards has it, nor accepts it any more.
    boost::asio::awaitable<shard_answer>
    withdraw(request_scope& scope, std::uint64_t id);
    /// Asks the shards that `search` has left. The answer of the one that has
    /// the submission, or from which it was withdrawn; `not_found` if none has;
    /// else that of one that does not say. Adds the places that owners name.
    boost::asio::awaitable<shard_answer> ask_places(
        request_scope& scope, const shard_call& call, place_search& search);
    /// Adds those of the places that an owner names for which `may_have` holds,
    /// and applies their owners.
    void learn(
        const queue_places& places, place_search& search,
        const std::function<bool(shard_id)>& may_have);
    /// The places that an answer names; none if they can't be read.
    queue_places read_places(std::string_view encoded);
    shard_id shard_in(const request_scope& scope, cell_id cell) const;
    /// The shards outside the queue's pool that may hold submissions of it,
    /// since earlier configurations sent it to other pools, as far as this node
    /// knows.
    std::vector<shard_id> former_shards(const request_scope& scope) const;
    /// The answer to a request for a queue that the configuration doesn't name.
    http_response refuse_queue(std::string_view path) const;
    /// The answer where this node knows no such thing, but may be outdated.
    http_response refuse_as_outdated(std::string_view unknown) const;
    /// The answer to a request without the key of an account.
    http_response refuse_key(
        const queue_table& table, const queue_entry& queue, bool has_key);
    /// The answer to a request that has waited here for longer than its caller
    /// does.
    http_response refuse_as_expired(
        std::string_view path, std::chrono::milliseconds waited,
        std::chrono::milliseconds timeout);
    http_response owner_error_response(
        const shard_answer& answer, const request_scope& scope);

    node_context& context_;
    shard_router& router_;
    const configuration_relay& configurations_;
    std::shared_ptr<const queue_table> table_;
};

} // namespace dandeliontack
