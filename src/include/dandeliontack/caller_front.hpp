#pragma once

#include <dandeliontack/configuration_relay.hpp>
#include <dandeliontack/http.hpp>
#include <dandeliontack/node_context.hpp>
#include <dandeliontack/queue_table.hpp>
#include <dandeliontack/shard_router.hpp>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
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

    boost::asio::awaitable<http_response> handle(http_request request);

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
        std::chrono::milliseconds timeout{0};
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
    /// Asks one cell after the other, the most probable one first. `not_found`
    /// means that no cell has the submission.
    boost::asio::awaitable<shard_answer>
    ask_cells(request_scope& scope, shard_call::verb verb, std::uint64_t id);
    shard_id shard_in(const request_scope& scope, cell_id cell) const;
    /// The shards outside the queue's pool that may hold submissions of it,
    /// since earlier configurations sent it to other pools.
    std::vector<shard_id> former_shards(const request_scope& scope) const;
    /// Asks all former shards. The answer of the one that has the submission;
    /// `not_found` if none has; else that of one that does not say.
    boost::asio::awaitable<shard_answer>
    ask_former_shards(request_scope& scope, shard_call call);
    /// The answer to a request for a queue that the configuration doesn't name.
    http_response refuse_queue(std::string_view path) const;
    /// The answer to a request without the key of an account.
    http_response refuse_key(
        const queue_table& table, const queue_entry& queue, bool has_key);
    http_response owner_error_response(
        const shard_answer& answer, const request_scope& scope);

    node_context& context_;
    shard_router& router_;
    const configuration_relay& configurations_;
    std::shared_ptr<const queue_table> table_;
};

} // namespace dandeliontack
