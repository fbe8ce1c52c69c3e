#pragma once

#include "job_round.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace dandeliontack
{

/// A job to be placed. The state of the round owns what it points to.
struct waiting_job
{
    const job_config* config;
    /// Null if it was never placed.
    const job_record* record;
    /// The offset of the operator record that published it.
    std::uint64_t accepted;
    job_size size;
};

/// Places the jobs of one round in the order in which they are given.
class placement
{
public:
    explicit placement(job_round& round) : round_(round) {}

    /// Places a job, or notes what keeps it from being placed.
    void place(const waiting_job& job);
    /// Whether the round has as many placements as it may.
    bool full() const;

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

} // namespace dandeliontack
