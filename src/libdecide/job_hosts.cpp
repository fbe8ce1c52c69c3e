#include "job_hosts.hpp"

#include <dandeliontack/fleet_budget.hpp>

#include <algorithm>

namespace dandeliontack
{

namespace
{

bool takes_jobs(
    const state& s, const std::string& pool, const std::string& name,
    const host_record& host)
{
    return host.pool == pool && in_service(host) && !is_suspected(s, name);
}

job_size
value_of(const std::map<std::string, job_size>& sums, const std::string& key)
{
    const auto found = sums.find(key);
    return found == sums.end() ? job_size{} : found->second;
}

} // namespace

std::vector<std::string> hosts_for_jobs(const state& s, const std::string& pool)
{
    std::vector<std::string> hosts;
    for (const auto& [name, host] : s.fleet.hosts)
        if (takes_jobs(s, pool, name, host))
            hosts.push_back(name);
    return hosts;
}

bool takes_jobs(
    const state& s, const std::string& pool, const std::string& host)
{
    const auto found = s.fleet.hosts.find(host);
    return found != s.fleet.hosts.end() &&
           takes_jobs(s, pool, host, found->second);
}

bool keeps_jobs(
    const state& s, const std::string& pool, const std::string& host)
{
    const auto found = s.fleet.hosts.find(host);
    return found != s.fleet.hosts.end() && found->second.pool == pool &&
           in_service(found->second);
}

bool is_gone(const state& s, const std::string& host)
{
    const auto found = s.fleet.hosts.find(host);
    return found == s.fleet.hosts.end() ||
           found->second.listed == listing::gone;
}

const pool_config* pool_of_host(const state& s, const std::string& host)
{
    const auto member = s.fleet.hosts.find(host);
    if (member == s.fleet.hosts.end())
        return nullptr;
    const auto pool = s.config.pools.find(member->second.pool);
    return pool == s.config.pools.end() ? nullptr : &pool->second.config;
}

bool may_suspect_one(const state& s, const pool_config& pool)
{
    return hosts_for_jobs(s, pool.name).size() > pool.budget_hosts;
}

job_size capacity_of(const host_record& host)
{
    return {host.processors, host.memory_mb, host.accelerators};
}

job_size free_room(const state& s, const std::string& host)
{
    const auto found = s.fleet.hosts.find(host);
    if (found == s.fleet.hosts.end())
        return {};
    return remaining(
        capacity_of(found->second), value_of(s.jobs.held_on_host, host));
}

job_size quota_of(const state& s, const std::string& team)
{
    const auto found = s.config.teams.find(team);
    if (found == s.config.teams.end())
        return {};
    const auto& config = found->second.config;
    return {
        config.quota_processors, config.quota_memory_mb,
        config.quota_accelerators};
}

job_size held_by(const state& s, const std::string& team)
{
    return value_of(s.jobs.held_by_team, team);
}

bool could_fit_pool(
    const state& s, const std::string& pool, const job_size& size)
{
    return std::ranges::any_of(s.fleet.hosts, [&](const auto& item) {
        const auto& host = item.second;
        return host.pool == pool &&
               (!host.observed || fits(size, capacity_of(host)));
    });
}

bool is_suspected(const state& s, const std::string& host)
{
    const auto found = s.jobs.failures.find(host);
    return found != s.jobs.failures.end() && found->second.suspected;
}

std::size_t failures_on(const state& s, const std::string& host)
{
    const auto found = s.jobs.failures.find(host);
    return found == s.jobs.failures.end() ? 0 : found->second.jobs.size();
}

bool fails_everywhere(
    const state& s, const std::string& pool, const job_record& job)
{
    const auto suspected = [&](const auto& host) {
        return is_suspected(s, host);
    };
    if (std::ranges::all_of(job.failed_on, suspected))
        return false;
    if (job.failed_on.size() >= failures_to_blame)
        return true;
    return job.failures >= failures_to_blame_on_few_hosts &&
           std::ranges::all_of(hosts_for_jobs(s, pool), [&](const auto& host) {
               return job.failed_on.contains(host);
           });
}

} // namespace dandeliontack
