#include "job_estimates.hpp"
#include "job_hosts.hpp"
#include "job_lifecycle.hpp"
#include <dandeliontack/job_placement.hpp>

#include <algorithm>

namespace dandeliontack
{

namespace
{

// A report above this is cut off, so that sums and margins can't overflow.
constexpr job_size largest_usage{1U << 20, 1U << 30, 1U << 20};

void command(
    const reduce_context& context, const std::string& name,
    const job_record& job, job_action action)
{
    const auto& origin = context.cause.origin;
    context.todo.emplace_back(job_command{
        name, job.host, action, job.lease, origin.term, origin.offset});
}

// The job's record if the lease is its present one; else the record that
// names it is stale and rejected.
template <class Event>
job_record* find_run(const reduce_context& context, const Event& e)
{
    auto& jobs = context.current.jobs.jobs;
    const auto found = jobs.find(e.job);
    if (found != jobs.end() && holds_host(found->second.phase) &&
        found->second.lease == e.lease)
        return &found->second;
    context.reject("job " + e.job, "its lease is not the present one");
    return nullptr;
}

std::string reason_not_to_place(const state& s, const job_placed& e)
{
    const auto job = s.config.jobs.find(e.job);
    if (job == s.config.jobs.end())
        return "there is no such job";
    const auto& config = job->second.config;
    if (phase_of(s, e.job) != job_phase::waiting)
        return "it is not waiting";
    if (!takes_jobs(s, config.pool, e.host))
        return "host " + e.host + " takes no jobs of pool " + config.pool;
    if (e.size.processors == 0 || e.size.memory_mb == 0)
        return "its size is zero";
    if (!fits(e.size, free_room(s, e.host)))
        return "host " + e.host + " has no room for it";
    if (!fits(held_by(s, config.team) + e.size, quota_of(s, config.team)))
        return "it would exceed the quota of team " + config.team;
    return {};
}

void begin_run(
    const reduce_context& context, const job_placed& e, job_record& job)
{
    const auto& known = context.current.config.jobs.at(e.job);
    if (job.phase == job_phase::unrunnable)
        job = job_record{.checkpoints = job.checkpoints};
    job.phase = job_phase::placed;
    job.team = known.config.team;
    job.kind = known.config.kind;
    job.host = e.host;
    job.lease = context.cause.origin.offset;
    job.usage = {};
    job.throttled = false;
    job.acted = context.cause.time;
    job.reported = context.cause.time;
    hold(context.current.jobs, job, e.size);
}

void apply_one(const reduce_context& context, const job_placed& e)
{
    const auto reason = reason_not_to_place(context.current, e);
    if (!reason.empty())
        return context.reject("job " + e.job, reason);
    auto& job = context.current.jobs.jobs[e.job];
    begin_run(context, e, job);
    command(context, e.job, job, job_action::start);
}

void apply_one(const reduce_context& context, const job_started& e)
{
    auto* job = find_run(context, e);
    if (job && job->phase == job_phase::placed)
        job->phase = job_phase::running;
}

void apply_one(const reduce_context& context, const job_reported& e)
{
    auto* job = find_run(context, e);
    if (!job)
        return;
    if (job->phase == job_phase::placed)
        job->phase = job_phase::running;
    job->usage = combine(e.usage, largest_usage, [](auto x, auto most) {
        return std::min(x, most);
    });
    job->peak = larger_of(job->peak, job->usage);
    job->reported = context.cause.time;
}

void apply_one(const reduce_context& context, const job_resized& e)
{
    auto* job = find_run(context, e);
    if (!job)
        return;
    const auto& s = context.current;
    const auto others = remaining(held_by(s, job->team), job->held);
    if (job->phase != job_phase::running || job->throttled ||
        !fits(e.size, free_room(s, job->host) + job->held) ||
        !fits(others + e.size, quota_of(s, job->team)))
        return context.reject("job " + e.job, "there is no room to resize it");
    hold(context.current.jobs, *job, e.size);
    job->acted = context.cause.time;
}

// Whether an action may follow on what was asked of the job before.
bool may_follow(const job_record& job, job_action action)
{
    switch (action)
    {
    case job_action::throttle:
        return job.phase == job_phase::running && !job.throttled;
    case job_action::checkpoint:
        return job.phase == job_phase::running ||
               job.phase == job_phase::placed;
    case job_action::stop:
        return job.phase != job_phase::stopping;
    case job_action::start:
        break;
    }
    return false;
}

void apply_one(const reduce_context& context, const job_action_requested& e)
{
    auto* job = find_run(context, e);
    if (!job)
        return;
    if (!may_follow(*job, e.action))
        return context.reject("job " + e.job, "the action can't follow");
    if (e.action == job_action::throttle)
        job->throttled = true;
    else
        job->phase = e.action == job_action::checkpoint
                         ? job_phase::checkpointing
                         : job_phase::stopping;
    job->acted = context.cause.time;
    command(context, e.job, *job, e.action);
}

void apply_one(const reduce_context& context, const job_finished& e)
{
    auto* job = find_run(context, e);
    if (!job)
        return;
    auto& jobs = context.current.jobs;
    note_success(jobs, job->host);
    if (job->peak != job_size{})
        learn(jobs.kinds[job->kind], job->peak);
    release(jobs, *job, job_phase::finished);
    // Nothing reads more of a finished job than its phase.
    *job = job_record{.phase = job_phase::finished};
}

void apply_one(const reduce_context& context, const job_failed& e)
{
    if (auto* job = find_run(context, e))
        note_failure(context, e.job, *job);
}

// The job leaves its host unfinished. What it used above its size is worth
// learning at once; what it used below may be only a part.
void leave_host(job_state& jobs, job_record& job)
{
    if (!fits(job.peak, job.held))
        learn(jobs.kinds[job.kind], job.peak);
    release(jobs, job, job_phase::waiting);
}

void apply_one(const reduce_context& context, const job_checkpointed& e)
{
    auto* job = find_run(context, e);
    if (!job)
        return;
    ++job->checkpoints;
    leave_host(context.current.jobs, *job);
}

void apply_one(const reduce_context& context, const job_stopped& e)
{
    if (auto* job = find_run(context, e))
        leave_host(context.current.jobs, *job);
}

void apply_one(const reduce_context& context, const job_lost& e)
{
    auto* job = find_run(context, e);
    if (!job)
        return;
    if (!is_gone(context.current, job->host))
        return context.reject("job " + e.job, "its host is not gone");
    release(context.current.jobs, *job, job_phase::waiting);
}

void apply_one(const reduce_context& context, const job_unrunnable& e)
{
    const auto& s = context.current;
    const auto known = s.config.jobs.find(e.job);
    if (known == s.config.jobs.end() ||
        phase_of(s, e.job) != job_phase::waiting ||
        refusal_of(s, known->second.config) != e.reason)
        return context.reject("job " + e.job, "it may run, or does not wait");
    auto& job = context.current.jobs.jobs[e.job];
    job.phase = job_phase::unrunnable;
    job.reason = e.reason;
    job.revision = known->second.revision;
    context.todo.emplace_back(job_unrunnable_reported{e.job, e.reason});
}

void apply_one(const reduce_context& context, const job_reopened& e)
{
    const auto& s = context.current;
    const auto known = s.config.jobs.find(e.job);
    if (known == s.config.jobs.end() ||
        phase_of(s, e.job) != job_phase::unrunnable ||
        s.jobs.jobs.at(e.job).reason == unrunnable_reason::fails_on_hosts ||
        refusal_of(s, known->second.config))
        return context.reject("job " + e.job, "it still can't run");
    context.current.jobs.jobs.at(e.job).phase = job_phase::waiting;
}

void add(
    std::map<std::string, job_size>& sums, const std::string& key,
    const job_size& old, const job_size& size)
{
    auto& sum = sums[key];
    sum = remaining(sum, old) + size;
    if (sum == job_size{})
        sums.erase(key);
}

} // namespace

void hold(job_state& jobs, job_record& job, const job_size& size)
{
    add(jobs.held_on_host, job.host, job.held, size);
    add(jobs.held_by_team, job.team, job.held, size);
    job.held = size;
}

void release(job_state& jobs, job_record& job, job_phase next)
{
    hold(jobs, job, {});
    job.phase = next;
    job.host.clear();
    job.lease = 0;
    job.throttled = false;
}

job_phase phase_of(const state& s, const std::string& job)
{
    const auto& known = s.config.jobs.at(job);
    const auto found = s.jobs.jobs.find(job);
    auto phase = job_phase::waiting;
    if (found != s.jobs.jobs.end())
        phase = found->second.phase;
    const bool idle =
        phase == job_phase::waiting || phase == job_phase::unrunnable;
    if (idle && known.config.cancelled)
        return job_phase::cancelled;
    // A changed job gets another chance.
    if (phase == job_phase::unrunnable &&
        found->second.revision != known.revision)
        return job_phase::waiting;
    return phase;
}

void apply(const reduce_context& context, const job_event& e)
{
    std::visit([&](const auto& one) { apply_one(context, one); }, e);
}

void feed(hasher& h, const job_size& size)
{
    h.add(size.processors);
    h.add(size.memory_mb);
    h.add(size.accelerators);
}

void feed(hasher& h, const job_record& job)
{
    h.add(job.phase);
    h.add(job.revision);
    h.add(job.reason);
    h.add(job.team);
    h.add(job.kind);
    h.add(job.host);
    h.add(job.lease);
    feed(h, job.held);
    feed(h, job.usage);
    feed(h, job.peak);
    h.add(job.throttled);
    h.add(job.checkpoints);
    h.add(job.acted.time_since_epoch());
    h.add(job.reported.time_since_epoch());
    h.add_range(job.failed_on);
    h.add(job.failures);
}

void feed(hasher& h, const kind_usage& kind)
{
    h.add_range(kind.peaks);
}

void feed(hasher& h, const host_failures& host)
{
    h.add_range(host.jobs);
    h.add(host.suspected);
}

void feed(hasher& h, const job_state& s)
{
    h.add_range(s.jobs);
    h.add_range(s.kinds);
    h.add_range(s.failures);
    h.add_range(s.held_on_host);
    h.add_range(s.held_by_team);
}

} // namespace dandeliontack
