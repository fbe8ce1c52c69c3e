#include "job_round.hpp"

#include <algorithm>

namespace dandeliontack
{

namespace
{

bool is_leaving(job_phase phase)
{
    return phase == job_phase::checkpointing || phase == job_phase::stopping;
}

void add_slots(job_round& round)
{
    for (const auto& [name, host] : round.s.fleet.hosts)
    {
        const auto free = free_room(round.s, name);
        round.slots.emplace(
            name,
            host_slot{
                capacity_of(host), free, free, failures_on(round.s, name), {}});
    }
    for (const auto& item : round.s.config.pools)
        round.pool_hosts.emplace(
            item.first, hosts_for_jobs(round.s, item.first));
}

void add_jobs(job_round& round)
{
    for (const auto& [name, job] : round.s.jobs.jobs)
    {
        const auto slot = round.slots.find(job.host);
        if (!holds_host(job.phase) || slot == round.slots.end())
            continue;
        const auto& config = round.s.config.jobs.at(name).config;
        slot->second.jobs.push_back({&name, &job, &config});
        if (is_leaving(job.phase))
            slot->second.expected = slot->second.expected + job.held;
    }
}

// Suspects at most one host a pool and round; the next round knows better.
void plan_suspects(job_round& round)
{
    std::set<std::string> pools;
    for (const auto& [host, failures] : round.s.jobs.failures)
    {
        if (failures.suspected)
        {
            if (is_gone(round.s, host))
                round.propose(host_cleared{host});
            continue;
        }
        if (failures.jobs.size() < failures_to_blame)
            continue;
        const auto* pool = pool_of_host(round.s, host);
        if (pool && may_suspect_one(round.s, *pool) &&
            pools.insert(pool->name).second)
            round.propose(host_suspected{host});
    }
}

job_size declared(const state& /*s*/, const job_config& config)
{
    return declared_size(config);
}

} // namespace

const placement_strategy learned_placement{estimated_size, true};
const placement_strategy first_fit_placement{declared, false};

void job_round::act(const held_job& job, job_action action)
{
    acted_on.insert(*job.name);
    propose(job_action_requested{*job.name, job.record->lease, action});
    if (action == job_action::throttle || is_leaving(job.record->phase))
        return;
    auto& expected = slots.at(job.record->host).expected;
    expected = expected + job.record->held;
}

job_round make_job_round(
    const state& s, const planning_input& input,
    const placement_strategy& strategy)
{
    job_round round{s,  strategy, input.now, {}, {}, s.jobs.held_by_team,
                    {}, {}};
    add_slots(round);
    add_jobs(round);
    return round;
}

std::vector<event_body> plan_jobs(
    const state& s, const planning_input& input,
    const placement_strategy& strategy)
{
    auto round = make_job_round(s, input, strategy);
    plan_suspects(round);
    plan_running_jobs(round);
    plan_waiting_jobs(round);
    return std::move(round.proposals);
}

std::vector<event_body> plan_jobs(const state& s, const planning_input& input)
{
    return plan_jobs(s, input, learned_placement);
}

} // namespace dandeliontack
