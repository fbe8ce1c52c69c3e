#pragma once

#include <dandeliontack/machine_list.hpp>
#include <dandeliontack/node_context.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandeliontack
{

/// Client of the platform's machine API: lists machines and orders upkeep and
/// moves. Performs no retries; callers decide whether to repeat a call.
class machine_client
{
public:
    /// `may_order` is checked before an order is sent; listing machines needs
    /// no permission.
    explicit machine_client(
        node_context& context, send_permission may_order = {});

    /// Returns all machines, or nullopt if any page of the list can't be read.
    boost::asio::awaitable<std::optional<machine_listing>> list();

    /// Send an order with a fencing token, in the name of this node.
    boost::asio::awaitable<machine_answer>
    upkeep(std::string machine, std::string wave, std::uint64_t fencing_token);
    boost::asio::awaitable<machine_answer>
    move(std::string machine, std::string pool, std::uint64_t fencing_token);

private:
    boost::asio::awaitable<machine_answer> order(http_request request);

    node_context& context_;
    std::string address_;
    send_permission may_order_;
};

} // namespace dandeliontack
