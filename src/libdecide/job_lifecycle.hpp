#pragma once

#include "domains.hpp"

#include <string>

namespace dandeliontack
{

/// Takes the job's room off its host and team, and ends its lease.
void release(job_state& jobs, job_record& job, job_phase next);

/// Puts `size` in place of what the job holds, in all sums.
void hold(job_state& jobs, job_record& job, const job_size& size);

/// Notes a failure of the job on its host and decides, once the job is
/// released, whether the job itself is to blame.
void note_failure(
    const reduce_context& context, const std::string& name, job_record& job);

/// Notes that a job finished on the host, which therefore can run jobs.
void note_success(job_state& jobs, const std::string& host);

// The records about hosts.
void apply_one(const reduce_context& context, const host_suspected& e);
void apply_one(const reduce_context& context, const host_cleared& e);

} // namespace dandeliontack
