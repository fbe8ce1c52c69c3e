#pragma once

#include <dandeliontack/boot_clock.hpp>

#include <chrono>
#include <optional>

namespace dandeliontack
{

/// A reading of a host's own steady clock, which may run slow. It restarts with
/// each incarnation of the host.
using host_time = std::chrono::milliseconds;

/// The lowest rate of a host's clock relative to the owner's, as guaranteed by
/// the platform.
inline constexpr double min_host_clock_rate = 0.98;

/// The three durations that make a takeover safe. An owner whose ownership was
/// last confirmed by a call sent at time T grants no lease and sends no order
/// after T + `claim_validity`. A lease expires `lease` after it was granted, on
/// the host's clock. Hence every task that a previous owner could have started
/// has ended `takeover_wait` after the successor fenced that owner, also on
/// hosts that the successor can't reach.
struct lease_terms
{
    std::chrono::milliseconds claim_validity{1300};
    std::chrono::milliseconds lease{5000};
    /// Allowance for the time between two clock readings.
    std::chrono::milliseconds margin{200};

    std::chrono::milliseconds takeover_wait() const;
};

/// An owner's view of the leases of one incarnation of a host.
class host_lease
{
public:
    /// Records the host's clock from an answer that arrived at `received`.
    void observe(host_time clock, boot_time received);

    /// Grants a lease and returns its end, which never decreases. Returns no
    /// value before the first reading of the host's clock.
    std::optional<host_time> extend(boot_time now, const lease_terms& terms);

    /// The host restarted, so its earlier clock readings are void. A start
    /// order that reached the new incarnation may hold a lease of up to
    /// `longest`.
    void begin_incarnation(boot_time now, std::chrono::milliseconds longest);

    /// Whether every granted lease has certainly expired.
    bool has_ended(boot_time now) const;

    /// Lower bound of the host's clock at `now`.
    std::optional<host_time> min_clock(boot_time now) const;

private:
    std::optional<host_time> clock_;
    boot_time received_;
    std::optional<host_time> granted_until_;
    /// Until then a new incarnation may hold leases that the owner doesn't
    /// know.
    boot_time unknown_until_;
};

} // namespace dandeliontack
