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

/// The one client of the platform's list of machines and of its orders about
/// them. Never retries by itself.
class machine_client
{
public:
    /// `may_order` permits orders; the list needs no permission.
    explicit machine_client(
        node_context& context, send_permission may_order = {});

    /// All machines; nothing where the list can't be read whole.
    boost::asio::awaitable<std::optional<std::vector<listed_machine>>> list();

    /// Orders under a fencing token, in this node's name.
    boost::asio::awaitable<machine_answer>
    upkeep(std::string machine, std::string wave, std::uint64_t fence);
    boost::asio::awaitable<machine_answer>
    move(std::string machine, std::string pool, std::uint64_t fence);

private:
    boost::asio::awaitable<machine_answer> order(http_request request);

    node_context& context_;
    std::string address_;
    send_permission may_order_;
};

} // namespace dandeliontack
