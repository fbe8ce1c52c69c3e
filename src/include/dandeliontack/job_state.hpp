#pragma once

#include <dandeliontack/job_events.hpp>

#include <map>
#include <string>

namespace dandeliontack
{

struct job_record
{
    std::string team;
    std::string pool;

    bool operator==(const job_record&) const = default;
};

struct job_state
{
    std::map<std::string, job_record> jobs;

    bool operator==(const job_state&) const = default;
};

} // namespace dandeliontack
