#pragma once

#include <dandeliontack/boot_clock.hpp>

#include <chrono>
#include <optional>

namespace dandeliontack
{

/// A reading of a host's own steady clock, which may be slow. It starts anew
/// with each life of the host.
using host_time = std::chrono::milliseconds;

/// How much slower than ours a host's clock may be (the platform's contract).
inline constexpr double slowest_host_clock = 0.98;

/// The three times that make a takeover safe. An owner whose right was last
/// confirmed by a call sent at T gives no lease and no order after T + right.
/// A lease ends `lease` after it was given, on the host's clock. So whatever a
/// past owner could have started has ended `takeover_wait` after its successor
/// fenced it, also on hosts that the successor can't reach.
struct lease_terms
{
    std::chrono::milliseconds right{1300};
    std::chrono::milliseconds lease{5000};
    /// What is added for the time between two clock readings.
    std::chrono::milliseconds margin{200};

    std::chrono::milliseconds takeover_wait() const;
};

/// What an owner knows of the leases of one host's life.
class host_lease
{
public:
    /// The host answered with its clock; the answer came at `received`.
    void observe(host_time clock, boot_time received);

    /// The end of a lease given now; it never goes back. Nothing before the
    /// first reading of the host's clock.
    std::optional<host_time> extend(boot_time now, const lease_terms& terms);

    /// The host started anew: its clock is another one. A start that reached
    /// the new life may hold a lease of up to `longest` there.
    void begin_life(boot_time now, std::chrono::milliseconds longest);

    /// Whether every lease that was given has ended for certain.
    bool has_ended(boot_time now) const;

    /// The least that the host's clock can show now.
    std::optional<host_time> least_clock(boot_time now) const;

private:
    std::optional<host_time> clock_;
    boot_time received_;
    std::optional<host_time> given_;
    /// Before this the leases of a life that just began aren't known.
    boot_time unclear_until_;
};

} // namespace dandeliontack
