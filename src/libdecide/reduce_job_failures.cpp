#include "job_hosts.hpp"
#include "job_lifecycle.hpp"

#include <algorithm>

namespace dandeliontack
{

namespace
{

// What failed by its own fault says nothing about the hosts it failed on.
void forgive_hosts(job_state& jobs, const std::string& job)
{
    for (auto& [name, host] : jobs.failures)
    {
        host.jobs.erase(job);
        if (host.jobs.size() < failures_to_blame)
            host.suspected = false;
    }
}

void blame_job(
    const reduce_context& context, const std::string& name, job_record& job)
{
    const auto reason = unrunnable_reason::fails_on_hosts;
    job.phase = job_phase::unrunnable;
    job.reason = reason;
    job.revision = context.current.config.jobs.at(name).revision;
    forgive_hosts(context.current.jobs, name);
    context.todo.emplace_back(job_unrunnable_reported{name, reason});
}

// Jobs that were blamed for failures on hosts that are all suspected now get
// another chance.
void forgive_jobs(state& s)
{
    for (auto& [name, job] : s.jobs.jobs)
    {
        const bool blamed = job.phase == job_phase::unrunnable &&
                            job.reason == unrunnable_reason::fails_on_hosts;
        if (!blamed || !std::ranges::all_of(job.failed_on, [&](auto& host) {
                return is_suspected(s, host);
            }))
            continue;
        job.phase = job_phase::waiting;
        job.failures = 0;
        job.failed_on.clear();
    }
}

std::string reason_not_to_suspect(const state& s, const std::string& host)
{
    const auto* pool = pool_of_host(s, host);
    if (!pool)
        return "it is in no pool";
    if (is_suspected(s, host))
        return "it is suspected already";
    if (failures_on(s, host) < failures_to_blame)
        return "too few jobs failed on it";
    if (!may_suspect_one(s, *pool))
        return "pool " + pool->name + " would fall below its budget";
    return {};
}

} // namespace

void note_failure(
    const reduce_context& context, const std::string& name, job_record& job)
{
    auto& s = context.current;
    s.jobs.failures[job.host].jobs.insert(name);
    job.failed_on.insert(job.host);
    ++job.failures;
    release(s.jobs, job, job_phase::waiting);
    if (fails_everywhere(s, s.config.jobs.at(name).config.pool, job))
        blame_job(context, name, job);
}

void note_success(job_state& jobs, const std::string& host)
{
    jobs.failures.erase(host);
}

void apply_one(const reduce_context& context, const host_suspected& e)
{
    auto& s = context.current;
    const auto reason = reason_not_to_suspect(s, e.host);
    if (!reason.empty())
        return context.reject("host " + e.host, reason);
    s.jobs.failures[e.host].suspected = true;
    forgive_jobs(s);
    context.todo.emplace_back(quarantine_suggested{e.host});
}

void apply_one(const reduce_context& context, const host_cleared& e)
{
    auto& s = context.current;
    if (!is_suspected(s, e.host) || !is_gone(s, e.host))
        return context.reject(
            "host " + e.host, "it is not a suspected host that is gone");
    s.jobs.failures.erase(e.host);
}

} // namespace dandeliontack
