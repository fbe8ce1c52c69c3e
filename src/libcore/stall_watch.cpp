#include <dandeliontack/stall_watch.hpp>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;

// A beat that is later than this ends a stall.
constexpr std::chrono::milliseconds min_stall = 3 * stall_watch::beat_interval;
// How long what is read after a stall counts as having come before its end. A
// process that takes longer to look at all its connections may take an old
// request for a new one.
constexpr std::chrono::milliseconds settle_time =
    2 * stall_watch::beat_interval;

} // namespace

std::chrono::milliseconds stall_watch::beat(boot_time now)
{
    const auto gap = last_beat_ == boot_time() ? 0ms : now - last_beat_;
    if (gap > min_stall)
    {
        stalled_since_ = last_beat_;
        settles_at_ = now + settle_time;
    }
    last_beat_ = now;
    return gap > min_stall ? gap : 0ms;
}

boot_time stall_watch::earliest_arrival(boot_time now) const
{
    if (last_beat_ != boot_time() && now - last_beat_ > min_stall)
        return last_beat_;
    return now <= settles_at_ ? stalled_since_ : now;
}

} // namespace dandeliontack
