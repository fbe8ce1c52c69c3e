#include "job_round.hpp"

#include <algorithm>
#include <optional>
#include <queue>
#include <tuple>

namespace dandeliontack
{

namespace
{

constexpr std::size_t placements_per_round = 512;
constexpr std::size_t reports_per_round = 128;
// A job goes before all others but urgent ones once operators published this
// many records after it.
constexpr std::uint64_t records_to_age = 4096;
constexpr std::uint64_t per_mille = 1000;

struct waiting_job
{
    const job_config* config;
    const job_record* record;
    std::uint64_t accepted;
    job_size size;
};

std::uint64_t share_of(const job_size& size, const job_size& whole)
{
    std::uint64_t largest = 0;
    for (const auto member : job_size_members)
        if (whole.*member > 0)
            largest =
                std::max(largest, size.*member * per_mille / (whole.*member));
    return largest;
}

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

class placement
{
public:
    explicit placement(job_round& round) : round_(round) {}

    /// Places a job, or notes what keeps it from being placed.
    void place(const waiting_job& job);
    bool full() const
    {
        return placed_ >= placements_per_round;
    }

private:
    host_slot* find_slot(const waiting_job& job, const std::string*& host);
    void put(const waiting_job& job, const std::string& host, host_slot& slot);
    void make_room(const waiting_job& job);
    void make_quota(const waiting_job& job);
    void reserve(const waiting_job& job);
    const std::vector<std::string>& hosts_of(const waiting_job& job) const
    {
        return round_.pool_hosts.at(job.config->pool);
    }

    job_round& round_;
    std::set<std::string> held_teams_;
    std::set<std::string> reserved_pools_;
    std::size_t placed_ = 0;
};

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

struct waiting_jobs
{
    std::vector<waiting_job> first;
    std::map<std::string, std::vector<waiting_job>> by_team;
};

// Reports a job that can never be placed, or that now can, while `reports`
// lasts; else returns what is to be placed.
std::optional<waiting_job> examine(
    job_round& round, const in_force<job_config>& known, job_phase phase,
    std::size_t& reports)
{
    const auto report = [&](job_event e) {
        if (reports == 0)
            return;
        --reports;
        round.propose(std::move(e));
    };
    const auto refusal = refusal_of(round.s, known.config);
    const auto& name = known.config.name;
    const auto record = round.s.jobs.jobs.find(name);
    if (phase == job_phase::unrunnable)
    {
        const bool fails =
            record->second.reason == unrunnable_reason::fails_on_hosts;
        if (!refusal && !fails)
            report(job_reopened{name});
        return std::nullopt;
    }
    if (refusal)
    {
        report(job_unrunnable{name, *refusal});
        return std::nullopt;
    }
    return waiting_job{
        &known.config,
        record == round.s.jobs.jobs.end() ? nullptr : &record->second,
        known.offset, round.strategy.size(round.s, known.config)};
}

waiting_jobs collect(job_round& round)
{
    waiting_jobs result;
    const auto end = round.s.order.operators_end;
    auto reports = reports_per_round;
    for (const auto& [name, known] : round.s.config.jobs)
    {
        const auto phase = phase_of(round.s, name);
        if (phase != job_phase::waiting && phase != job_phase::unrunnable)
            continue;
        const auto job = examine(round, known, phase, reports);
        if (!job)
            continue;
        const bool first = !round.strategy.ordered ||
                           known.config.priority == job_class::urgent ||
                           known.offset + records_to_age < end;
        (first ? result.first : result.by_team[known.config.team])
            .push_back(*job);
    }
    return result;
}

// Urgent jobs in the order of acceptance, then aged ones likewise.
void place_first(
    placement& to, std::vector<waiting_job>& jobs, bool urgent_first)
{
    std::ranges::sort(jobs, {}, [&](const auto& job) {
        const bool later =
            urgent_first && job.config->priority != job_class::urgent;
        return std::tuple(later, job.accepted);
    });
    for (const auto& job : jobs)
    {
        if (to.full())
            return;
        to.place(job);
    }
}

// One job after the other, normal ones first, from the team that holds the
// least of its quota.
void place_fairly(
    placement& to, job_round& round,
    std::map<std::string, std::vector<waiting_job>>& by_team)
{
    using turn = std::tuple<job_class, std::uint64_t, std::string>;
    std::priority_queue<turn, std::vector<turn>, std::greater<>> turns;
    const auto add_turn = [&](const std::string& team) {
        turns.emplace(
            by_team.at(team).back().config->priority,
            share_of(round.held_by_team[team], quota_of(round.s, team)), team);
    };
    for (auto& [team, jobs] : by_team)
    {
        // The next job is the last one.
        std::ranges::sort(jobs, std::greater<>(), [](const auto& job) {
            return std::tuple(job.config->priority, job.accepted);
        });
        add_turn(team);
    }
    while (!turns.empty() && !to.full())
    {
        const auto team = std::get<std::string>(turns.top());
        turns.pop();
        auto& jobs = by_team.at(team);
        const auto job = jobs.back();
        jobs.pop_back();
        to.place(job);
        if (!jobs.empty())
            add_turn(team);
    }
}

} // namespace

void plan_waiting_jobs(job_round& round)
{
    auto waiting = collect(round);
    placement to(round);
    place_first(to, waiting.first, round.strategy.ordered);
    place_fairly(to, round, waiting.by_team);
}

} // namespace dandeliontack
