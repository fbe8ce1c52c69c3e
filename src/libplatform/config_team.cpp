#include "codecs.hpp"
#include "config_kind.hpp"

#include <array>

namespace dandeliontack
{

findings check(const team_config& config)
{
    findings found;
    const auto subject = subject_of(config);
    check_name(subject, "name", config.name, found);
    if (config.quota_processors == 0)
        found.push_back({"", 0, subject, "quota_processors must not be zero"});
    if (config.quota_memory_mb == 0)
        found.push_back({"", 0, subject, "quota_memory_mb must not be zero"});
    return found;
}

wire::team_config to_wire(const team_config& config)
{
    wire::team_config out;
    out.set_name(config.name);
    out.set_quota_processors(config.quota_processors);
    out.set_quota_memory_mb(config.quota_memory_mb);
    out.set_quota_accelerators(config.quota_accelerators);
    return out;
}

team_config from_wire(const wire::team_config& in)
{
    return {
        in.name(), in.quota_processors(), in.quota_memory_mb(),
        in.quota_accelerators()};
}

config_event read_team(const config_section& from, findings& found)
{
    using row = field<team_config>;
    static const std::array table{
        row{.key = "quota_processors",
            .member = &team_config::quota_processors,
            .required = true},
        row{.key = "quota_memory_mb",
            .member = &team_config::quota_memory_mb,
            .required = true},
        row{.key = "quota_accelerators",
            .member = &team_config::quota_accelerators}};
    return read_config<team_config>(
        from, table, {.name = from.words.at(1)}, found);
}

} // namespace dandeliontack
