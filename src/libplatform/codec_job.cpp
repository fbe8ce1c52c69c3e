#include "codecs.hpp"

namespace dandeliontack
{

wire::job_size to_wire(const job_size& size)
{
    wire::job_size out;
    out.set_processors(size.processors);
    out.set_memory_mb(size.memory_mb);
    out.set_accelerators(size.accelerators);
    return out;
}

job_size from_wire(const wire::job_size& in)
{
    return {in.processors(), in.memory_mb(), in.accelerators()};
}

namespace
{

template <class Event>
void write_run(const Event& from, wire::job_run& to)
{
    to.set_job(from.job);
    to.set_lease(from.lease);
}

template <class Event>
Event read_run(const wire::job_run& from)
{
    return {from.job(), from.lease()};
}

void write(const job_placed& from, wire::job_record& out)
{
    auto& to = *out.mutable_placed();
    to.set_job(from.job);
    to.set_host(from.host);
    *to.mutable_size() = to_wire(from.size);
}
void write(const job_started& from, wire::job_record& out)
{
    write_run(from, *out.mutable_started());
}
void write(const job_reported& from, wire::job_record& out)
{
    write_run(from, *out.mutable_reported()->mutable_run());
    *out.mutable_reported()->mutable_size() = to_wire(from.usage);
}
void write(const job_resized& from, wire::job_record& out)
{
    write_run(from, *out.mutable_resized()->mutable_run());
    *out.mutable_resized()->mutable_size() = to_wire(from.size);
}
void write(const job_action_requested& from, wire::job_record& out)
{
    auto& to = *out.mutable_action_requested();
    write_run(from, *to.mutable_run());
    to.set_action(static_cast<std::uint32_t>(from.action));
}
void write(const job_finished& from, wire::job_record& out)
{
    write_run(from, *out.mutable_finished());
}
void write(const job_failed& from, wire::job_record& out)
{
    write_run(from, *out.mutable_failed());
}
void write(const job_checkpointed& from, wire::job_record& out)
{
    write_run(from, *out.mutable_checkpointed());
}
void write(const job_stopped& from, wire::job_record& out)
{
    write_run(from, *out.mutable_stopped());
}
void write(const job_lost& from, wire::job_record& out)
{
    write_run(from, *out.mutable_lost());
}
void write(const job_unrunnable& from, wire::job_record& out)
{
    out.mutable_unrunnable()->set_job(from.job);
    out.mutable_unrunnable()->set_reason(
        static_cast<std::uint32_t>(from.reason));
}
void write(const job_reopened& from, wire::job_record& out)
{
    out.set_reopened(from.job);
}
void write(const host_suspected& from, wire::job_record& out)
{
    out.set_host_suspected(from.host);
}
void write(const host_cleared& from, wire::job_record& out)
{
    out.set_host_cleared(from.host);
}

job_event read_action(const wire::job_action_requested& in, findings& found)
{
    constexpr auto first = static_cast<std::uint32_t>(job_action::throttle);
    constexpr auto last = static_cast<std::uint32_t>(job_action::stop);
    if (in.action() < first || in.action() > last)
        found.push_back({"", 0, "action", "is not a known action"});
    return job_action_requested{
        in.run().job(), in.run().lease(), static_cast<job_action>(in.action())};
}

job_event read_unrunnable(const wire::job_unrunnable& in, findings& found)
{
    constexpr auto last =
        static_cast<std::uint32_t>(unrunnable_reason::fails_on_hosts);
    if (in.reason() > last)
        found.push_back({"", 0, "reason", "is not a known reason"});
    return job_unrunnable{
        in.job(), static_cast<unrunnable_reason>(in.reason())};
}

template <class Event>
job_event read_run_size(const wire::job_run_size& in)
{
    return Event{in.run().job(), in.run().lease(), from_wire(in.size())};
}

} // namespace

void encode(const job_event& e, wire::job_record& out)
{
    std::visit([&](const auto& one) { write(one, out); }, e);
}

job_event decode(const wire::job_record& in, findings& found)
{
    switch (in.kind_case())
    {
    case wire::job_record::kPlaced:
        return job_placed{
            in.placed().job(), in.placed().host(),
            from_wire(in.placed().size())};
    case wire::job_record::kStarted:
        return read_run<job_started>(in.started());
    case wire::job_record::kReported:
        return read_run_size<job_reported>(in.reported());
    case wire::job_record::kResized:
        return read_run_size<job_resized>(in.resized());
    case wire::job_record::kActionRequested:
        return read_action(in.action_requested(), found);
    case wire::job_record::kFinished:
        return read_run<job_finished>(in.finished());
    case wire::job_record::kFailed:
        return read_run<job_failed>(in.failed());
    case wire::job_record::kCheckpointed:
        return read_run<job_checkpointed>(in.checkpointed());
    case wire::job_record::kStopped:
        return read_run<job_stopped>(in.stopped());
    case wire::job_record::kLost:
        return read_run<job_lost>(in.lost());
    case wire::job_record::kUnrunnable:
        return read_unrunnable(in.unrunnable(), found);
    case wire::job_record::kReopened:
        return job_reopened{in.reopened()};
    case wire::job_record::kHostSuspected:
        return host_suspected{in.host_suspected()};
    case wire::job_record::kHostCleared:
        return host_cleared{in.host_cleared()};
    case wire::job_record::KIND_NOT_SET:
        break;
    }
    found.push_back({"", 0, "kind", "is missing or unknown"});
    return job_finished{};
}

} // namespace dandeliontack
