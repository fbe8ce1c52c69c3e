#include "codecs.hpp"

namespace dandeliontack
{

void encode(const job_event& e, wire::job_record& out)
{
    const auto& accepted = std::get<job_accepted>(e);
    auto& to = *out.mutable_accepted();
    to.set_job(accepted.job);
    to.set_team(accepted.team);
    to.set_pool(accepted.pool);
}

job_event decode(const wire::job_record& in, findings& found)
{
    if (!in.has_accepted())
        found.push_back({"", 0, "kind", "is missing or unknown"});
    const auto& from = in.accepted();
    return job_accepted{from.job(), from.team(), from.pool()};
}

} // namespace dandeliontack
