#include "commands.hpp"
#include <dandeliontack/http_get.hpp>
#include <dandeliontack/program.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <iostream>
#include <thread>

namespace dandeliontack::tackctl
{

namespace json = boost::json;
using std::chrono::steady_clock;

namespace
{

constexpr auto poll_interval = std::chrono::milliseconds(50);
constexpr auto longest_ask = std::chrono::milliseconds(1000);

// A process that has to apply the record.
struct watched_process
{
    endpoint address;
    bool in_force = false;
};

std::optional<std::vector<watched_process>>
read_processes(const std::vector<std::string>& arguments)
{
    std::vector<watched_process> out;
    for (const auto& text : arguments)
    {
        const auto where = parse_endpoint(text);
        if (where)
            out.push_back({*where});
        else
            std::cerr << text << ": must be an IP number and a port\n";
    }
    if (out.size() != arguments.size())
        return std::nullopt;
    return out;
}

// The offset of the last operator record that the control process has
// applied, or nothing where it does not answer or has none.
std::optional<std::uint64_t> last_applied(const options& chosen)
{
    const auto answer = fetch(chosen, "/v1/status");
    const auto end =
        answer ? answer->at("operators_end").to_number<std::uint64_t>() : 0;
    if (end == 0)
        return std::nullopt;
    return end - 1;
}

bool has_applied(
    const options& chosen, const endpoint& process, std::uint64_t offset)
{
    const auto status = get_json_page(
        {process, "/v1/status", chosen.token,
         std::min<std::chrono::milliseconds>(chosen.timeout, longest_ask)});
    const auto* end = status ? status->if_contains("operators_end") : nullptr;
    return end && end->is_number() && end->to_number<std::uint64_t>() > offset;
}

// Asks the processes that still lack the record; returns how many have it.
std::size_t ask_all(
    const options& chosen, std::uint64_t offset,
    std::vector<watched_process>& processes)
{
    for (auto& process : processes)
        process.in_force =
            process.in_force || has_applied(chosen, process.address, offset);
    return static_cast<std::size_t>(
        std::ranges::count(processes, true, &watched_process::in_force));
}

void print_json(
    std::uint64_t offset, const std::vector<watched_process>& processes,
    std::chrono::milliseconds passed)
{
    json::array in_force;
    json::array waiting;
    for (const auto& process : processes)
        (process.in_force ? in_force : waiting)
            .push_back(json::value(to_string(process.address)));
    std::cout << json::object{
                     {"offset", offset},
                     {"in_force", in_force},
                     {"waiting", waiting},
                     {"passed_ms", passed.count()}}
              << "\n";
}

void print_waiting(const std::vector<watched_process>& processes)
{
    for (const auto& process : processes)
        if (!process.in_force)
            std::cout << "not in force at " << to_string(process.address)
                      << "\n";
}

// Returns whether all processes have the record in time.
bool wait_for_all(
    const options& chosen, std::uint64_t offset,
    std::vector<watched_process>& processes)
{
    const auto until = steady_clock::now() + chosen.timeout;
    std::size_t shown = processes.size() + 1;
    for (;;)
    {
        const auto done = ask_all(chosen, offset, processes);
        if (!chosen.json && done != shown)
            std::cout << "offset " << offset << " in force at " << done
                      << " of " << processes.size() << std::endl;
        shown = done;
        if (done == processes.size())
            return true;
        if (steady_clock::now() >= until)
            return false;
        std::this_thread::sleep_for(poll_interval);
    }
}

} // namespace

int watch(const options& chosen, const std::vector<std::string>& arguments)
{
    auto processes = read_processes(arguments);
    if (!processes)
        return exit_bad_input;
    const auto offset = chosen.offset ? chosen.offset : last_applied(chosen);
    if (!offset)
    {
        std::cerr << "there is no operator record to watch\n";
        return exit_unreachable;
    }
    const auto started = steady_clock::now();
    const bool everywhere = wait_for_all(chosen, *offset, *processes);
    const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(
        steady_clock::now() - started);
    if (chosen.json)
        print_json(*offset, *processes, passed);
    else if (everywhere)
        std::cout << "in force everywhere\n";
    else
        print_waiting(*processes);
    return everywhere ? exit_ok : exit_timed_out;
}

} // namespace dandeliontack::tackctl
