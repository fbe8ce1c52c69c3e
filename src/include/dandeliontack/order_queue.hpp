#pragma once

#include <dandeliontack/pool_events.hpp>

#include <algorithm>
#include <cstddef>
#include <deque>
#include <optional>
#include <utility>

namespace dandeliontack
{

/// Orders to one host that wait to be sent, oldest first. Orders that a slow
/// host has not taken yet are not queued again: a stop is queued once for each
/// run, and only the newest pace of a run is kept.
class order_queue
{
public:
    /// Returns whether the queue has grown.
    bool push(pool_effect_body order)
    {
        if (const auto* stop = std::get_if<pool_effect::stop>(&order);
            stop && find(*stop) != orders_.end())
            return false;
        if (const auto* pace = std::get_if<pool_effect::pace>(&order))
            if (const auto known = find(*pace); known != orders_.end())
            {
                *known = std::move(order);
                return false;
            }
        orders_.push_back(std::move(order));
        return true;
    }

    std::optional<pool_effect_body> pop()
    {
        if (orders_.empty())
            return std::nullopt;
        auto order = std::move(orders_.front());
        orders_.pop_front();
        return order;
    }

    bool empty() const
    {
        return orders_.empty();
    }

    std::size_t size() const
    {
        return orders_.size();
    }

private:
    /// The queued order of the same kind for the same run.
    template <class Order>
    std::deque<pool_effect_body>::iterator find(const Order& order)
    {
        return std::ranges::find_if(orders_, [&](const auto& other) {
            const auto* same = std::get_if<Order>(&other);
            return same && same->born == order.born &&
                   same->task == order.task && same->run == order.run;
        });
    }

    std::deque<pool_effect_body> orders_;
};

} // namespace dandeliontack
