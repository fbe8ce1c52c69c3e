#include "codecs.hpp"
#include <dandeliontack/config_file.hpp>
#include <dandeliontack/record_codec.hpp>

#include <algorithm>
#include <iterator>
#include <set>

namespace dandeliontack
{

namespace
{

constexpr std::size_t longest_name = 64;
constexpr std::chrono::milliseconds longest_deadline = std::chrono::hours(1);

bool is_name(const std::string& text)
{
    constexpr std::string_view allowed =
        "abcdefghijklmnopqrstuvwxyz0123456789-_.";
    return !text.empty() && text.size() <= longest_name &&
           text.find_first_not_of(allowed) == std::string::npos;
}

void check_name(
    const std::string& subject, const std::string& what,
    const std::string& name, findings& found)
{
    if (!is_name(name))
        found.push_back(
            {"", 0, subject,
             what + " must be 1 to 64 of a-z, 0-9, '-', '_' and '.'"});
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

void append(findings& to, findings more)
{
    std::ranges::move(more, std::back_inserter(to));
}

} // namespace

findings check_pool(const pool_config& config)
{
    findings found;
    const auto subject = "pool " + config.name;
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

findings check_service(const service_config& config)
{
    findings found;
    const auto subject = "service " + config.key.name + " " +
                         std::to_string(config.key.schema_version);
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

void encode(const config_event& e, wire::config_record& out)
{
    std::visit(
        [&](const auto& change) {
            out.set_publisher(change.publisher);
            out.set_base(change.base);
        },
        e);
    if (const auto* pool = std::get_if<pool_published>(&e))
        *out.mutable_pool() = to_wire(pool->config);
    else
        *out.mutable_service() = to_wire(std::get<service_published>(e).config);
}

config_event decode(const wire::config_record& in, findings& found)
{
    if (in.has_pool())
    {
        pool_published e{in.publisher(), in.base(), from_wire(in.pool())};
        append(found, check_pool(e.config));
        return e;
    }
    if (!in.has_service())
        found.push_back({"", 0, "subject", "is missing or of an unknown kind"});
    service_published e{in.publisher(), in.base(), from_wire(in.service())};
    if (in.has_service())
        append(found, check_service(e.config));
    return e;
}

std::string subject_of(const config_event& e)
{
    if (const auto* pool = std::get_if<pool_published>(&e))
        return "pool " + pool->config.name;
    const auto& key = std::get<service_published>(e).config.key;
    return "service " + key.name + " " + std::to_string(key.schema_version);
}

} // namespace dandeliontack
