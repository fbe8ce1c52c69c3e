#pragma once

#include <dandeliontack/pool_config.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace dandeliontack
{

using event_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// A time of day, on some days or on all, with a larger budget. In UTC.
struct budget_window
{
    std::chrono::minutes from{};
    /// At or before `from` it means the next day.
    std::chrono::minutes until{};
    std::optional<std::chrono::sys_days> first_day;
    std::optional<std::chrono::sys_days> last_day;
    std::uint64_t amount = 0;
    /// Whether the amount is a share in percent.
    bool is_share = false;
};

/// Reads `[YYYY-MM-DD/YYYY-MM-DD ]HH:MM-HH:MM=AMOUNT[%]`; the days are those
/// on which the window begins. Nothing where the text is not of that form.
std::optional<budget_window> parse_budget_window(std::string_view text);

/// The most hosts that the pool promises at any moment from `from` to `until`.
std::uint64_t
promised_hosts(const pool_config& pool, event_time from, event_time until);

} // namespace dandeliontack
