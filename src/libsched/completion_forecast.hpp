#pragma once

#include <dandeliontack/pool_state.hpp>

#include <chrono>

namespace dandeliontack
{

/// Whether an occurrence of a submission can still meet its latency objective.
enum class timeliness : std::uint8_t
{
    /// It can complete within its objective.
    in_time,
    /// It can complete within three times its objective and has reduced value.
    late,
    /// It will exceed three times its objective and has no value.
    overdue
};

/// Completion forecast of an occurrence.
struct completion_forecast
{
    timeliness state = timeliness::in_time;
    /// The time since it was due.
    std::chrono::milliseconds age{0};
    /// How much later it may end before it is overdue; negative if it is.
    std::chrono::milliseconds until_overdue{0};
};

/// Forecasts the completion of an occurrence. `estimate_factor` is the learned
/// ratio of run times to estimates.
completion_forecast forecast_completion(
    const submission_state& s, const occurrence_state& o,
    double estimate_factor, boot_time now);

/// What a submission needs from its arrival, as estimated.
struct needed_time
{
    /// The length of its longest chain of steps.
    std::chrono::milliseconds chain{0};
    /// After which it has no value.
    std::chrono::milliseconds late_limit{0};
};

needed_time time_needed(const submission_state& s, double estimate_factor);

/// What the submission's first occurrence has spent its time on until `now`.
submission_delays
delays_of(const submission_state& s, double estimate_factor, boot_time now);

/// The length of the critical path through the steps, from their estimates.
/// If `progress` is given, completed steps count as zero.
std::chrono::milliseconds
critical_path(const submission_spec& spec, const occurrence_state* progress);

} // namespace dandeliontack
