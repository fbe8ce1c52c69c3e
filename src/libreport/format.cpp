#include "format.hpp"

#include <array>
#include <cmath>
#include <cstdio>
#include <ctime>

namespace dandeliontack
{

std::string format_number(double value)
{
    std::array<char, 64> text{};
    const int length =
        std::abs(value - std::round(value)) < 1e-9
            ? std::snprintf(text.data(), text.size(), "%.0f", value)
            : std::snprintf(text.data(), text.size(), "%.3g", value);
    return {text.data(), static_cast<std::size_t>(length)};
}

std::string format_percent(double share)
{
    return format_number(share * 100) + " %";
}

std::string format_rate(const std::optional<double>& rate)
{
    return rate ? format_number(*rate) + "x" : "-";
}

std::string format_time(std::chrono::sys_time<std::chrono::milliseconds> value)
{
    const auto seconds = std::chrono::system_clock::to_time_t(value);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    const auto length = std::strftime(
        text.data(), text.size(), "%Y-%m-%d %H:%M:%S UTC", &parts);
    return {text.data(), length};
}

} // namespace dandeliontack
