#include <dandeliontack/http_pool.hpp>

#include <boost/asio.hpp>

#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;

http_pool::http_pool(asio::any_io_executor executor, limits bounds)
    : executor_(std::move(executor)), limits_(bounds)
{}

asio::awaitable<exchange_result> http_pool::exchange(
    endpoint peer, http_request request, std::chrono::milliseconds timeout)
{
    const auto now = std::chrono::steady_clock::now();
    auto& idle = idle_[peer];
    while (!idle.empty() && (now - idle.front().since > limits_.longest_idle ||
                             !idle.front().connection.reusable()))
        idle.pop_front();
    std::optional<http_connection> connection;
    if (idle.empty())
    {
        connection.emplace(executor_, peer);
        ++opened_;
    }
    else
    {
        connection = std::move(idle.back().connection);
        idle.pop_back();
    }
    auto result = co_await connection->exchange(std::move(request), timeout);
    if (std::holds_alternative<exchange_error>(result))
    {
        forget(peer);
    }
    else if (connection->reusable())
    {
        auto& kept = idle_[peer];
        if (kept.size() < limits_.idle_per_peer)
            kept.push_back(
                {std::move(*connection), std::chrono::steady_clock::now()});
    }
    co_return result;
}

void http_pool::forget(const endpoint& peer)
{
    idle_.erase(peer);
}

std::uint64_t http_pool::opened() const
{
    return opened_;
}

} // namespace dandeliontack
