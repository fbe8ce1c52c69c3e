#pragma once

#include <dandeliontack/http.hpp>
#include <dandeliontack/node_context.hpp>
#include <dandeliontack/queue_table.hpp>
#include <dandeliontack/shard_router.hpp>

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace dandeliontack
{

/// Answers callers: takes submissions, tells their state, cancels them, and
/// counts what waits in a queue.
class caller_front
{
public:
    caller_front(node_context& context, shard_router& router);

    /// Takes a newer configuration into force; an older one is ignored.
    void set_table(std::shared_ptr<const queue_table> table);
    const queue_table* table() const;
    std::shared_ptr<const queue_table> shared_table() const;

    boost::asio::awaitable<http_response> handle(http_request request);

private:
    struct subject
    {
        queue_entry queue;
        const fleet_layout& layout;
        /// The shard that answered, or will.
        shard_id shard = 0;
        /// What the path says behind the queue's prefix.
        std::string rest;
        std::chrono::milliseconds patience{0};
    };

    boost::asio::awaitable<http_response>
    submit(const http_request& request, subject& what);
    boost::asio::awaitable<http_response> state(subject& what);
    boost::asio::awaitable<http_response> cancel(subject& what);
    boost::asio::awaitable<http_response> pending(const subject& what);
    /// Asks one cell after the other, the likeliest first. `not_found` means
    /// that none knows it.
    boost::asio::awaitable<shard_answer>
    ask_about(subject& what, shard_call::verb verb, std::uint64_t id);
    shard_id shard_in(const subject& what, cell_id cell) const;
    http_response unserved(const shard_answer& answer, const subject& what);

    node_context& context_;
    shard_router& router_;
    std::shared_ptr<const queue_table> table_;
};

} // namespace dandeliontack
