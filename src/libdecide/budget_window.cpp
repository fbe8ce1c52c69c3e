#include <dandeliontack/budget_window.hpp>

#include <algorithm>
#include <charconv>

namespace dandeliontack
{

namespace
{

constexpr std::uint64_t whole_share = 100;

// Takes a number of exactly so many digits from the front of the text.
std::optional<int> take_digits(std::string_view& text, std::size_t digits)
{
    int value = 0;
    if (text.size() < digits)
        return std::nullopt;
    const auto* end = text.data() + digits;
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end || value < 0)
        return std::nullopt;
    text.remove_prefix(digits);
    return value;
}

bool take(std::string_view& text, char expected)
{
    if (!text.starts_with(expected))
        return false;
    text.remove_prefix(1);
    return true;
}

std::optional<std::chrono::minutes> take_time(std::string_view& text)
{
    constexpr int hours_a_day = 24;
    constexpr int minutes_an_hour = 60;
    const auto hours = take_digits(text, 2);
    if (!hours || *hours >= hours_a_day || !take(text, ':'))
        return std::nullopt;
    const auto minutes = take_digits(text, 2);
    if (!minutes || *minutes >= minutes_an_hour)
        return std::nullopt;
    return std::chrono::hours(*hours) + std::chrono::minutes(*minutes);
}

std::optional<std::chrono::sys_days> take_day(std::string_view& text)
{
    using namespace std::chrono;
    const auto y = take_digits(text, 4);
    if (!y || !take(text, '-'))
        return std::nullopt;
    const auto m = take_digits(text, 2);
    if (!m || !take(text, '-'))
        return std::nullopt;
    const auto d = take_digits(text, 2);
    if (!d)
        return std::nullopt;
    const year_month_day date{
        year(*y), month(static_cast<unsigned>(*m)),
        day(static_cast<unsigned>(*d))};
    return date.ok() ? std::optional(sys_days(date)) : std::nullopt;
}

bool take_days(std::string_view& text, budget_window& out)
{
    out.first_day = take_day(text);
    if (!out.first_day || !take(text, '/'))
        return false;
    out.last_day = take_day(text);
    return out.last_day && *out.first_day <= *out.last_day && take(text, ' ');
}

bool take_amount(std::string_view text, budget_window& out)
{
    if (text.ends_with('%'))
    {
        out.is_share = true;
        text.remove_suffix(1);
    }
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, out.amount);
    return !text.empty() && parsed.ec == std::errc{} && parsed.ptr == end &&
           (!out.is_share || out.amount <= whole_share);
}

std::uint64_t hosts_of_share(const pool_config& pool, std::uint64_t share)
{
    return (pool.hosts.size() * share + whole_share - 1) / whole_share;
}

bool begins_on(const budget_window& window, std::chrono::sys_days day)
{
    return (!window.first_day || *window.first_day <= day) &&
           (!window.last_day || day <= *window.last_day);
}

// Whether the window has a moment in common with the interval.
bool overlaps(const budget_window& window, event_time from, event_time until)
{
    using std::chrono::days;
    const auto length = window.until > window.from
                            ? window.until - window.from
                            : window.until - window.from + days(1);
    const auto last = std::chrono::floor<days>(until);
    for (auto day = std::chrono::floor<days>(from) - days(1); day <= last;
         day += days(1))
    {
        const auto begin = day + window.from;
        if (begins_on(window, day) && begin <= until && from < begin + length)
            return true;
    }
    return false;
}

} // namespace

std::optional<budget_window> parse_budget_window(std::string_view text)
{
    budget_window out;
    if (text.find('/') != std::string_view::npos && !take_days(text, out))
        return std::nullopt;
    const auto from = take_time(text);
    if (!from || !take(text, '-'))
        return std::nullopt;
    const auto until = take_time(text);
    if (!until || !take(text, '=') || !take_amount(text, out))
        return std::nullopt;
    out.from = *from;
    out.until = *until;
    return out;
}

std::uint64_t
promised_hosts(const pool_config& pool, event_time from, event_time until)
{
    auto promised =
        std::max(pool.budget_hosts, hosts_of_share(pool, pool.budget_share));
    for (const auto& text : pool.budget_windows)
    {
        const auto window = parse_budget_window(text);
        if (window && overlaps(*window, from, until))
            promised = std::max(
                promised, window->is_share
                              ? hosts_of_share(pool, window->amount)
                              : window->amount);
    }
    return promised;
}

} // namespace dandeliontack
