#include <dandeliontack/noted_order.hpp>

#include <algorithm>
#include <charconv>
#include <ranges>
#include <span>
#include <vector>

namespace dandeliontack
{

namespace
{

// Numbers that are parted by spaces; nothing where there are others than
// `count`.
std::optional<std::vector<std::uint64_t>>
numbers_of(std::string_view text, std::size_t count)
{
    std::vector<std::uint64_t> out;
    const auto* at = text.data();
    const auto* end = text.data() + text.size();
    while (at != end)
    {
        std::uint64_t number = 0;
        const auto [stop, error] = std::from_chars(at, end, number);
        if (error != std::errc() || (stop != end && *stop != ' '))
            return std::nullopt;
        out.push_back(number);
        at = stop == end ? end : stop + 1;
    }
    if (out.size() != count)
        return std::nullopt;
    return out;
}

boot_time time_of(std::uint64_t number)
{
    return boot_time(
        std::chrono::milliseconds(static_cast<std::int64_t>(number)));
}

std::string text_of(boot_time time)
{
    return std::to_string(time.time_since_epoch().count());
}

} // namespace

std::string encode(const noted_order& order)
{
    return std::to_string(order.epoch) + " " + text_of(order.at) +
           (order.ended ? " 1 " : " 0 ") + order.holder;
}

std::string encode(const duty_tick& tick)
{
    return std::to_string(tick.epoch) + " " + text_of(tick.taken) + " " +
           text_of(tick.now);
}

std::optional<noted_order> decode_noted_order(std::string_view text)
{
    constexpr std::size_t count = 3;
    std::size_t end = 0;
    for (std::size_t i = 0; i < count && end != std::string_view::npos; ++i)
        end = text.find(' ', end + (i > 0 ? 1 : 0));
    const auto numbers = numbers_of(text.substr(0, end), count);
    if (!numbers)
        return std::nullopt;
    return noted_order{
        numbers->at(0), time_of(numbers->at(1)), numbers->at(2) != 0,
        end == std::string_view::npos ? std::string()
                                      : std::string(text.substr(end + 1))};
}

std::optional<duty_tick> decode_duty_tick(std::string_view text)
{
    const auto numbers = numbers_of(text, 3);
    if (!numbers)
        return std::nullopt;
    return duty_tick{
        numbers->at(0), time_of(numbers->at(1)), time_of(numbers->at(2))};
}

std::chrono::milliseconds rest_after(
    const noted_order& order, const std::optional<duty_tick>& last,
    std::chrono::milliseconds longest_call, std::chrono::milliseconds lease,
    std::string_view self)
{
    if (order.holder == self && !self.empty())
        return std::chrono::milliseconds(0);
    return std::max<std::chrono::milliseconds>(
        lease - least_age(order, last, longest_call),
        std::chrono::milliseconds(0));
}

std::chrono::milliseconds least_age(
    const noted_order& order, const std::optional<duty_tick>& last,
    std::chrono::milliseconds longest_call)
{
    using std::chrono::milliseconds;
    const bool open = last && !order.ended && order.epoch == last->epoch;
    if (!last || open || order.epoch > last->epoch)
        return milliseconds(0);
    // A holder orders nothing once the next has taken the duty.
    const auto since =
        order.epoch == last->epoch ? order.at : last->taken + longest_call;
    return std::max<milliseconds>(last->now - since, milliseconds(0));
}

} // namespace dandeliontack
