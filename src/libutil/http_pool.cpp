#include <dandeliontack/http_pool.hpp>

#include <boost/asio.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;

http_pool::http_pool(asio::any_io_executor executor, limits bounds)
    : executor_(std::move(executor)), limits_(bounds)
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

asio::awaitable<exchange_result> http_pool::exchange(
    endpoint peer, http_request request, std::chrono::milliseconds timeout,
    send_permission may_send)
{
    const auto now = std::chrono::steady_clock::now();
    close_old(now);
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
    auto result = co_await connection->exchange(
        std::move(request), timeout, std::move(may_send));
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

std::size_t http_pool::idle() const
{
    return std::accumulate(
        idle_.begin(), idle_.end(), std::size_t{0},
        [](std::size_t sum, const auto& item) {
            return sum + item.second.size();
        });
}

} // namespace dandeliontack
