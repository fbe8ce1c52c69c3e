#include "snapshot_codecs.hpp"

namespace dandeliontack
{

void encode(const job_state& s, wire::jobs_snapshot& out)
{
    for (const auto& [name, job] : s.jobs)
    {
        auto& to = *out.add_jobs();
        to.set_job(name);
        to.set_team(job.team);
        to.set_pool(job.pool);
    }
}

job_state decode(const wire::jobs_snapshot& in)
{
    job_state s;
    for (const auto& from : in.jobs())
    {
        job_record job;
        job.team = from.team();
        job.pool = from.pool();
        s.jobs.insert_or_assign(from.job(), std::move(job));
    }
    return s;
}

} // namespace dandeliontack
