#pragma once

#include <dandeliontack/fleet_budget.hpp>
#include <dandeliontack/planner.hpp>
#include <dandeliontack/reducer.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace dandeliontack::driver
{

/// A host as it really is, apart from what the log says.
struct true_host
{
    listed_host listed;
    bool draining = false;
    /// Whether the host comes back from its next reboot.
    bool returns = true;
    /// Until when a reboot or a failure keeps it away.
    event_time away_until{};
    bool failed = false;
};

/// Runs the planner and the reducer over simulated time, for tests and
/// benches. The platform is a map of hosts that obeys commands.
class fleet_driver
{
public:
    explicit fleet_driver(event_time begin) : now(begin)
    {
        s.membership.nodes[node] = {};
        s.membership.term = {1, node, 0};
    }

    void add_host(
        const std::string& name, const std::string& rack,
        const std::string& data_centre)
    {
        auto& host = hosts[name];
        host.listed.name = name;
        host.listed.rack = rack;
        host.listed.data_centre = data_centre;
    }

    template <class Config>
    void publish(Config config)
    {
        apply(
            log_stream::operators, config_event{published<Config>{
                                       "driver", revision_of(config), config}});
    }

    /// Applies one record; returns whether it was accepted.
    bool apply(log_stream stream, event_body body)
    {
        auto& offset = stream == log_stream::system ? system_end_ : other_end_;
        const event e{
            {stream, offset++, node, ++sequence_, 1}, now, std::move(body)};
        auto result = reduce(std::move(s), e);
        s = std::move(result.next);
        const bool accepted = !find_effect<record_rejected>(result.todo);
        for (const auto& item : result.todo)
            if (const auto* fleet = std::get_if<fleet_effect>(&item))
                obey(std::get<host_command>(*fleet));
        return accepted;
    }

    bool apply(event_body body)
    {
        return apply(log_stream::system, std::move(body));
    }

    /// Plans once and applies what is proposed. Returns how much that was.
    std::size_t plan()
    {
        const auto listed = list();
        const planning_input input{now, listed};
        auto proposals = plan_fleet(s, input);
        for (auto& body : proposals)
            if (!apply(std::move(body)))
                ++rejected;
        return proposals.size();
    }

    void step(std::chrono::milliseconds length)
    {
        constexpr int most_rounds = 8;
        now += length;
        for (auto& [name, host] : hosts)
            if (host.away_until <= now && std::exchange(host.failed, false))
                host.draining = false;
        if (acknowledges)
            apply(fleet_event{departures_applied{s.order.system_end}});
        for (int round = 0; round < most_rounds && plan() != 0; ++round)
        {
        }
    }

    void fail(const std::string& name, std::chrono::milliseconds repair)
    {
        auto& host = hosts.at(name);
        host.failed = true;
        host.away_until = std::max(host.away_until, now + repair);
    }

    bool is_up(const std::string& name) const
    {
        return hosts.at(name).away_until <= now;
    }

    /// Hosts that really serve a pool now.
    std::uint64_t capacity(const std::string& pool) const
    {
        return static_cast<std::uint64_t>(
            std::ranges::count_if(s.fleet.hosts, [&](const auto& item) {
                return item.second.pool == pool &&
                       item.second.phase == host_phase::serving &&
                       hosts.contains(item.first) && is_up(item.first);
            }));
    }

    std::vector<listed_host> list() const
    {
        std::vector<listed_host> out;
        for (const auto& [name, host] : hosts)
        {
            out.push_back(host.listed);
            if (host.draining)
                out.back().listed = listing::leaving;
            if (!is_up(name))
                out.back().listed = listing::gone;
        }
        return out;
    }

    const incarnation node{1, 1};
    state s;
    event_time now;
    std::map<std::string, true_host> hosts;
    std::chrono::milliseconds reboot_time = std::chrono::minutes(5);
    /// Whether the one node records what it has applied.
    bool acknowledges = true;
    /// Proposals that were void.
    std::uint64_t rejected = 0;

private:
    std::uint64_t revision_of(const pool_config& config) const
    {
        const auto found = s.config.pools.find(config.name);
        return found == s.config.pools.end() ? 0 : found->second.revision;
    }
    std::uint64_t revision_of(const wave_config& config) const
    {
        const auto found = s.config.waves.find(config.name);
        return found == s.config.waves.end() ? 0 : found->second.revision;
    }

    void obey(const host_command& command)
    {
        auto& host = hosts.at(command.host);
        host.draining = command.action == "drain";
        if (command.action != "reboot")
            return;
        constexpr auto never = std::chrono::days(365);
        host.away_until =
            now +
            (host.returns ? reboot_time : std::chrono::milliseconds(never));
    }

    std::uint64_t system_end_ = 0;
    std::uint64_t other_end_ = 0;
    std::uint64_t sequence_ = 0;
};

} // namespace dandeliontack::driver
