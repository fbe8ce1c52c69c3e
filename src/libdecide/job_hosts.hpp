#pragma once

#include <dandeliontack/state.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace dandeliontack
{

/// How many different jobs must fail on a host, and on how many different
/// hosts a job must fail, before either is held responsible.
constexpr std::size_t failures_to_blame = 3;
/// How often a job must fail where fewer hosts than that take jobs.
constexpr std::uint64_t failures_to_blame_on_few_hosts = 6;

/// The hosts of a pool that may get new jobs: live and not suspected.
std::vector<std::string>
hosts_for_jobs(const state& s, const std::string& pool);

/// Whether the host is one of `hosts_for_jobs`.
bool takes_jobs(
    const state& s, const std::string& pool, const std::string& host);

/// Whether a job of the pool may stay on the host: in service in that pool.
bool keeps_jobs(
    const state& s, const std::string& pool, const std::string& host);

/// Whether the platform's list has dropped the host.
bool is_gone(const state& s, const std::string& host);

/// The pool that a host is in, or null.
const pool_config* pool_of_host(const state& s, const std::string& host);

/// Whether a pool could lose one more host to suspicion and keep its budget.
bool may_suspect_one(const state& s, const pool_config& pool);

/// What the host has in all, and what no job holds.
job_size capacity_of(const host_record& host);
job_size free_room(const state& s, const std::string& host);

/// What a team may hold at once, and what it holds.
job_size quota_of(const state& s, const std::string& team);
job_size held_by(const state& s, const std::string& team);

/// Whether a size could ever be placed: on some host of the pool if it were
/// empty, live or not, or while a host of the pool is not known yet.
bool could_fit_pool(
    const state& s, const std::string& pool, const job_size& size);

bool is_suspected(const state& s, const std::string& host);
/// How many different jobs failed on the host since one finished there.
std::size_t failures_on(const state& s, const std::string& host);

/// Whether a job is to be held responsible for its failures: it failed on
/// several hosts, or again and again on all that take jobs of its pool, and
/// not only on suspected ones.
bool fails_everywhere(
    const state& s, const std::string& pool, const job_record& job);

} // namespace dandeliontack
