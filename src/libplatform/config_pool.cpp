#include "codecs.hpp"
#include "config_kind.hpp"
#include <dandeliontack/fleet_budget.hpp>

#include <algorithm>
#include <array>
#include <set>

namespace dandeliontack
{

namespace
{

constexpr std::uint64_t whole_share = 100;

void check_window(
    const pool_config& config, const std::string& text, findings& found)
{
    const auto window = parse_budget_window(text);
    const auto subject = subject_of(config);
    if (!window)
        found.push_back(
            {"", 0, subject,
             "budget window " + text +
                 " is not [YYYY-MM-DD/YYYY-MM-DD ]HH:MM-HH:MM=AMOUNT[%]"});
    else if (!window->is_share && window->amount > config.hosts.size())
        found.push_back(
            {"", 0, subject,
             "budget window " + text + " is larger than the number of hosts"});
}

} // namespace

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
    if (config.budget_share > whole_share)
        found.push_back({"", 0, subject, "budget_share is above 100"});
    for (const auto& text : config.budget_windows)
        check_window(config, text, found);
    if (config.drain_time <= std::chrono::milliseconds(0))
        found.push_back({"", 0, subject, "drain_time must be above 0"});
    if (config.borrow_time <= std::chrono::milliseconds(0))
        found.push_back({"", 0, subject, "borrow_time must be above 0"});
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
    out.set_budget_share(config.budget_share);
    for (const auto& window : config.budget_windows)
        out.add_budget_windows(window);
    out.set_reserve_hosts(config.reserve_hosts);
    out.set_reserve_rack(config.reserve_rack);
    out.set_spare(config.spare);
    out.set_drain_time_ms(
        static_cast<std::uint64_t>(config.drain_time.count()));
    out.set_borrow_time_ms(
        static_cast<std::uint64_t>(config.borrow_time.count()));
    return out;
}

pool_config from_wire(const wire::pool_config& in)
{
    return {
        in.name(),
        {in.hosts().begin(), in.hosts().end()},
        in.budget_hosts(),
        std::chrono::milliseconds(in.staleness_bound_ms()),
        in.refuse_when_stale() ? stale_policy::refuse : stale_policy::serve,
        in.budget_share(),
        {in.budget_windows().begin(), in.budget_windows().end()},
        in.reserve_hosts(),
        in.reserve_rack(),
        in.spare(),
        std::chrono::milliseconds(in.drain_time_ms()),
        std::chrono::milliseconds(in.borrow_time_ms())};
}

config_event read_pool(const config_section& from, findings& found)
{
    using row = field<pool_config>;
    static const std::array table{
        row{.key = "hosts", .member = &pool_config::hosts, .required = true},
        row{.key = "budget_hosts", .member = &pool_config::budget_hosts},
        row{.key = "budget_share",
            .member = &pool_config::budget_share,
            .most = whole_share},
        row{.key = "budget_windows", .member = &pool_config::budget_windows},
        row{.key = "reserve_hosts", .member = &pool_config::reserve_hosts},
        row{.key = "reserve_rack", .member = &pool_config::reserve_rack},
        row{.key = "spare", .member = &pool_config::spare},
        row{.key = "drain_time",
            .member = &pool_config::drain_time,
            .least = 1},
        row{.key = "borrow_time",
            .member = &pool_config::borrow_time,
            .least = 1},
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
