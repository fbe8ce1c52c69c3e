#include "domains.hpp"

namespace dandeliontack
{

namespace
{

void apply_one(const reduce_context& context, const job_accepted& e)
{
    context.current.jobs.jobs.try_emplace(e.job, job_record{e.team, e.pool});
}

} // namespace

void apply(const reduce_context& context, const job_event& e)
{
    std::visit([&](const auto& one) { apply_one(context, one); }, e);
}

void feed(hasher& h, const job_state& s)
{
    h.add(s.jobs.size());
    for (const auto& [name, job] : s.jobs)
    {
        h.add(name);
        h.add(job.team);
        h.add(job.pool);
    }
}

} // namespace dandeliontack
