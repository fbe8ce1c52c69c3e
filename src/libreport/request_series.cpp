#include "request_series.hpp"

#include <array>
#include <map>
#include <tuple>

namespace dandeliontack
{

namespace
{

constexpr std::string_view requests_metric = "tack_service_requests_total";

// The member that counts the requests of a `result` label.
struct result_member
{
    std::string_view result;
    double request_counts::* member;
};

constexpr std::array result_members{
    result_member{"answered", &request_counts::answered},
    result_member{"failed", &request_counts::failed},
    result_member{"not-run", &request_counts::not_run},
    result_member{"unknown", &request_counts::unknown}};

using totals = std::map<service_label, request_counts>;

totals totals_of(const process_sample& sample)
{
    totals out;
    for (const auto& metric : sample.metrics)
    {
        if (metric.name != requests_metric)
            continue;
        auto& counts = out[{
            metric.label("service"), metric.label("version"),
            metric.label("pool")}];
        for (const auto& known : result_members)
            if (metric.label("result") == known.result)
                counts.*known.member += metric.value;
    }
    return out;
}

// A counter that fell was started again from 0.
request_counts
difference(const request_counts& now, const request_counts& before)
{
    const bool restarted =
        std::ranges::any_of(result_members, [&](const auto& known) {
            return now.*known.member < before.*known.member;
        });
    if (restarted)
        return now;
    auto out = now;
    for (const auto& known : result_members)
        out.*known.member -= before.*known.member;
    return out;
}

} // namespace

request_counts& request_counts::operator+=(const request_counts& more)
{
    for (const auto& known : result_members)
        this->*known.member += more.*known.member;
    return *this;
}

std::vector<request_step>
request_steps(const std::vector<process_sample>& samples)
{
    std::vector<request_step> steps;
    std::map<endpoint, totals> last;
    for (const auto& sample : samples)
    {
        if (sample.role != process_role::entry || !sample.answered())
            continue;
        const bool first = !last.contains(sample.address);
        auto& known = last[sample.address];
        auto current = totals_of(sample);
        for (const auto& [label, counts] : current)
            steps.push_back(
                {sample.time, label, difference(counts, known[label]), first});
        known = std::move(current);
    }
    return steps;
}

double burn_rate(const request_counts& counts, double objective)
{
    if (counts.total() == 0)
        return 0;
    return counts.bad() / counts.total() / (1 - objective);
}

} // namespace dandeliontack
