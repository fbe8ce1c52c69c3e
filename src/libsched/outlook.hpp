#pragma once

#include <dandeliontack/pool_state.hpp>

#include <chrono>

namespace dandeliontack
{

/// What can still become of an occurrence of a submission.
enum class timeliness : std::uint8_t
{
    /// It can end within its objective.
    in_time,
    /// It earns a little, up to three times its objective.
    late,
    overdue
};

struct outlook
{
    timeliness state = timeliness::in_time;
    /// The time since it was due.
    std::chrono::milliseconds age{0};
};

/// `estimate_factor` is the learned ratio of run times to estimates.
outlook outlook_of(
    const submission_state& s, const occurrence_state& o,
    double estimate_factor, boot_time now);

/// The longest chain of estimates; without the steps that are done where
/// `left_of` is given.
std::chrono::milliseconds
chain_of(const submission_spec& spec, const occurrence_state* left_of);

} // namespace dandeliontack
