#pragma once

#include "job_hosts.hpp"
#include <dandeliontack/job_placement.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace dandeliontack
{

/// A job that holds room on a host.
struct held_job
{
    const std::string* name;
    const job_record* record;
    const job_config* config;
};

/// A host during one planning round.
struct host_slot
{
    job_size capacity;
    /// What no job holds, counting this round's proposals.
    job_size free;
    /// `free`, more by what jobs that are leaving will give back, and less by
    /// what of that is promised to waiting jobs.
    job_size expected;
    std::size_t failures = 0;
    std::vector<held_job> jobs;
};

/// The working copy that the steps of one planning round share. `s` and
/// `strategy` must outlive it.
struct job_round
{
    const state& s;
    const placement_strategy& strategy;
    std::chrono::sys_time<std::chrono::milliseconds> now;
    std::map<std::string, host_slot> slots;
    /// By pool, the hosts that may get new jobs.
    std::map<std::string, std::vector<std::string>> pool_hosts;
    std::map<std::string, job_size> held_by_team;
    /// Jobs that an action is proposed for.
    std::set<std::string> acted_on;
    std::vector<event_body> proposals;

    void propose(job_event e)
    {
        proposals.emplace_back(std::move(e));
    }
    /// Proposes an action; one that ends the run makes its room expected.
    void act(const held_job& job, job_action action);
};

job_round make_job_round(
    const state& s, const planning_input& input,
    const placement_strategy& strategy);

// The steps of a round, each in its file plan_job_STEP.cpp.

/// Stops cancelled jobs, moves jobs off leaving hosts, and bounds what jobs
/// use above their size.
void plan_running_jobs(job_round& round);
/// Places waiting jobs and makes room for urgent ones.
void plan_waiting_jobs(job_round& round);

} // namespace dandeliontack
