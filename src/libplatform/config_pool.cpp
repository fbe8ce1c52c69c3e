#include "codecs.hpp"
#include "config_kind.hpp"

#include <array>
#include <set>

namespace dandeliontack
{

findings check(const pool_config& config)
{
    findings found;
    const auto subject = subject_of(config);
    check_name(subject, "name", config.name, found);
    for (const auto& host : config.hosts)
        check_name(subject, "host", host, found);
    const std::set<std::string> distinct(
        config.hosts.begin(), config.hosts.end());
    if (distinct.size() != config.hosts.size())
        found.push_back({"", 0, subject, "names a host twice"});
    if (config.budget_hosts > distinct.size())
        found.push_back(
            {"", 0, subject,
             "budget_hosts is larger than the number of hosts"});
    if (config.staleness_bound <= std::chrono::milliseconds(0))
        found.push_back({"", 0, subject, "staleness_bound must be above 0"});
    return found;
}

wire::pool_config to_wire(const pool_config& config)
{
    wire::pool_config out;
    out.set_name(config.name);
    for (const auto& host : config.hosts)
        out.add_hosts(host);
    out.set_budget_hosts(config.budget_hosts);
    out.set_staleness_bound_ms(
        static_cast<std::uint64_t>(config.staleness_bound.count()));
    out.set_refuse_when_stale(config.when_stale == stale_policy::refuse);
    return out;
}

pool_config from_wire(const wire::pool_config& in)
{
    return {
        in.name(),
        {in.hosts().begin(), in.hosts().end()},
        in.budget_hosts(),
        std::chrono::milliseconds(in.staleness_bound_ms()),
        in.refuse_when_stale() ? stale_policy::refuse : stale_policy::serve};
}

config_event read_pool(const config_section& from, findings& found)
{
    using row = field<pool_config>;
    static const std::array table{
        row{.key = "hosts", .member = &pool_config::hosts, .required = true},
        row{.key = "budget_hosts", .member = &pool_config::budget_hosts},
        row{.key = "staleness_bound",
            .member = &pool_config::staleness_bound,
            .least = 1},
        row{.key = "when_stale",
            .member =
                choice_member<&pool_config::when_stale>({"serve", "refuse"})}};
    return read_config<pool_config>(
        from, table, {.name = from.words.at(1)}, found);
}

} // namespace dandeliontack
