#pragma once

#include <dandeliontack/pool_events.hpp>

#include <optional>
#include <utility>
#include <vector>

namespace dandeliontack
{

/// The room that a host is expected to have, from the times at which its runs
/// are expected to end. A run without an expected end never returns its room.
class host_outlook
{
public:
    /// `free` is what no run holds now.
    explicit host_outlook(const resources& free);

    /// A run that is in progress returns `held` at `at`.
    void add_end(boot_time at, const resources& held);
    /// A run that starts now holds `need` until `end`.
    void add_run(const resources& need, boot_time end);

    resources free_at(boot_time at) const;
    /// The earliest time from `now` on at which `need` fits; none if the
    /// expected ends do not make enough room.
    std::optional<boot_time>
    fits_from(const resources& need, boot_time now) const;

private:
    resources free_;
    /// In order of time.
    std::vector<std::pair<boot_time, resources>> ends_;
};

/// When a run is expected to end that has taken `age` and is expected to take
/// `duration`. Past its expected end it is taken to need as long again as it
/// has overrun; none once it has taken twice what was expected, since the
/// estimate then says nothing.
std::optional<boot_time> expected_end(
    std::chrono::milliseconds age, std::chrono::milliseconds duration,
    boot_time now);

} // namespace dandeliontack
