#pragma once

#include <dandeliontack/boot_clock.hpp>

#include <cstdint>
#include <map>

namespace dandeliontack
{

/// How fast tasks run on one host, by their own progress. Load pattern: a host
/// runs everything several times slower for some seconds, reports good health
/// and fails nothing, while a few submissions are long on every host. A host is
/// slow when tasks of two submissions were slow there, and none has run at the
/// usual pace for a time. A slow host gets no new tasks for a time, then few
/// until one of them runs at the usual pace.
class host_pace
{
public:
    enum class change : std::uint8_t
    {
        none,
        slow,
        restored
    };

    /// Records that a task of the submission progressed at the usual pace on
    /// the host, or slower.
    change add(std::uint64_t submission, bool is_slow, boot_time now);

    /// Whether the host gets no new tasks.
    bool is_avoided(boot_time now) const;
    /// Whether the host was slow and has not shown since that it is not. Held
    /// for a time only: a host that gets no tasks can't show it.
    bool is_suspect(boot_time now) const;

private:
    /// Submissions that were slow since a task last ran at the usual pace, and
    /// when they last were.
    std::map<std::uint64_t, boot_time> slow_;
    boot_time last_usual_;
    boot_time avoid_until_;
    /// How many times in a row the host was found slow.
    std::uint32_t times_slow_ = 0;
};

/// The time that the whole task would take at the pace of one interval, as a
/// ratio to its estimate. Progress of less than a percent counts as one, so the
/// result is a lower bound then.
double pace_of(
    std::chrono::milliseconds interval, std::uint32_t percent,
    std::chrono::milliseconds estimate);

} // namespace dandeliontack
