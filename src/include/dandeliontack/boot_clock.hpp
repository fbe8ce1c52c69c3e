#pragma once

#include <chrono>

namespace dandeliontack
{

/// A steady clock that also counts the time for which the host was suspended
/// (`CLOCK_BOOTTIME`). The validity of shard claims and host leases are
/// measured on it.
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

using boot_time =
    std::chrono::time_point<boot_clock, std::chrono::milliseconds>;
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// One reading of both clocks. The wall clock may jump; it is used only for the
/// due times of repeated submissions.
struct moment
{
    boot_time steady;
    wall_time wall;
};

moment read_clocks();

} // namespace dandeliontack
