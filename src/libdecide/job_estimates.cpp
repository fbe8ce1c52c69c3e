#include "job_estimates.hpp"

#include "job_hosts.hpp"
#include <dandeliontack/job_placement.hpp>

#include <algorithm>
#include <vector>

namespace dandeliontack
{

namespace
{

constexpr std::size_t kept_peaks = 16;
constexpr std::size_t peaks_to_trust = 4;
// The estimate is the peak that this share of the kept runs stays within.
constexpr std::size_t quantile_percent = 90;
// The margin on accelerators would be a whole one more: they have none.
constexpr std::uint64_t margin_divisor = 8;

std::uint64_t quantile(std::vector<std::uint64_t> values)
{
    // Nearest rank: the least value with enough values at or below it.
    const auto rank = (values.size() * quantile_percent + 99) / 100;
    const auto place = values.begin() + static_cast<std::ptrdiff_t>(rank - 1);
    std::ranges::nth_element(values, place);
    return *place;
}

std::uint64_t raise(std::uint64_t value)
{
    return value + (value + margin_divisor - 1) / margin_divisor;
}

bool could_place(const state& s, const job_config& config, const job_size& size)
{
    return could_fit_pool(s, config.pool, size) &&
           fits(size, quota_of(s, config.team));
}

job_size size_by_kind(const state& s, const job_config& config)
{
    const auto declared = declared_size(config);
    const auto kind = s.jobs.kinds.find(config.kind);
    if (kind == s.jobs.kinds.end())
        return declared;
    auto learned = estimate(kind->second);
    if (!learned)
        return declared;
    // An accelerator that was idle when usage was taken is needed all the same.
    learned->accelerators = std::max(
        learned->accelerators,
        std::min<std::uint64_t>(declared.accelerators, 1));
    return could_place(s, config, *learned) ? *learned : declared;
}

} // namespace

void learn(kind_usage& kind, const job_size& peak)
{
    kind.peaks.push_back(peak);
    if (kind.peaks.size() > kept_peaks)
        kind.peaks.pop_front();
}

std::optional<job_size> estimate(const kind_usage& kind)
{
    if (kind.peaks.size() < peaks_to_trust)
        return std::nullopt;
    job_size result;
    for (const auto member : job_size_members)
    {
        std::vector<std::uint64_t> values(kind.peaks.size());
        std::ranges::transform(
            kind.peaks, values.begin(),
            [&](const auto& peak) { return peak.*member; });
        result.*member = quantile(std::move(values));
    }
    return larger_of(with_margin(result), {1, 1, 0});
}

job_size with_margin(const job_size& usage)
{
    return {
        raise(usage.processors), raise(usage.memory_mb), usage.accelerators};
}

job_size declared_size(const job_config& config)
{
    return {config.processors, config.memory_mb, config.accelerators};
}

job_size estimated_size(const state& s, const job_config& config)
{
    const auto size = size_by_kind(s, config);
    const auto own = s.jobs.jobs.find(config.name);
    if (own == s.jobs.jobs.end() || fits(own->second.peak, size))
        return size;
    const auto seen = larger_of(size, with_margin(own->second.peak));
    return could_place(s, config, seen) ? seen
                                        : larger_of(size, own->second.peak);
}

std::optional<unrunnable_reason>
refusal_of(const state& s, const job_config& config)
{
    const auto size = estimated_size(s, config);
    if (!could_fit_pool(s, config.pool, size))
        return unrunnable_reason::fits_no_host;
    if (!fits(size, quota_of(s, config.team)))
        return unrunnable_reason::exceeds_quota;
    return std::nullopt;
}

} // namespace dandeliontack
