#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace dandeliontack
{

/// How a wave chooses the next hosts.
enum class wave_policy_kind : std::uint8_t
{
    /// A canary, then twice as many at once as have come back.
    widening,
    one_at_a_time,
    /// A tenth of each pool at once, at least one host.
    fixed_tenth
};

/// A maintenance wave over whole pools, as operators publish it.
struct wave_config
{
    std::string name;
    /// Every host of these pools is maintained once.
    std::vector<std::string> pools;
    /// Whether the wave is held up until published again without it.
    bool paused = false;
    /// Whether the wave ends here: drains are undone, reboots finish.
    bool aborted = false;
    wave_policy_kind policy = wave_policy_kind::widening;
    /// How many hosts must come back before the wave widens.
    std::uint64_t canary_hosts = 1;
    /// The wave is halted when so many of its hosts failed.
    std::uint64_t halt_after = 2;
    /// A host that is not back for so long has failed.
    std::chrono::milliseconds return_bound = std::chrono::minutes(15);
    /// Weights of the objective: a host held back for an hour, an hour of
    /// roll-out, a host moved.
    double weight_buffer = 1;
    double weight_rollout = 1;
    double weight_moves = 1;

    bool operator==(const wave_config&) const = default;
};

} // namespace dandeliontack
