#include "completion_forecast.hpp"

#include <algorithm>
#include <vector>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;

// A submission that completes later than this multiple of its objective has no
// value.
constexpr double late_limit_factor = 3.0;

using exact_milliseconds = std::chrono::duration<double, std::milli>;

// The expected length of the longest chain of steps.
exact_milliseconds chain_of(const submission_state& s, double estimate_factor)
{
    return critical_path(s.record.spec, nullptr) * estimate_factor;
}

exact_milliseconds
objective_of(const submission_state& s, double estimate_factor)
{
    return chain_of(s, estimate_factor) * s.record.terms.stretch +
           s.record.terms.target;
}

} // namespace

std::chrono::milliseconds
critical_path(const submission_spec& spec, const occurrence_state* progress)
{
    std::vector<std::chrono::milliseconds> ends;
    std::chrono::milliseconds longest{0};
    for (std::size_t i = 0; i < spec.steps.size(); ++i)
    {
        const auto& step = spec.steps[i];
        std::chrono::milliseconds begin{0};
        for (const auto earlier : step.dependencies)
            begin = std::max(begin, ends[earlier]);
        const bool done = progress && progress->steps[i].done ==
                                          progress->steps[i].tasks.size();
        ends.push_back(begin + (done ? 0ms : step.estimate));
        longest = std::max(longest, ends.back());
    }
    return longest;
}

completion_forecast forecast_completion(
    const submission_state& s, const occurrence_state& o,
    double estimate_factor, boot_time now)
{
    const auto& spec = s.record.spec;
    const double remaining =
        estimate_factor * static_cast<double>(critical_path(spec, &o).count());
    const double objective = objective_of(s, estimate_factor).count();
    completion_forecast out;
    out.age = now - o.due;
    const double end = static_cast<double>(out.age.count()) + remaining;
    out.until_overdue = std::chrono::duration_cast<std::chrono::milliseconds>(
        exact_milliseconds(late_limit_factor * objective - end));
    if (end > late_limit_factor * objective)
        out.state = timeliness::overdue;
    else if (end > objective)
        out.state = timeliness::late;
    return out;
}

needed_time time_needed(const submission_state& s, double estimate_factor)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    return {
        duration_cast<milliseconds>(chain_of(s, estimate_factor)),
        duration_cast<milliseconds>(
            late_limit_factor * objective_of(s, estimate_factor))};
}

submission_delays
delays_of(const submission_state& s, double estimate_factor, boot_time now)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    submission_delays out;
    out.chain = duration_cast<milliseconds>(chain_of(s, estimate_factor));
    out.objective =
        duration_cast<milliseconds>(objective_of(s, estimate_factor));
    const auto first = s.occurrences.begin();
    out.age = duration_cast<milliseconds>(
        now - (first == s.occurrences.end() ? s.arrived : first->second.due));
    if (first == s.occurrences.end())
        return out;
    const auto between = [](boot_time from, boot_time to) {
        return from == boot_time{} || to < from
                   ? 0ms
                   : duration_cast<milliseconds>(to - from);
    };
    for (const auto& step : first->second.steps)
    {
        const auto& times = step.times;
        // A step that was never placed waits until now.
        const auto placed =
            times.placed == boot_time{} && step.done < step.tasks.size()
                ? now
                : times.placed;
        out.unplaced += between(times.ready, placed);
        out.running += between(times.placed, times.ended);
        out.restarts += step.restarts;
    }
    return out;
}

} // namespace dandeliontack
