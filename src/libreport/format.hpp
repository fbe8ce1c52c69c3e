#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace dandeliontack
{

/// A number with up to three significant digits behind the point.
std::string format_number(double value);
std::string format_percent(double share);
/// A burn rate as `1.5x`, or a dash where there is none.
std::string format_rate(const std::optional<double>& rate);
/// UTC, to the second.
std::string format_time(std::chrono::sys_time<std::chrono::milliseconds> value);

} // namespace dandeliontack
