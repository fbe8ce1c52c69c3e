#include "codecs.hpp"
#include "snapshot_codecs.hpp"

#include <chrono>

namespace dandeliontack
{

namespace
{

using std::chrono::milliseconds;
using time_point = std::chrono::sys_time<milliseconds>;

void encode_one(const job_record& from, wire::snapshot_job& to)
{
    to.set_phase(static_cast<std::uint32_t>(from.phase));
    to.set_revision(from.revision);
    to.set_reason(static_cast<std::uint32_t>(from.reason));
    to.set_team(from.team);
    to.set_kind(from.kind);
    to.set_host(from.host);
    to.set_lease(from.lease);
    *to.mutable_held() = to_wire(from.held);
    *to.mutable_usage() = to_wire(from.usage);
    *to.mutable_peak() = to_wire(from.peak);
    to.set_throttled(from.throttled);
    to.set_checkpoints(from.checkpoints);
    to.set_acted_ms(from.acted.time_since_epoch().count());
    to.set_reported_ms(from.reported.time_since_epoch().count());
    to.mutable_failed_on()->Add(from.failed_on.begin(), from.failed_on.end());
    to.set_failures(from.failures);
}

job_record decode_one(const wire::snapshot_job& from)
{
    job_record to;
    to.phase = static_cast<job_phase>(from.phase());
    to.revision = from.revision();
    to.reason = static_cast<unrunnable_reason>(from.reason());
    to.team = from.team();
    to.kind = from.kind();
    to.host = from.host();
    to.lease = from.lease();
    to.held = from_wire(from.held());
    to.usage = from_wire(from.usage());
    to.peak = from_wire(from.peak());
    to.throttled = from.throttled();
    to.checkpoints = from.checkpoints();
    to.acted = time_point(milliseconds(from.acted_ms()));
    to.reported = time_point(milliseconds(from.reported_ms()));
    to.failed_on = {from.failed_on().begin(), from.failed_on().end()};
    to.failures = from.failures();
    return to;
}

using held_sizes = std::map<std::string, job_size>;
using held_messages = google::protobuf::RepeatedPtrField<wire::snapshot_held>;

void encode_held(const held_sizes& from, held_messages& out)
{
    for (const auto& [holder, size] : from)
    {
        auto& to = *out.Add();
        to.set_holder(holder);
        *to.mutable_size() = to_wire(size);
    }
}

held_sizes decode_held(const held_messages& in)
{
    held_sizes to;
    for (const auto& from : in)
        to.insert_or_assign(from.holder(), from_wire(from.size()));
    return to;
}

void encode_kinds(
    const std::map<std::string, kind_usage>& kinds, wire::jobs_snapshot& out)
{
    for (const auto& [kind, usage] : kinds)
    {
        auto& to = *out.add_kinds();
        to.set_kind(kind);
        for (const auto& peak : usage.peaks)
            *to.add_peaks() = to_wire(peak);
    }
}

kind_usage decode_one(const wire::snapshot_kind& from)
{
    kind_usage to;
    for (const auto& peak : from.peaks())
        to.peaks.push_back(from_wire(peak));
    return to;
}

} // namespace

void encode(const job_state& s, wire::jobs_snapshot& out)
{
    for (const auto& [name, job] : s.jobs)
    {
        auto& to = *out.add_jobs();
        to.set_job(name);
        encode_one(job, to);
    }
    encode_kinds(s.kinds, out);
    for (const auto& [host, failures] : s.failures)
    {
        auto& to = *out.add_failures();
        to.set_host(host);
        to.mutable_jobs()->Add(failures.jobs.begin(), failures.jobs.end());
        to.set_suspected(failures.suspected);
    }
    encode_held(s.held_on_host, *out.mutable_held_on_host());
    encode_held(s.held_by_team, *out.mutable_held_by_team());
}

job_state decode(const wire::jobs_snapshot& in)
{
    job_state s;
    for (const auto& from : in.jobs())
        s.jobs.insert_or_assign(from.job(), decode_one(from));
    for (const auto& from : in.kinds())
        s.kinds.insert_or_assign(from.kind(), decode_one(from));
    for (const auto& from : in.failures())
        s.failures.insert_or_assign(
            from.host(),
            host_failures{
                {from.jobs().begin(), from.jobs().end()}, from.suspected()});
    s.held_on_host = decode_held(in.held_on_host());
    s.held_by_team = decode_held(in.held_by_team());
    return s;
}

} // namespace dandeliontack
