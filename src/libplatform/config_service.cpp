#include "codecs.hpp"
#include "config_kind.hpp"

#include <array>

namespace dandeliontack
{

namespace
{

constexpr std::chrono::milliseconds longest_deadline = std::chrono::hours(1);

} // namespace

findings check(const service_config& config)
{
    findings found;
    const auto subject = subject_of(config);
    check_name(subject, "name", config.key.name, found);
    check_name(subject, "pool", config.pool, found);
    if (config.key.schema_version == 0)
        found.push_back({"", 0, subject, "schema version must be above 0"});
    if (config.deadline <= std::chrono::milliseconds(0) ||
        config.deadline > longest_deadline)
        found.push_back(
            {"", 0, subject, "deadline must be above 0 and at most 1h"});
    return found;
}

wire::service_config to_wire(const service_config& config)
{
    wire::service_config out;
    out.set_name(config.key.name);
    out.set_schema_version(config.key.schema_version);
    out.set_pool(config.pool);
    out.set_deadline_ms(static_cast<std::uint64_t>(config.deadline.count()));
    return out;
}

service_config from_wire(const wire::service_config& in)
{
    return {
        {in.name(), in.schema_version()},
        in.pool(),
        std::chrono::milliseconds(in.deadline_ms())};
}

config_event read_service(const config_section& from, findings& found)
{
    using row = field<service_config>;
    static const std::array table{
        row{.key = "pool", .member = &service_config::pool, .required = true},
        row{.key = "deadline", .member = &service_config::deadline}};
    service_config config{{from.words.at(1), 1}, {}};
    if (from.words.size() == 3)
    {
        const auto wrong = parse_value(
            from.words[2], value_bounds{}, config.key.schema_version);
        if (!wrong.empty())
            found.push_back(
                {from.file, from.section.line, from.section.name,
                 "schema version " + wrong});
    }
    return read_config<service_config>(from, table, std::move(config), found);
}

} // namespace dandeliontack
