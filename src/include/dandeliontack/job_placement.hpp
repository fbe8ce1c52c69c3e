#pragma once

#include <dandeliontack/event.hpp>
#include <dandeliontack/planner.hpp>
#include <dandeliontack/state.hpp>

#include <optional>
#include <string>
#include <vector>

namespace dandeliontack
{

/// The phase of an accepted job. The job must be in `config.jobs`.
job_phase phase_of(const state& s, const std::string& job);

/// The sizes that the job's configuration declares.
job_size declared_size(const job_config& config);

/// What the kind of the job was seen to use, with a margin, or the declared
/// size while too little is known or the former could never be placed. Never
/// less than the job itself was seen to use.
job_size estimated_size(const state& s, const job_config& config);

/// Why the job could never be placed as things are, or nothing if it could.
std::optional<unrunnable_reason>
refusal_of(const state& s, const job_config& config);

/// How jobs are placed. Tables of functions, so that ways can be compared.
struct placement_strategy
{
    /// What a job is to hold.
    job_size (*size)(const state& s, const job_config& config);
    /// Whether urgent jobs may have others checkpointed, teams share fairly,
    /// and the first job that finds no room has a host kept free for it.
    bool ordered = true;
};

/// By learned sizes, urgent first, fair between teams.
extern const placement_strategy learned_placement;
/// By declared sizes, in the order of acceptance, on the first host with room.
extern const placement_strategy first_fit_placement;

/// What the leader proposes next for jobs, by a strategy.
std::vector<event_body> plan_jobs(
    const state& s, const planning_input& input,
    const placement_strategy& strategy);

} // namespace dandeliontack
