#pragma once

#include <dandeliontack/boot_clock.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dandeliontack
{

/// Stored record of an order for a machine by a holder of the fleet duty. Times
/// are of the holder's own steady clock, since its wall clock may jump.
struct noted_order
{
    std::uint64_t epoch = 0;
    boot_time at;
    /// Whether the order had been answered or abandoned by `at`. Otherwise it
    /// may still be sent repeatedly.
    bool ended = false;
    /// The node that held the duty; empty in records that do not name it.
    std::string holder;
};

/// Record that a holder of the fleet duty stores whenever it renews its claim.
struct duty_tick
{
    std::uint64_t epoch = 0;
    /// When the holder took the duty, and when it wrote this tick.
    boot_time taken;
    boot_time now;
};

std::string encode(const noted_order& order);
std::string encode(const duty_tick& tick);
/// Return nullopt if the text is not a record of the type.
std::optional<noted_order> decode_noted_order(std::string_view text);
std::optional<duty_tick> decode_duty_tick(std::string_view text);

/// The remaining cool-down of a machine, before which node `self` must not send
/// orders for it: until `lease` after the latest time at which `order` may have
/// been sent. It is 0 if `self` sent the order, even before a restart: two
/// holders do not alternate then, and whatever the earlier process sent was in
/// flight before this one started.
std::chrono::milliseconds cooldown_left(
    const noted_order& order, const std::optional<duty_tick>& last_tick,
    std::chrono::milliseconds max_call_time, std::chrono::milliseconds lease,
    std::string_view self);

/// A lower bound on the time since the order was last sent, derived from the
/// last tick of the previous holder; 0 if the tick gives none. A call may be in
/// flight for up to `max_call_time`.
std::chrono::milliseconds min_age(
    const noted_order& order, const std::optional<duty_tick>& last_tick,
    std::chrono::milliseconds max_call_time);

} // namespace dandeliontack
