#include <dandeliontack/slot_share.hpp>
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

void upstream_pool::lease::report(bool well)
{
    if (well)
        pool_->health_.succeeded(target_.address);
    else
        pool_->health_.failed(
            target_.address, std::chrono::steady_clock::now());
}

void upstream_pool::lease::report_leaving()
{
    pool_->health_.leaves(target_.address, std::chrono::steady_clock::now());
}

upstream_pool::upstream_pool(
    boost::asio::any_io_executor executor, upstream_limits limits)
    : executor_(std::move(executor)), limits_(std::move(limits)), freed_([] {})
{}

void upstream_pool::on_freed(std::function<void()> freed)
{
    freed_ = std::move(freed);
}

std::uint64_t upstream_pool::limit_of(
    const upstream& target, bool any_healthy, time_point now) const
{
    const auto share = slot_share(
        std::min(target.slots, target.connections), limits_.sharers,
        limits_.index, target.host);
    if (any_healthy)
        return health_.limit(target.address, share, now);
    return health_.leaving(target.address, now) ? 0 : share;
}

std::optional<upstream_pool::lease>
upstream_pool::acquire(const std::vector<upstream>& candidates)
{
    const auto now = std::chrono::steady_clock::now();
    const bool any_healthy =
        std::ranges::any_of(candidates, [&](const upstream& candidate) {
            return limit_of(candidate, true, now) != 0;
        });
    const upstream* best = nullptr;
    std::uint64_t fewest = 0;
    // Begins at a different candidate each time, so that ties are spread.
    const auto first = turn_++;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        const auto& candidate = candidates[(first + i) % candidates.size()];
        const auto busy = peers_[candidate.address].in_flight;
        if (busy < limit_of(candidate, any_healthy, now) &&
            (!best || busy < fewest))
        {
            best = &candidate;
            fewest = busy;
        }
    }
    if (!best)
        return std::nullopt;
    ++peers_[best->address].in_flight;
    return lease(*this, *best, take_connection(*best));
}

std::unique_ptr<http_connection>
upstream_pool::take_connection(const upstream& target)
{
    auto& idle = peers_[target.address].idle;
    if (idle.empty())
        return std::make_unique<http_connection>(
            executor_, target.address, limits_.body_bytes, limits_.budget);
    auto connection = std::move(idle.back());
    idle.pop_back();
    return connection;
}

void upstream_pool::give_back(
    const upstream& target, std::unique_ptr<http_connection> connection)
{
    auto& owner = peers_[target.address];
    --owner.in_flight;
    if (connection->reusable())
        owner.idle.push_back(std::move(connection));
    freed_();
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
