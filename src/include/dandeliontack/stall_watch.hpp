#pragma once

#include <dandeliontack/boot_clock.hpp>

#include <chrono>

namespace dandeliontack
{

/// Notices that this process has not run for a while, as it was frozen or had
/// no processor. What it reads right after that may have arrived long before.
class stall_watch
{
public:
    /// To be called every `beat_interval`. The length of the stall that this
    /// beat ends; 0 if there was none.
    std::chrono::milliseconds beat(boot_time now);
    /// The earliest time at which bytes that are read at `now` may have
    /// arrived.
    boot_time earliest_arrival(boot_time now) const;

    static constexpr std::chrono::milliseconds beat_interval{100};

private:
    boot_time last_beat_;
    /// The last beat before the last stall.
    boot_time stalled_since_;
    /// Until then, what had arrived during the stall may still be unread.
    boot_time settles_at_;
};

} // namespace dandeliontack
