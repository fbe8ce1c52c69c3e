#pragma once

#include <dandeliontack/boot_clock.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dandeliontack
{

/// That a holder of the fleet duty orders something about a machine. Times are
/// of the holder's own steady clock: the time of day may jump.
struct noted_order
{
    std::uint64_t epoch = 0;
    boot_time at;
    /// At `at` the order had been answered or given up; else it may still be
    /// sent, again and again.
    bool ended = false;
    /// The node that held the duty; empty where not said.
    std::string holder;
};

/// What a holder stores each time that it renews its claim.
struct duty_tick
{
    std::uint64_t epoch = 0;
    /// When it took the duty, and the time of this tick.
    boot_time taken;
    boot_time now;
};

std::string encode(const noted_order& order);
std::string encode(const duty_tick& tick);
/// Each returns nothing where the text is not such a record.
std::optional<noted_order> decode_noted_order(std::string_view text);
std::optional<duty_tick> decode_duty_tick(std::string_view text);

/// How long a machine has to rest before this node orders something about it:
/// until `lease` after the order may have been sent last. A node that was the
/// holder itself takes no turns with anyone, also in another life: what an
/// earlier life sent was on its way before this one began.
std::chrono::milliseconds rest_after(
    const noted_order& order, const std::optional<duty_tick>& last,
    std::chrono::milliseconds longest_call, std::chrono::milliseconds lease,
    std::string_view self);

/// The least time that has passed since the order was sent last, as far as the
/// last tick of the past holder shows; 0 where it shows nothing. A call may be
/// under way for `longest_call`.
std::chrono::milliseconds least_age(
    const noted_order& order, const std::optional<duty_tick>& last,
    std::chrono::milliseconds longest_call);

} // namespace dandeliontack
