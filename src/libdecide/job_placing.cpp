#include "job_placing.hpp"

#include <algorithm>
#include <optional>
#include <tuple>

namespace dandeliontack
{

namespace
{

constexpr std::size_t placements_per_round = 512;
constexpr std::uint64_t per_mille = 1000;

// How much room a host keeps behind a job, for best fit.
std::uint64_t left_over(const host_slot& slot, const job_size& size)
{
    const auto left = remaining(slot.free, size);
    std::uint64_t sum = 0;
    for (const auto member : job_size_members)
        if (slot.capacity.*member > 0)
            sum += left.*member * per_mille / (slot.capacity.*member);
    return sum;
}

bool has_room(const host_slot& slot, const job_size& size)
{
    return fits(size, slot.free) && fits(size, slot.expected);
}

// The jobs to take off a host for room, and what that costs.
struct eviction
{
    std::vector<held_job> jobs;
    std::tuple<std::size_t, std::size_t> cost;
};

bool may_evict(const job_round& round, const held_job& job)
{
    const auto phase = job.record->phase;
    return job.config->priority != job_class::urgent &&
           (phase == job_phase::running || phase == job_phase::placed) &&
           !round.acted_on.contains(*job.name);
}

// Deferrable jobs first, those checkpointed least, the youngest.
bool evicts_before(const held_job& a, const held_job& b)
{
    return std::tuple(
               b.config->priority, a.record->checkpoints, b.record->lease) <
           std::tuple(
               a.config->priority, b.record->checkpoints, a.record->lease);
}

std::optional<eviction>
eviction_for(const job_round& round, const host_slot& slot, job_size size)
{
    std::vector<held_job> candidates;
    std::ranges::copy_if(
        slot.jobs, std::back_inserter(candidates),
        [&](const auto& job) { return may_evict(round, job); });
    std::ranges::sort(candidates, evicts_before);
    eviction result;
    std::size_t normal = 0;
    auto room = slot.expected;
    for (const auto& job : candidates)
    {
        if (fits(size, room))
            break;
        room = room + job.record->held;
        normal += job.config->priority == job_class::normal ? 1 : 0;
        result.jobs.push_back(job);
    }
    if (!fits(size, room))
        return std::nullopt;
    result.cost = {normal, result.jobs.size()};
    return result;
}

} // namespace

bool placement::full() const
{
    return placed_ >= placements_per_round;
}

host_slot*
placement::find_slot(const waiting_job& job, const std::string*& host)
{
    using rank = std::tuple<bool, std::size_t, std::uint64_t>;
    std::optional<rank> best;
    host_slot* found = nullptr;
    for (const auto& name : hosts_of(job))
    {
        auto& slot = round_.slots.at(name);
        if (!has_room(slot, job.size))
            continue;
        const bool failed = job.record && job.record->failed_on.contains(name);
        const rank rated{failed, slot.failures, left_over(slot, job.size)};
        if (best && rated >= *best)
            continue;
        best = rated;
        found = &slot;
        host = &name;
        if (!round_.strategy.ordered)
            break;
    }
    return found;
}

void placement::put(
    const waiting_job& job, const std::string& host, host_slot& slot)
{
    slot.free = remaining(slot.free, job.size);
    slot.expected = remaining(slot.expected, job.size);
    auto& team = round_.held_by_team[job.config->team];
    team = team + job.size;
    round_.propose(job_placed{job.config->name, host, job.size});
    ++placed_;
}

// Promises room of leaving jobs to an urgent job, and makes more leave where
// that is not enough.
void placement::make_room(const waiting_job& job)
{
    host_slot* best = nullptr;
    eviction cheapest;
    for (const auto& name : hosts_of(job))
    {
        auto& slot = round_.slots.at(name);
        auto found = eviction_for(round_, slot, job.size);
        if (!found || (best && found->cost >= cheapest.cost))
            continue;
        best = &slot;
        cheapest = std::move(*found);
    }
    if (!best)
        return reserve(job);
    for (const auto& victim : cheapest.jobs)
        round_.act(victim, job_action::checkpoint);
    best->expected = remaining(best->expected, job.size);
}

// Makes jobs of the urgent job's own team leave until its quota has room.
void placement::make_quota(const waiting_job& job)
{
    auto held = round_.held_by_team[job.config->team] + job.size;
    const auto quota = quota_of(round_.s, job.config->team);
    std::vector<held_job> candidates;
    for (const auto& [name, slot] : round_.slots)
        for (const auto& other : slot.jobs)
        {
            if (other.record->team != job.config->team)
                continue;
            if (may_evict(round_, other))
                candidates.push_back(other);
            else if (other.config->priority != job_class::urgent)
                held = remaining(held, other.record->held);
        }
    std::ranges::sort(candidates, evicts_before);
    for (const auto& victim : candidates)
    {
        if (fits(held, quota))
            return;
        held = remaining(held, victim.record->held);
        round_.act(victim, job_action::checkpoint);
    }
}

// Keeps one host of the pool for the first job that finds no room, so that
// smaller ones don't pass it for ever: the one with the most room, which
// grows as jobs end.
void placement::reserve(const waiting_job& job)
{
    if (reserved_pools_.contains(job.config->pool))
        return;
    host_slot* best = nullptr;
    for (const auto& name : hosts_of(job))
    {
        auto& slot = round_.slots.at(name);
        if (fits(job.size, slot.capacity) &&
            (!best || left_over(slot, {}) > left_over(*best, {})))
            best = &slot;
    }
    if (!best)
        return;
    best->expected = {};
    reserved_pools_.insert(job.config->pool);
}

void placement::place(const waiting_job& job)
{
    const auto& team = job.config->team;
    const bool urgent = job.config->priority == job_class::urgent;
    const bool ordered = round_.strategy.ordered;
    if (ordered && held_teams_.contains(team))
        return;
    if (!fits(round_.held_by_team[team] + job.size, quota_of(round_.s, team)))
    {
        if (ordered && urgent)
            make_quota(job);
        held_teams_.insert(team);
        return;
    }
    const std::string* host = nullptr;
    if (auto* slot = find_slot(job, host))
        put(job, *host, *slot);
    else if (ordered && urgent)
        make_room(job);
    else if (ordered)
        reserve(job);
}

} // namespace dandeliontack
