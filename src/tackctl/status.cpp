#include "commands.hpp"
#include <dandeliontack/program.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <iostream>

namespace dandeliontack::tackctl
{

namespace json = boost::json;

namespace
{

std::string text_of(const json::value& value)
{
    return value.is_string() ? std::string(value.as_string())
                             : json::serialize(value);
}

void print_pool(const json::object& pool)
{
    std::cout << "pool " << text_of(pool.at("name")) << ": revision "
              << pool.at("revision") << ", "
              << pool.at("hosts").as_array().size() << " hosts, budget "
              << pool.at("budget_hosts") << "\n";
}

void print_service(const json::object& service)
{
    std::cout << "service " << text_of(service.at("name")) << " "
              << service.at("schema_version") << ": revision "
              << service.at("revision") << ", pool "
              << text_of(service.at("pool")) << "\n";
}

void print_wave(const json::object& wave)
{
    std::cout << "wave " << text_of(wave.at("name")) << ": revision "
              << wave.at("revision") << ", pools";
    for (const auto& pool : wave.at("pools").as_array())
        std::cout << " " << text_of(pool);
    std::cout << (wave.at("paused").as_bool() ? ", paused\n" : "\n");
}

void print_team(const json::object& team)
{
    std::cout << "team " << text_of(team.at("name")) << ": revision "
              << team.at("revision") << ", quota "
              << team.at("quota_processors") << " processors, "
              << team.at("quota_memory_mb") << " MB, "
              << team.at("quota_accelerators") << " accelerators\n";
}

void print_job(const json::object& job)
{
    std::cout << "job " << text_of(job.at("name")) << ": team "
              << text_of(job.at("team")) << ", pool " << text_of(job.at("pool"))
              << (job.at("cancelled").as_bool() ? ", cancelled\n" : "\n");
}

void print_node(const json::object& node)
{
    std::cout << "node " << text_of(node.at("name")) << " in "
              << text_of(node.at("data_centre")) << "\n";
}

void print_rejection(const json::object& rejection)
{
    std::cout << "rejected at offset " << rejection.at("offset") << "\n";
    for (const auto& item : rejection.at("findings").as_array())
        std::cout << "  " << text_of(item.at("place")) << ": "
                  << text_of(item.at("key")) << ": "
                  << text_of(item.at("message")) << "\n";
}

// A part of the status page and how one item of it is printed.
struct status_part
{
    std::string_view name;
    void (*print)(const json::object& item);
};

constexpr std::array parts{
    status_part{"pools", print_pool},
    status_part{"services", print_service},
    status_part{"waves", print_wave},
    status_part{"teams", print_team},
    status_part{"jobs", print_job},
    status_part{"nodes", print_node},
    status_part{"rejections", print_rejection}};

void print_part(const json::object& answer, const status_part& part)
{
    for (const auto& item : answer.at(part.name).as_array())
        part.print(item.as_object());
}

void print_summary(const json::object& answer)
{
    std::cout << "node " << text_of(answer.at("node")) << ", applied "
              << answer.at("system_end") << " system and "
              << answer.at("operators_end") << " operator records, state "
              << text_of(answer.at("state_hash")) << "\n";
    if (!answer.at("gap").as_string().empty())
        std::cout << "GAP: " << text_of(answer.at("gap")) << "\n";
}

int print_all(const options& chosen, const json::object& answer)
{
    if (chosen.json)
    {
        std::cout << answer << "\n";
        return exit_ok;
    }
    print_summary(answer);
    for (const auto& part : parts)
        print_part(answer, part);
    return exit_ok;
}

} // namespace

int status(const options& chosen, const std::vector<std::string>& arguments)
{
    const auto* part = arguments.empty()
                           ? parts.end()
                           : std::ranges::find(
                                 parts, std::string_view(arguments.front()),
                                 &status_part::name);
    if (!arguments.empty() && part == parts.end())
    {
        std::cerr << "no such part of the status: " << arguments.front()
                  << "\n";
        return exit_bad_input;
    }
    const auto answer = fetch(chosen, "/v1/status");
    if (!answer)
        return exit_unreachable;
    if (part == parts.end())
        return print_all(chosen, *answer);
    if (chosen.json)
        std::cout << answer->at(part->name) << "\n";
    else
        print_part(*answer, *part);
    return exit_ok;
}

} // namespace dandeliontack::tackctl
