#include "fleet_plan.hpp"

#include <algorithm>
#include <optional>

namespace dandeliontack
{

namespace
{

host_observed observation_of(const listed_host& host)
{
    return {host.name,       host.listed,    host.data_centre, host.rack,
            host.processors, host.memory_mb, host.accelerators};
}

host_observed
observation_of(const std::string& name, const host_record& host, listing listed)
{
    return {name,
            listed,
            host.data_centre,
            host.rack,
            host.processors,
            host.memory_mb,
            host.accelerators};
}

bool differs(const host_record& known, const listed_host& host)
{
    return !known.observed || known.listed != host.listed ||
           known.data_centre != host.data_centre || known.rack != host.rack ||
           known.processors != host.processors ||
           known.memory_mb != host.memory_mb ||
           known.accelerators != host.accelerators;
}

bool is_aborted(const state& s, const std::string& wave)
{
    const auto found = s.config.waves.find(wave);
    return found != s.config.waves.end() && found->second.config.aborted;
}

std::optional<host_phase>
after_leaving(const fleet_round& round, const host_record& host)
{
    if (host.listed == listing::gone)
        return host_phase::failed;
    if (is_aborted(round.s, host.wave))
        return host_phase::joining;
    if (round.input.now - host.since >= drain_time_of(round.s, host))
        return host_phase::drained;
    return std::nullopt;
}

std::optional<host_phase>
after_drained(const fleet_round& round, const host_record& host)
{
    if (host.listed == listing::gone)
        return host_phase::failed;
    if (host.purpose == disruption::quarantine)
        return host_phase::quarantined;
    if (host.purpose == disruption::move || is_aborted(round.s, host.wave))
        return host_phase::joining;
    return host_phase::rebooting;
}

bool is_overdue(const fleet_round& round, const host_record& host)
{
    return host.listed != listing::live &&
           round.input.now - host.since >= return_bound_of(round.s, host);
}

std::optional<host_phase>
after_rebooting(const fleet_round& round, const host_record& host)
{
    if (host.seen_away && host.listed == listing::live)
        return host_phase::joining;
    if (is_overdue(round, host))
        return host_phase::failed;
    return std::nullopt;
}

std::optional<host_phase>
after_joining(const fleet_round& round, const host_record& host)
{
    if (is_overdue(round, host))
        return host_phase::failed;
    const bool settled = host.purpose != disruption::move ||
                         departure_settled(round.s, host, round.input.now);
    if (host.listed == listing::live && settled)
        return host_phase::serving;
    return std::nullopt;
}

// The next phase of a host, or nothing while it stays.
std::optional<host_phase>
next_phase(const fleet_round& round, const host_record& host)
{
    switch (host.phase)
    {
    case host_phase::serving:
        if (host.listed == listing::gone)
            return host_phase::failed;
        break;
    case host_phase::leaving:
        return after_leaving(round, host);
    case host_phase::drained:
        return after_drained(round, host);
    case host_phase::rebooting:
        return after_rebooting(round, host);
    case host_phase::joining:
        return after_joining(round, host);
    case host_phase::failed:
        if (host.listed == listing::live)
            return host_phase::joining;
        break;
    case host_phase::quarantined:
        break;
    }
    return std::nullopt;
}

} // namespace

std::vector<event_body>
plan_observations(const state& s, const planning_input& input)
{
    std::vector<event_body> out;
    // An empty list was not fetched yet.
    if (input.hosts.empty())
        return out;
    std::set<std::string> listed;
    for (const auto& host : input.hosts)
    {
        listed.insert(host.name);
        const auto known = s.fleet.hosts.find(host.name);
        if (known == s.fleet.hosts.end() || differs(known->second, host))
            out.emplace_back(observation_of(host));
    }
    for (const auto& [name, host] : s.fleet.hosts)
        if (host.observed && host.listed != listing::gone &&
            !listed.contains(name))
            out.emplace_back(observation_of(name, host, listing::gone));
    return out;
}

void plan_advances(fleet_round& round)
{
    for (const auto& [name, host] : round.s.fleet.hosts)
    {
        if (!host.observed)
            continue;
        if (const auto to = next_phase(round, host))
            round.proposals.emplace_back(host_advanced{name, host.phase, *to});
    }
}

} // namespace dandeliontack
