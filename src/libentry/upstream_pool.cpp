#include <dandeliontack/upstream_pool.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

namespace dandeliontack
{

upstream_pool::lease::lease(
    upstream_pool& pool, upstream target,
    std::unique_ptr<http_connection> connection)
    : pool_(&pool),
      target_(std::move(target)),
      connection_(std::move(connection))
{}

upstream_pool::lease::lease(lease&& other) noexcept
    : pool_(std::exchange(other.pool_, nullptr)),
      target_(std::move(other.target_)),
      connection_(std::move(other.connection_))
{}

upstream_pool::lease::~lease()
{
    if (pool_)
        pool_->give_back(target_, std::move(connection_));
}

upstream_pool::upstream_pool(
    boost::asio::any_io_executor executor, std::uint64_t sharers,
    std::uint64_t body_limit)
    : executor_(std::move(executor)), sharers_(sharers), body_limit_(body_limit)
{}

std::uint64_t upstream_pool::share_of(const upstream& target) const
{
    const auto usable = std::min(target.slots, target.connections);
    return std::max<std::uint64_t>(1, usable / sharers_);
}

std::optional<upstream_pool::lease>
upstream_pool::acquire(const std::vector<upstream>& candidates)
{
    const upstream* best = nullptr;
    std::uint64_t fewest = 0;
    // Begins at a different candidate each time, so that ties are spread.
    const auto first = turn_++;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        const auto& candidate = candidates[(first + i) % candidates.size()];
        const auto busy = peers_[candidate.address].in_flight;
        if (busy < share_of(candidate) && (!best || busy < fewest))
        {
            best = &candidate;
            fewest = busy;
        }
    }
    if (!best)
        return std::nullopt;
    auto& chosen = peers_[best->address];
    ++chosen.in_flight;
    std::unique_ptr<http_connection> connection;
    if (chosen.idle.empty())
        connection = std::make_unique<http_connection>(
            executor_, best->address, body_limit_);
    else
    {
        connection = std::move(chosen.idle.back());
        chosen.idle.pop_back();
    }
    return lease(*this, *best, std::move(connection));
}

void upstream_pool::give_back(
    const upstream& target, std::unique_ptr<http_connection> connection)
{
    auto& owner = peers_[target.address];
    --owner.in_flight;
    if (connection->reusable())
        owner.idle.push_back(std::move(connection));
}

std::uint64_t upstream_pool::in_flight() const
{
    return std::accumulate(
        peers_.begin(), peers_.end(), std::uint64_t{0},
        [](std::uint64_t sum, const auto& item) {
            return sum + item.second.in_flight;
        });
}

} // namespace dandeliontack
