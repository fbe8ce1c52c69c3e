#include "certify.hpp"
#include "domains.hpp"

namespace dandeliontack
{

std::string subject_of(const job_config& config)
{
    return "job " + config.name;
}

std::string certify(const state& s, const job_config& config)
{
    if (!s.config.teams.contains(config.team))
        return "there is no team " + config.team;
    if (!s.config.pools.contains(config.pool))
        return "there is no pool " + config.pool;
    const auto known = s.config.jobs.find(config.name);
    if (known == s.config.jobs.end() || config.cancelled)
        return {};
    const auto job = s.jobs.jobs.find(config.name);
    const bool runs = job != s.jobs.jobs.end() && holds_host(job->second.phase);
    const auto& old = known->second.config;
    if (runs && (old.team != config.team || old.pool != config.pool))
        return "its team and pool can't change while it runs";
    return {};
}

void feed(hasher& h, const job_config& config)
{
    h.add(config.name);
    h.add(config.team);
    h.add(config.pool);
    h.add(config.priority);
    h.add(config.processors);
    h.add(config.memory_mb);
    h.add(config.accelerators);
    h.add(config.run_time);
    h.add(config.kind);
    h.add(config.cancelled);
}

} // namespace dandeliontack
