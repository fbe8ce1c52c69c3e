#pragma once

#include <dandeliontack/fleet_budget.hpp>
#include <dandeliontack/wave_config.hpp>

#include <cstdint>

namespace dandeliontack
{

/// How far a wave is, as its policy sees it.
struct wave_view
{
    std::uint64_t canary_hosts = 1;
    /// Hosts that came back.
    std::uint64_t done = 0;
    /// Hosts away under the wave.
    std::uint64_t away = 0;
};

/// How a wave paces itself. The reducer certifies each claim besides.
struct wave_policy
{
    /// The most hosts of the whole wave that may be away.
    std::uint64_t (*wave_limit)(const wave_view& wave);
    /// The most hosts of a pool with so many members that may be away.
    std::uint64_t (*pool_limit)(std::uint64_t members);
    /// Whether it leaves the pool's reserve in service.
    bool keeps_reserve = false;
};

/// The policy of a kind; lives as long as the program.
const wave_policy& policy_of(wave_policy_kind kind);

/// What the choice of borrowed hosts is weighed by.
struct lending_terms
{
    /// Hosts still to maintain.
    std::uint64_t left = 0;
    /// Hosts that the pool could spare without borrowing.
    std::int64_t slack = 0;
    /// Hosts that may be away at once by their failure domain.
    std::uint64_t most_at_once = 1;
    /// How long one host is away.
    std::chrono::milliseconds cycle{};
};

/// How many hosts a pool should borrow for a wave: the number with the least
/// weighted sum of buffer cost, roll-out time and moves.
std::uint64_t
hosts_to_borrow(const wave_config& wave, const lending_terms& terms);

} // namespace dandeliontack
