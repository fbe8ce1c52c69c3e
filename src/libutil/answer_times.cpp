#include <dandeliontack/answer_times.hpp>

#include <algorithm>

namespace dandeliontack
{

namespace
{

// Weights of the newest answer, and deviations waited for (RFC 6298).
constexpr double smoothed_weight = 1.0 / 8;
constexpr double deviation_weight = 1.0 / 4;
constexpr double deviations = 4;
constexpr unsigned most_doublings = 10;

} // namespace

answer_times::answer_times(bounds limits) : limits_(limits) {}

void answer_times::observe(std::chrono::milliseconds took)
{
    const fraction_ms sample(took);
    if (!observed_)
    {
        observed_ = true;
        smoothed_ = sample;
        deviation_ = sample / 2;
        return;
    }
    const auto off =
        sample > smoothed_ ? sample - smoothed_ : smoothed_ - sample;
    deviation_ += deviation_weight * (off - deviation_);
    smoothed_ += smoothed_weight * (sample - smoothed_);
}

std::chrono::milliseconds answer_times::timeout(unsigned repeats) const
{
    const auto usual = std::chrono::ceil<std::chrono::milliseconds>(
        smoothed_ + deviations * deviation_);
    const auto first = std::clamp(usual, limits_.least, limits_.most);
    return std::min(
        first * (std::int64_t{1} << std::min(repeats, most_doublings)),
        limits_.most);
}

} // namespace dandeliontack
