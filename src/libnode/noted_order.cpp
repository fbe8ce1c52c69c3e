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

// Epochs and times in milliseconds, small enough for sums and differences.
constexpr std::uint64_t max_number = 1ULL << 52U;

// Parses exactly `count` numbers separated by spaces; nullopt for any other
// text.
std::optional<std::vector<std::uint64_t>>
parse_numbers(std::string_view text, std::size_t count)
{
    std::vector<std::uint64_t> parsed;
    const auto* at = text.data();
    const auto* end = text.data() + text.size();
    while (at != end)
    {
        std::uint64_t number = 0;
        const auto [stop, error] = std::from_chars(at, end, number);
        if (error != std::errc() || (stop != end && *stop != ' ') ||
            number > max_number)
            return std::nullopt;
        parsed.push_back(number);
        at = stop == end ? end : stop + 1;
    }
    if (parsed.size() != count)
        return std::nullopt;
    return parsed;
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
    const auto numbers = parse_numbers(text.substr(0, end), count);
    if (!numbers)
        return std::nullopt;
    return noted_order{
        numbers->at(0), time_of(numbers->at(1)), numbers->at(2) != 0,
        end == std::string_view::npos ? std::string()
                                      : std::string(text.substr(end + 1))};
}

std::optional<duty_tick> decode_duty_tick(std::string_view text)
{
    const auto numbers = parse_numbers(text, 3);
    if (!numbers)
        return std::nullopt;
    return duty_tick{
        numbers->at(0), time_of(numbers->at(1)), time_of(numbers->at(2))};
}

std::chrono::milliseconds cooldown_left(
    const noted_order& order, const std::optional<duty_tick>& last_tick,
    std::chrono::milliseconds max_call_time, std::chrono::milliseconds lease,
    std::string_view self)
{
    if (order.holder == self && !self.empty())
        return std::chrono::milliseconds(0);
    return std::max<std::chrono::milliseconds>(
        lease - min_age(order, last_tick, max_call_time),
        std::chrono::milliseconds(0));
}

std::chrono::milliseconds min_age(
    const noted_order& order, const std::optional<duty_tick>& last_tick,
    std::chrono::milliseconds max_call_time)
{
    using std::chrono::milliseconds;
    const bool may_be_resent =
        last_tick && !order.ended && order.epoch == last_tick->epoch;
    if (!last_tick || may_be_resent || order.epoch > last_tick->epoch)
        return milliseconds(0);
    // A holder sends no new orders once its successor has taken the duty.
    const auto last_sent = order.epoch == last_tick->epoch
                               ? order.at
                               : last_tick->taken + max_call_time;
    return std::max<milliseconds>(last_tick->now - last_sent, milliseconds(0));
}

} // namespace dandeliontack
