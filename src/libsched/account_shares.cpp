#include <dandeliontack/account_shares.hpp>
#include <dandeliontack/pool_demand.hpp>

#include <algorithm>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;
using exact_seconds = std::chrono::duration<double>;
using exact_milliseconds = std::chrono::duration<double, std::milli>;

constexpr auto min_return_time = 1000ms;
// Callers that are told a later time would find a pool of which nothing is
// known now.
constexpr auto max_return_time = 30'000ms;

std::chrono::milliseconds whole(double milliseconds)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::min(exact_milliseconds(milliseconds), exact_milliseconds(24h)));
}

} // namespace

bool account_entitlement::take(
    std::string_view account, double per_second,
    std::chrono::sys_time<std::chrono::milliseconds> at)
{
    const double most = std::max(per_second, 1.0);
    auto found = buckets_.find(account);
    if (found == buckets_.end())
        found = buckets_.emplace(std::string(account), bucket{most, at}).first;
    auto& b = found->second;
    const auto age = std::max(exact_seconds(at - b.filled), exact_seconds(0));
    b.tokens = std::min(most, b.tokens + age.count() * per_second);
    b.filled = std::max(b.filled, at);
    if (b.tokens < 1)
        return false;
    b.tokens -= 1;
    return true;
}

double fair_order::start_tag(std::string_view account) const
{
    const auto found = finish_tags_.find(account);
    return found == finish_tags_.end() ? virtual_time_
                                       : std::max(virtual_time_, found->second);
}

void fair_order::charge(std::string_view account, double weight, double work)
{
    const double start = start_tag(account);
    virtual_time_ = start;
    finish_tags_.insert_or_assign(std::string(account), start + work / weight);
}

std::chrono::milliseconds wait_before(const share_backlog& backlog)
{
    const double by_share =
        backlog.own_excess * backlog.excess_weights / backlog.weight;
    return whole(
        (backlog.entitled + std::min(backlog.excess, by_share)) /
        backlog.hosts);
}

void room_growth::note(double hosts, bool is_full, boot_time now)
{
    hosts_ = hosts;
    if (!is_full)
        full_since_.reset();
    else if (!full_since_)
    {
        full_since_ = now;
        hosts_then_ = hosts;
    }
}

std::optional<double>
room_growth::expected(boot_time now, std::chrono::milliseconds horizon) const
{
    if (!full_since_ || now - *full_since_ < demand_horizon)
        return std::nullopt;
    const double growth = std::max(hosts_ - hosts_then_, 0.0) /
                          exact_milliseconds(now - *full_since_).count();
    return hosts_ + growth * exact_milliseconds(horizon).count() / 2;
}

std::chrono::milliseconds return_schedule::next(
    std::string_view account, boot_time now, std::chrono::milliseconds earliest,
    std::chrono::milliseconds spacing)
{
    auto found = booked_until_.find(account);
    if (found == booked_until_.end())
        found = booked_until_.emplace(std::string(account), now).first;
    auto& booked = found->second;
    const auto at = std::max(now + earliest, booked);
    booked = std::min(at + spacing, now + max_return_time);
    return std::clamp<std::chrono::milliseconds>(
        at - now, min_return_time, max_return_time);
}

} // namespace dandeliontack
