#include "job_estimates.hpp"
#include "job_round.hpp"

#include <algorithm>
#include <optional>

namespace dandeliontack
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// A wave of cancellations is worked off in steps of this many actions.
constexpr std::size_t actions_per_round = 128;
// What a checkpoint may take before the job is stopped instead; an urgent job
// that waits for the room must start within 2.6 s.
constexpr milliseconds checkpoint_patience(1200);
constexpr seconds start_patience(10);
// How old a reported usage may be.
constexpr seconds usage_lag(2);

// Lets a job hold what it uses, if its host and quota have room for that.
bool resize(job_round& round, const held_job& job)
{
    const auto& held = job.record->held;
    const auto size = larger_of(held, with_margin(job.record->usage));
    const auto more = remaining(size, held);
    auto& slot = round.slots.at(job.record->host);
    auto& team = round.held_by_team[job.record->team];
    if (!fits(more, slot.free) || !fits(more, slot.expected) ||
        !fits(team + more, quota_of(round.s, job.record->team)))
        return false;
    slot.free = remaining(slot.free, more);
    slot.expected = remaining(slot.expected, more);
    team = team + more;
    round.acted_on.insert(*job.name);
    round.propose(job_resized{*job.name, job.record->lease, size});
    return true;
}

// The next step of the ladder throttle, checkpoint, stop.
std::optional<job_action>
next_restraint(const job_round& round, const job_record& job)
{
    const auto phase = job.phase;
    if (phase == job_phase::checkpointing &&
        round.now > job.acted + checkpoint_patience)
        return job_action::stop;
    if (phase == job_phase::placed && round.now > job.acted + start_patience)
        return job_action::stop;
    if (phase != job_phase::running || fits(job.usage, job.held))
        return std::nullopt;
    if (!job.throttled)
        return job_action::throttle;
    if (job.reported > job.acted + usage_lag)
        return job_action::checkpoint;
    return std::nullopt;
}

void plan_one(job_round& round, const held_job& job)
{
    const auto phase = job.record->phase;
    if (phase == job_phase::stopping)
        return;
    if (job.config->cancelled)
        return round.act(job, job_action::stop);
    if (phase != job_phase::checkpointing &&
        !keeps_jobs(round.s, job.config->pool, job.record->host))
        return round.act(job, job_action::checkpoint);
    const auto restraint = next_restraint(round, *job.record);
    if (!restraint ||
        (*restraint == job_action::throttle && resize(round, job)))
        return;
    round.act(job, *restraint);
}

} // namespace

void plan_running_jobs(job_round& round)
{
    const auto begin = round.proposals.size();
    for (const auto& [name, slot] : round.slots)
    {
        const bool gone = is_gone(round.s, name);
        for (const auto& job : slot.jobs)
        {
            if (round.proposals.size() - begin >= actions_per_round)
                return;
            if (gone)
                round.propose(job_lost{*job.name, job.record->lease});
            else
                plan_one(round, job);
        }
    }
}

} // namespace dandeliontack
