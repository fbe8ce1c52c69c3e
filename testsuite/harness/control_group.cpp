#include "control_group.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <set>

namespace dandeliontack::harness
{

namespace
{

bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::ranges::find(names, name) != names.end();
}

} // namespace

control_status status_of(const control_process& control)
{
    const auto status = get_json(control.admin, "/v1/status");
    return {
        status.at("system_end").to_number<std::uint64_t>(),
        status.at("operators_end").to_number<std::uint64_t>(),
        status.at("snapshot_end").to_number<std::uint64_t>(),
        status.at("ready").as_bool(),
        std::string(status.at("gap").as_string()),
        std::string(status.at("state_hash").as_string()),
        status.at("leads").as_bool(),
        status.at("term").to_number<std::uint64_t>(),
        status.at("fenced").to_number<std::uint64_t>(),
        status.at("nodes").as_array().size(),
        std::string(status.at("incarnation").as_string())};
}

void add_controls(cluster& system, std::size_t count, const std::string& extra)
{
    for (std::size_t i = 1; i <= count; ++i)
        system.add_control("c" + std::to_string(i), extra);
    const bool joined = eventually([&] {
        return std::ranges::all_of(system.controls, [&](const auto& item) {
            return status_of(item.second).nodes == count;
        });
    });
    if (!joined)
        throw std::runtime_error("not all control processes became members");
}

std::optional<std::string>
wait_for_leader(const cluster& system, const std::vector<std::string>& except)
{
    std::optional<std::string> leader;
    eventually([&] {
        for (const auto& [name, control] : system.controls)
            if (!contains(except, name) && status_of(control).leads)
                leader = name;
        return leader.has_value();
    });
    return leader;
}

bool states_agree(const cluster& system, const std::vector<std::string>& except)
{
    return eventually([&] {
        std::set<std::pair<std::uint64_t, std::string>> seen;
        for (const auto& [name, control] : system.controls)
        {
            if (contains(except, name))
                continue;
            const auto status = status_of(control);
            seen.emplace(status.system_end, status.state_hash);
        }
        return seen.size() == 1;
    });
}

bool pool_in_force(
    const control_process& control, const std::string& pool,
    std::uint64_t revision)
{
    return eventually([&] {
        const auto status = get_json(control.admin, "/v1/status");
        const auto& pools = status.at("pools").as_array();
        return std::ranges::any_of(pools, [&](const boost::json::value& item) {
            return item.at("name").as_string() == pool &&
                   item.at("revision").to_number<std::uint64_t>() == revision;
        });
    });
}

} // namespace dandeliontack::harness
