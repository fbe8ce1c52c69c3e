// The whole system on loopback: publishes, serves, changes the routing,
// shows how long the change took everywhere, and stops gracefully.

#include "harness/cluster.hpp"
#include <dandeliontack/program.hpp>

#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <csignal>
#include <iostream>

namespace
{

using namespace dandeliontack;
using namespace dandeliontack::harness;
using std::chrono::duration_cast;
using std::chrono::steady_clock;
namespace http = boost::beast::http;

constexpr unsigned requests_each = 50;
constexpr auto stop_limit = std::chrono::seconds(20);

constexpr std::string_view first_configuration = R"(
[pool registry]
hosts = w1, w2
budget_hosts = 1

[pool spare]
hosts = w3

[service citations]
pool = registry
deadline = 2s
)";

constexpr std::string_view second_configuration = R"(
[service citations]
pool = spare
deadline = 2s
)";

unsigned send_requests(const entry_process& entry)
{
    unsigned answered = 0;
    for (unsigned i = 0; i < requests_each; ++i)
    {
        const auto path = "/reports/" + std::to_string(i);
        const auto response = get(entry.callers, "/services/citations" + path);
        const bool whole =
            response.result() == http::status::ok &&
            response.body().find(" " + path + " ") != std::string::npos;
        answered += whole ? 1 : 0;
    }
    return answered;
}

std::uint64_t revision_at(const entry_process& entry)
{
    const auto status = get_json(entry.admin, "/v1/status");
    std::uint64_t highest = 0;
    for (const auto& route : status.at("routes").as_array())
        highest =
            std::max(highest, route.at("revision").to_number<std::uint64_t>());
    return highest;
}

// Publishes the second configuration and returns the time until the last
// entry process routes by it.
std::chrono::milliseconds change_routing(cluster& system)
{
    const auto admin = system.controls.begin()->second.admin;
    const auto started = steady_clock::now();
    system.publish(admin, std::string(second_configuration));
    std::chrono::milliseconds slowest{};
    for (const auto& [name, entry] : system.entries)
    {
        eventually([&] { return revision_at(entry) == 2; });
        slowest = duration_cast<std::chrono::milliseconds>(
            steady_clock::now() - started);
        std::cout << name << ": in force after " << slowest.count()
                  << " ms, tackctl's start included\n";
    }
    return slowest;
}

bool stop_all(cluster& system)
{
    bool graceful = true;
    const auto stop = [&](const std::string& name, child_process& process) {
        process.send_signal(SIGTERM);
        const bool stopped = process.wait_exit(stop_limit) == 0;
        std::cout << name << (stopped ? ": stopped\n" : ": did not stop\n");
        graceful = graceful && stopped;
    };
    for (auto& [name, entry] : system.entries)
        stop(name, entry.process);
    for (auto& [name, control] : system.controls)
        stop(name, control.process);
    return graceful;
}

int run()
{
    cluster system;
    for (const auto* name : {"w1", "w2", "w3"})
        system.add_worker(name);
    const auto& one = system.add_control("control-1");
    const auto& two = system.add_control("control-2");
    system.add_entry("entry-1", one.grpc);
    system.add_entry("entry-2", two.grpc);
    std::cout << "started 3 workers, 2 control and 2 entry processes\n";

    system.publish(one.admin, std::string(first_configuration));
    bool good = true;
    for (const auto& [name, entry] : system.entries)
        good = good && routes_to(entry, "citations", 2);
    unsigned answered = 0;
    for (const auto& [name, entry] : system.entries)
        answered += send_requests(entry);
    const auto slowest = change_routing(system);
    for (const auto& [name, entry] : system.entries)
        good = good && routes_to(entry, "citations", 1);
    for (const auto& [name, entry] : system.entries)
        answered += send_requests(entry);
    const unsigned asked = requests_each * 4;
    good = stop_all(system) && good && answered == asked;
    std::cout << "demo: " << answered << " of " << asked
              << " requests answered whole, routing change in force on 2 of 2 "
                 "entry processes within "
              << slowest.count() << " ms, " << (good ? "good" : "FAILED")
              << "\n";
    return good ? exit_ok : exit_failed;
}

} // namespace

int main()
{
    return run_guarded(run);
}
