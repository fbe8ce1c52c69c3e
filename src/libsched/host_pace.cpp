#include <dandeliontack/host_pace.hpp>

#include <algorithm>
#include <ranges>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;

// Longer than two hold calls, so that each run on the host has been listed.
constexpr auto sample_window = 2500ms;
// A host on which no task ends lists its runs once a second.
constexpr auto min_time_without_usual_pace = 800ms;
constexpr std::size_t submissions_to_be_slow = 2;
// Bounds of the time without new tasks, which doubles with each time in a row.
constexpr auto min_avoidance = 2000ms;
constexpr auto max_avoidance = 8000ms;
// After this time without tasks that show its pace, a host is like any other.
constexpr auto max_suspicion = 8000ms;
constexpr std::uint32_t max_doublings = 2;
constexpr double full_percent = 100;

} // namespace

host_pace::change
host_pace::add(std::uint64_t submission, bool is_slow, boot_time now)
{
    if (!is_slow)
    {
        slow_.clear();
        last_usual_ = now;
        // Submissions from before the host became suspect say nothing of now.
        if (times_slow_ == 0 || is_avoided(now))
            return change::none;
        times_slow_ = 0;
        return change::restored;
    }
    std::erase_if(slow_, [&](const auto& item) {
        return now - item.second > sample_window;
    });
    slow_[submission] = now;
    if (!is_suspect(now))
        times_slow_ = 0;
    const auto needed = is_suspect(now) ? 1 : submissions_to_be_slow;
    if (is_avoided(now) || slow_.size() < needed ||
        now - last_usual_ < min_time_without_usual_pace)
        return change::none;
    avoid_until_ =
        now + std::min<std::chrono::milliseconds>(
                  min_avoidance * (1U << std::min(times_slow_, max_doublings)),
                  max_avoidance);
    ++times_slow_;
    slow_.clear();
    return change::slow;
}

bool host_pace::is_avoided(boot_time now) const
{
    return now < avoid_until_;
}

bool host_pace::is_suspect(boot_time now) const
{
    return times_slow_ > 0 && now < avoid_until_ + max_suspicion;
}

double pace_of(
    std::chrono::milliseconds interval, std::uint32_t percent,
    std::chrono::milliseconds estimate)
{
    return static_cast<double>(interval.count()) * full_percent /
           static_cast<double>(std::max(percent, 1U)) /
           static_cast<double>(std::max<std::int64_t>(estimate.count(), 1));
}

} // namespace dandeliontack
