#pragma once

#include <dandeliontack/pool_events.hpp>

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dandeliontack
{

class host_outlook;

/// Precedence of a waiting step. Lower values go first.
struct step_urgency
{
    int rank = 0;
    std::uint32_t priority = 0;

    auto operator<=>(const step_urgency&) const = default;
};

/// Room on a host that is kept for a waiting step. Other work that is not more
/// urgent may use it only up to `ready`.
struct host_reservation
{
    /// The first task of the step.
    task_ref step;
    step_urgency urgency;
    /// For all tasks that are to start there.
    resources need;
    /// Part of a gang's room, which is reserved as a whole or not at all.
    bool together = false;
    boot_time made;
    /// When the host is expected to have the room.
    boot_time ready;
    /// When the reservation ends if the step has not started.
    boot_time end;
};

/// A step that found no room.
struct reservation_request
{
    /// The first task of the step.
    task_ref step;
    step_urgency urgency;
    /// What one task reserves.
    resources need;
    std::uint32_t count = 0;
    /// The maximum number of tasks on one host; 0 for no limit.
    std::uint32_t most_per_host = 0;
    /// All tasks start together or not at all.
    bool together = false;
    /// The longest time that room may be reserved before it is expected to
    /// be ready.
    std::chrono::milliseconds max_wait{0};
};

/// Work that may start on a host now.
struct gap_work
{
    task_ref step;
    step_urgency urgency;
    resources need;
    boot_time expected_end;
};

/// Backfilling with reservations: hosts are reserved for large tasks and gangs
/// that wait. Load pattern: small work takes each gap at once, so that the room
/// which a large task or a gang needs never comes together. Reservations are
/// not stored; a successor makes them anew.
class reservation_plan
{
public:
    struct host_view
    {
        std::string_view host;
        const host_outlook* outlook = nullptr;
    };
    struct ended_reservation
    {
        std::string host;
        host_reservation reservation;
        std::string_view reason;
    };

    /// Ends reservations that can no longer be met. `outlook_of` returns null
    /// for a host that may not be used, `urgency_of` nothing for a step that
    /// does not wait.
    std::vector<ended_reservation> review(
        const std::function<const host_outlook*(const std::string&)>&
            outlook_of,
        const std::function<std::optional<step_urgency>(const task_ref&)>&
            urgency_of,
        boot_time now);
    /// Reserves hosts for the step, at most `max_hosts` unless its tasks start
    /// together. Returns the hosts; none if the wait would be too long, the
    /// step has room now, or a reservation for it ended in vain lately.
    std::vector<std::string> request(
        const reservation_request& step, std::span<const host_view> hosts,
        std::size_t max_hosts, boot_time now);
    /// Whether the work may start on the host without delaying what is
    /// reserved.
    bool allows(
        const std::string& host, const gap_work& work,
        const host_outlook& outlook, boot_time now) const;
    /// A task of the step started on the host: what is reserved there for the
    /// step shrinks by `need`.
    void note_start(
        const std::string& host, const task_ref& step, const resources& need);

    bool is_reserved(const std::string& host) const;
    bool is_reserved_for(const std::string& host, const task_ref& step) const;
    /// Whether the step may get a reservation: it has none, and none ended in
    /// vain lately.
    bool may_request(const task_ref& step) const;
    const std::map<std::string, host_reservation>& by_host() const;

private:
    /// By host.
    std::map<std::string, host_reservation> reservations_;
    /// Until when a step gets no reservation, since one ended in vain.
    std::map<task_ref, boot_time> paused_until_;
};

} // namespace dandeliontack
