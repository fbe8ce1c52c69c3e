#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <numeric>
#include <optional>
#include <utility>

namespace dandeliontack
{

/// What a server's connection is doing, in the order in which connections give
/// way to new ones.
enum class connection_phase : std::uint8_t
{
    /// It was answered for the last time, and what still arrives is dropped.
    ending,
    /// It waits for the first bytes of a request.
    idle,
    /// A request is incomplete.
    reading,
    /// A response is being written, and its reader may be slow.
    responding,
    /// A request is being answered; it doesn't give way.
    serving,
    /// It has given way, and its coroutine has not ended yet.
    displaced
};

/// All connections of a server by what they do, in each phase the longest
/// first. `Connection` has a member `phase`.
template <class Connection>
class connection_table
{
public:
    using pointer = std::shared_ptr<Connection>;
    using place = typename std::list<pointer>::iterator;

    place insert(pointer connection)
    {
        auto& list = list_of(connection->phase);
        return list.insert(list.end(), std::move(connection));
    }

    void erase(place at)
    {
        list_of((*at)->phase).erase(at);
    }

    void move(place at, connection_phase to)
    {
        auto& list = list_of(to);
        list.splice(list.end(), list_of((*at)->phase), at);
        (*at)->phase = to;
    }

    /// The connection that gives way to a new one; it is `displaced` from now
    /// on. Null if none gives way.
    pointer displace()
    {
        constexpr std::array order{
            connection_phase::ending, connection_phase::idle,
            connection_phase::reading, connection_phase::responding};
        const auto* found =
            std::ranges::find_if(order, [this](connection_phase phase) {
                return !list_of(phase).empty();
            });
        if (found == order.end())
            return nullptr;
        const auto first = list_of(*found).begin();
        move(first, connection_phase::displaced);
        return *first;
    }

    std::size_t size() const
    {
        return std::accumulate(
            lists_.begin(), lists_.end(), std::size_t{0},
            [](std::size_t sum, const auto& list) {
                return sum + list.size();
            });
    }

    template <class Visit>
    void for_each(Visit visit) const
    {
        for (const auto& list : lists_)
            std::ranges::for_each(list, visit);
    }

private:
    static constexpr std::size_t phases = 6;

    std::list<pointer>& list_of(connection_phase phase)
    {
        return lists_.at(static_cast<std::size_t>(phase));
    }

    std::array<std::list<pointer>, phases> lists_;
};

} // namespace dandeliontack
