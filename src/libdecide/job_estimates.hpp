#pragma once

#include <dandeliontack/job_state.hpp>

#include <optional>

namespace dandeliontack
{

/// Adds the peak usage of a run to what is known of its kind.
void learn(kind_usage& kind, const job_size& peak);

/// What a job of the kind is likely to use, with a margin, or nothing while
/// too few runs were seen. Integers only, so that all nodes agree.
std::optional<job_size> estimate(const kind_usage& kind);

/// A usage and the margin on it.
job_size with_margin(const job_size& usage);

} // namespace dandeliontack
