#include "certify.hpp"
#include "domains.hpp"

#include <algorithm>

namespace dandeliontack
{

std::string subject_of(const team_config& config)
{
    return "team " + config.name;
}

std::string certify(const state& s, const team_config& config)
{
    const job_size quota{
        config.quota_processors, config.quota_memory_mb,
        config.quota_accelerators};
    const auto larger = std::ranges::find_if(s.jobs.jobs, [&](auto& item) {
        const auto& job = item.second;
        return holds_host(job.phase) && job.team == config.name &&
               !fits(job.held, quota);
    });
    if (larger != s.jobs.jobs.end())
        return "the quota is below the size of running job " + larger->first;
    return {};
}

void feed(hasher& h, const team_config& config)
{
    h.add(config.name);
    h.add(config.quota_processors);
    h.add(config.quota_memory_mb);
    h.add(config.quota_accelerators);
}

} // namespace dandeliontack
