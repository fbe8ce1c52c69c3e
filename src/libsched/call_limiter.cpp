#include <dandeliontack/call_limiter.hpp>

#include <algorithm>
#include <cmath>

namespace dandeliontack
{

namespace
{

using std::chrono::milliseconds;

// Timeouts and pauses double with each failure in a row, this often at most.
constexpr unsigned max_doublings = 4;
// A call may take this many times as long as those before it.
constexpr double timeout_factor = 2;
// Weight of the newest answer, and bound of one answer's ratio.
constexpr double slowness_smoothing = 0.3;
constexpr double max_slowness = 20;

milliseconds scaled(milliseconds time, double factor)
{
    return milliseconds(static_cast<std::int64_t>(
        std::ceil(static_cast<double>(time.count()) * factor)));
}

} // namespace

call_limiter::call_limiter(bounds limits, std::uint64_t seed)
    : limits_(limits), random_(seed)
{}

// After a failure, a single call at a time shows whether the service answers
// again.
std::size_t call_limiter::allowed() const
{
    return failures_ == 0 ? limits_.in_flight : 1;
}

milliseconds call_limiter::wait(boot_time now) const
{
    if (in_flight_ >= allowed())
        return limits_.max_pause;
    return std::max<milliseconds>(paused_until_ - now, milliseconds(0));
}

bool call_limiter::may_call(boot_time now) const
{
    return wait(now) <= milliseconds(0);
}

milliseconds call_limiter::begin(milliseconds need)
{
    ++in_flight_;
    needed_ += need;
    // The service handles the calls in flight first.
    const auto expected = scaled(needed_, slowness_ * timeout_factor);
    const auto doubled =
        (expected + limits_.slack) * (1U << std::min(failures_, max_doublings));
    return std::min<milliseconds>(doubled, limits_.max_timeout);
}

void call_limiter::end(
    call_result result, milliseconds need, milliseconds took, boot_time now)
{
    const auto expected = std::max<milliseconds>(needed_, milliseconds(1));
    --in_flight_;
    needed_ -= need;
    if (result == call_result::answered)
    {
        failures_ = 0;
        const double ratio = std::clamp(
            static_cast<double>(took.count()) /
                static_cast<double>(expected.count()),
            1.0, max_slowness);
        slowness_ += slowness_smoothing * (ratio - slowness_);
        return;
    }
    const auto pause = std::min<milliseconds>(
        limits_.min_pause * (1U << std::min(failures_, max_doublings)),
        limits_.max_pause);
    ++failures_;
    std::uniform_int_distribution<std::int64_t> jitter(
        pause.count() / 2, pause.count());
    paused_until_ = now + milliseconds(jitter(random_));
}

std::size_t call_limiter::in_flight() const
{
    return in_flight_;
}

} // namespace dandeliontack
