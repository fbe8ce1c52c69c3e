#include <dandeliontack/http_pool.hpp>

#include <boost/asio.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;

http_pool::http_pool(asio::any_io_executor executor, limits bounds)
    : executor_(std::move(executor)),
      limits_(bounds),
      budget_(std::make_shared<buffer_budget>(bounds.buffered_bytes))
{}

// Hosts come and go at new addresses: what is kept for a peer must not stay
// until that peer is called again.
void http_pool::close_old(time_point now)
{
    if (now - closed_old_ < limits_.longest_idle)
        return;
    closed_old_ = now;
    for (auto& [peer, connections] : idle_)
        std::erase_if(connections, [&](const idle_connection& kept) {
            return now - kept.since > limits_.longest_idle;
        });
    std::erase_if(idle_, [](const auto& item) { return item.second.empty(); });
}

http_connection http_pool::take(const endpoint& peer)
{
    const auto now = std::chrono::steady_clock::now();
    close_old(now);
    auto& idle = idle_[peer];
    while (!idle.empty() && (now - idle.front().since > limits_.longest_idle ||
                             !idle.front().connection.reusable()))
        idle.pop_front();
    if (idle.empty())
    {
        ++opened_;
        return {executor_, peer, limits_.response_bytes, budget_};
    }
    auto connection = std::move(idle.back().connection);
    idle.pop_back();
    return connection;
}

void http_pool::give_back(
    const endpoint& peer, http_connection connection,
    const exchange_result& last)
{
    if (std::holds_alternative<exchange_error>(last))
    {
        forget(peer);
        return;
    }
    auto& kept = idle_[peer];
    if (connection.reusable() && kept.size() < limits_.idle_per_peer)
        kept.push_back(
            {std::move(connection), std::chrono::steady_clock::now()});
}

asio::awaitable<exchange_result> http_pool::exchange(
    endpoint peer, http_request request, std::chrono::milliseconds timeout,
    send_permission may_send, std::optional<body_time> body)
{
    auto connection = take(peer);
    auto result = co_await connection.exchange_in_place(
        request, timeout, std::move(may_send), body);
    give_back(peer, std::move(connection), result);
    co_return result;
}

asio::awaitable<exchange_result> http_pool::exchange(
    endpoint peer, http_request request, std::chrono::milliseconds timeout,
    send_permission may_send, peer_check check)
{
    auto connection = take(peer);
    // Asked right before the request is written, as the connection may have
    // been opened anew by then.
    bool is_named = true;
    const send_permission may_send_to_named = [&] {
        is_named = connection.peer_name() == check.expected;
        return is_named && (!may_send || may_send());
    };
    auto result = co_await connection.exchange_in_place(
        request, timeout, may_send_to_named);
    if (!is_named)
    {
        result = co_await connection.exchange_in_place(
            check.question, timeout, may_send);
        const auto* answer = std::get_if<http_response>(&result);
        if (answer && connection.reusable())
            connection.set_peer_name(check.name_of(*answer));
        if (auto* error = std::get_if<exchange_error>(&result))
            error->result = outcome::not_run;
        else if (!check.question_suffices)
            result = co_await connection.exchange_in_place(
                request, timeout, may_send_to_named);
    }
    give_back(peer, std::move(connection), result);
    co_return result;
}

std::uint64_t http_pool::buffered_bytes() const
{
    return budget_->held();
}

void http_pool::forget(const endpoint& peer)
{
    idle_.erase(peer);
}

std::uint64_t http_pool::opened() const
{
    return opened_;
}

std::size_t http_pool::idle() const
{
    return std::accumulate(
        idle_.begin(), idle_.end(), std::size_t{0},
        [](std::size_t sum, const auto& item) {
            return sum + item.second.size();
        });
}

} // namespace dandeliontack
