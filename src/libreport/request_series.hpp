#pragma once

#include <dandeliontack/report.hpp>

#include <vector>

namespace dandeliontack
{

/// Requests that one process counted up to a sample since the one before.
struct request_step
{
    std::chrono::sys_time<std::chrono::milliseconds> time;
    service_label label;
    request_counts counts;
    /// Whether these were counted before the process's first sample, at an
    /// unknown time.
    bool before_samples = false;
};

/// What the entry processes counted, step by step. Samples must be ordered by
/// time.
std::vector<request_step>
request_steps(const std::vector<process_sample>& samples);

/// The burn of the steps that `wanted` picks, seen from `until`.
template <class Wanted>
burn burn_of(
    const std::vector<request_step>& steps, const report_settings& by,
    std::chrono::sys_time<std::chrono::milliseconds> until, Wanted wanted);

/// How many times faster than allowed the budget is used.
double burn_rate(const request_counts& counts, double objective);

template <class Wanted>
burn burn_of(
    const std::vector<request_step>& steps, const report_settings& by,
    std::chrono::sys_time<std::chrono::milliseconds> until, Wanted wanted)
{
    burn out;
    request_counts recent;
    request_counts longer;
    for (const auto& step : steps)
    {
        if (!wanted(step))
            continue;
        out.counts += step.counts;
        if (step.before_samples)
            continue;
        if (step.time > until - by.long_window)
            longer += step.counts;
        if (step.time > until - by.short_window)
            recent += step.counts;
    }
    out.budget_used = burn_rate(out.counts, by.objective);
    if (recent.total() > 0)
        out.short_rate = burn_rate(recent, by.objective);
    if (longer.total() > 0)
        out.long_rate = burn_rate(longer, by.objective);
    return out;
}

} // namespace dandeliontack
