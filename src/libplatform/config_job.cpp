#include "codecs.hpp"
#include "config_kind.hpp"

#include <array>

namespace dandeliontack
{

findings check(const job_config& config)
{
    findings found;
    const auto subject = subject_of(config);
    check_name(subject, "name", config.name, found);
    check_name(subject, "team", config.team, found);
    check_name(subject, "pool", config.pool, found);
    check_name(subject, "kind", config.kind, found);
    if (config.processors == 0)
        found.push_back({"", 0, subject, "processors must not be zero"});
    if (config.memory_mb == 0)
        found.push_back({"", 0, subject, "memory_mb must not be zero"});
    if (config.run_time.count() <= 0)
        found.push_back({"", 0, subject, "run_time must be above zero"});
    if (config.priority > job_class::deferrable)
        found.push_back({"", 0, subject, "priority is not a known class"});
    return found;
}

wire::job_config to_wire(const job_config& config)
{
    wire::job_config out;
    out.set_name(config.name);
    out.set_team(config.team);
    out.set_pool(config.pool);
    out.set_priority(static_cast<std::uint32_t>(config.priority));
    out.set_processors(config.processors);
    out.set_memory_mb(config.memory_mb);
    out.set_accelerators(config.accelerators);
    out.set_run_time_ms(static_cast<std::uint64_t>(config.run_time.count()));
    out.set_kind(config.kind);
    out.set_cancelled(config.cancelled);
    return out;
}

job_config from_wire(const wire::job_config& in)
{
    return {in.name(),         in.team(),
            in.pool(),         static_cast<job_class>(in.priority()),
            in.processors(),   in.memory_mb(),
            in.accelerators(), std::chrono::milliseconds(in.run_time_ms()),
            in.kind(),         in.cancelled()};
}

config_event read_job(const config_section& from, findings& found)
{
    using row = field<job_config>;
    using s = job_config;
    static const std::array table{
        row{.key = "team", .member = &s::team, .required = true},
        row{.key = "pool", .member = &s::pool, .required = true},
        row{.key = "kind", .member = &s::kind, .required = true},
        row{.key = "priority",
            .member = choice_member<&s::priority>(
                {"urgent", "normal", "deferrable"})},
        row{.key = "processors", .member = &s::processors},
        row{.key = "memory_mb", .member = &s::memory_mb},
        row{.key = "accelerators", .member = &s::accelerators},
        row{.key = "run_time", .member = &s::run_time},
        row{.key = "cancelled", .member = &s::cancelled}};
    return read_config<job_config>(
        from, table, {.name = from.words.at(1)}, found);
}

} // namespace dandeliontack
