#include "job_placing.hpp"

#include <algorithm>
#include <optional>
#include <queue>
#include <tuple>

namespace dandeliontack
{

namespace
{

constexpr std::size_t reports_per_round = 128;
// A job goes before all others but urgent ones once operators published this
// many records after it.
constexpr std::uint64_t records_to_age = 4096;
constexpr std::uint64_t per_mille = 1000;

std::uint64_t share_of(const job_size& size, const job_size& whole)
{
    std::uint64_t largest = 0;
    for (const auto member : job_size_members)
        if (whole.*member > 0)
            largest =
                std::max(largest, size.*member * per_mille / (whole.*member));
    return largest;
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
