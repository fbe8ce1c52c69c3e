// Measures what the system's parts cost on this machine and works out from
// these slopes what each role needs at the size to design for. Prints
// Markdown, as docs/CAPACITY.md holds it.

#include "process_slopes.hpp"
#include "state_slopes.hpp"
#include <dandeliontack/program.hpp>

#include <cmath>
#include <iostream>
#include <sstream>

namespace
{

using namespace dandeliontack;
using namespace dandeliontack::capacity;

constexpr fleet_size design_size{
    .hosts = 540,
    .pools = 90,
    .services = 180,
    .teams = 230,
    .changes_a_day = 2600,
    .entry_hosts = 9,
    .nodes = 64};

constexpr double seconds_a_day = 86'400;
constexpr double nanoseconds = 1e-9;
constexpr double bytes_a_megabyte = 1024.0 * 1024.0;
constexpr double bytes_a_kilobyte = 1024.0;
// What a node may spend on control.
constexpr double most_processor = 0.022;
constexpr double most_bytes = 64 * bytes_a_megabyte;
constexpr double most_traffic = 14 * bytes_a_kilobyte;
constexpr double most_rollout = 9;
// The nodes of one data centre may go at once; those that went before have
// been removed from the members.
constexpr double data_centres = 8;
constexpr double killed_at_once = design_size.nodes / data_centres;
constexpr double minutes_an_hour = 60;

std::string rounded(double value)
{
    std::ostringstream out;
    out.precision(3);
    out << (std::abs(value) < 1e-12 ? 0.0 : value);
    return out.str();
}

void print_slope(
    const char* what, const char* per, const fitted_line& line, double scale,
    const char* unit)
{
    std::cout << "| " << what << " | " << rounded(line.base * scale) << " "
              << unit << " | " << rounded(line.slope * scale) << " " << unit
              << " | " << per << " |\n";
}

void print_value(const char* name, const value_cost& cost)
{
    std::cout << "| " << name << " | " << rounded(cost.heap.slope) << " | "
              << rounded(cost.record_bytes) << " | "
              << rounded(cost.apply_ns.slope / 1000) << " |\n";
}

void print_state_slopes(const state_slopes& s)
{
    std::cout << "### One value in the state\n\n"
                 "| value | heap bytes | record bytes | µs to apply |\n"
                 "|---|---|---|---|\n";
    print_value("host", s.host);
    print_value("pool of 6 hosts", s.pool);
    print_value("service version", s.service);
    print_value("team", s.team);
    print_value("job", s.job);
    print_value("writer (beyond its event)", s.writer);
    std::cout << "\nAt the size to design for, with 4,096 known writers: "
              << rounded(s.apply_at_size_ns / 1000) << " µs to apply a record, "
              << rounded(s.apply_pool_at_size_ns / 1000)
              << " µs to apply a change of a pool.\n\n";
}

void print_process_slopes(const state_slopes& s, const process_slopes& p)
{
    std::cout << "### Slopes\n\n| what | base | slope | per |\n"
                 "|---|---|---|---|\n";
    print_slope("hash_of", "byte of state", s.hash_ns, 1, "ns");
    print_slope(
        "routing table, bytes", "upstream in it", s.table_bytes, 1, "B");
    print_slope(
        "routing table, making it", "upstream in it", s.table_ns, 1e-3, "µs");
    print_slope("host list, bytes", "host", s.host_list_bytes, 1, "B");
    print_slope("host list, parsing", "host", s.host_list_ns, 1e-3, "µs");
    print_slope(
        "idle control, processor", "control process", p.by_nodes.processor, 100,
        "% of a core");
    print_slope(
        "idle control, resident", "control process", p.by_nodes.resident_bytes,
        1 / bytes_a_megabyte, "MB");
    print_slope(
        "idle control, platform traffic", "control process",
        p.by_nodes.platform_bytes, 1, "B/s");
    print_slope(
        "idle control, processor", "listed host", p.by_hosts.processor, 100,
        "% of a core");
    print_slope(
        "idle control, resident", "listed host", p.by_hosts.resident_bytes,
        1 / bytes_a_megabyte, "MB");
    print_slope(
        "idle control, platform traffic", "listed host",
        p.by_hosts.platform_bytes, 1, "B/s");
    print_slope(
        "entry, resident", "caller's connection", p.connection_bytes,
        1 / bytes_a_kilobyte, "KB");
    print_slope("entry, processor", "request", p.request_processor, 1e6, "µs");
    print_slope("entry, resident", "request", p.request_bytes, 1, "B");
    print_slope(
        "change applied by all", "control process", p.rollout_by_nodes, 1, "s");
    print_slope(
        "change accepted", "killed member before the asked one",
        p.rollout_by_killed, 1, "s");
    std::cout << "\nOne published change costs a control process "
              << rounded(p.change_bytes) << " B of platform traffic and "
              << rounded(p.change_processor * 1000)
              << " ms of processor time (its reports to tackctl included), "
              << "and sends " << rounded(p.change_entry_bytes)
              << " B to each entry process while the state is small.\n\n";
}

// One line of the table of roles; a limit of 0 stands for none.
void print_need(
    const char* role, const char* what, double need, double limit, double scale,
    const char* unit, const char* carried_by)
{
    const char* verdict = limit == 0      ? "no limit set"
                          : need <= limit ? "meets"
                                          : "**misses**";
    std::cout << "| " << role << " | " << what << " | " << rounded(need * scale)
              << " " << unit << " | " << verdict << " | " << carried_by
              << " |\n";
}

void print_control_needs(const state_slopes& s, const process_slopes& p)
{
    const auto& size = design_size;
    const double changes = size.changes_a_day / seconds_a_day;
    const double each_change =
        p.change_processor +
        (s.table_ns_at_size + s.apply_pool_at_size_ns) * nanoseconds;
    const double processor = p.by_hosts.processor.at(size.hosts) +
                             p.by_nodes.processor.slope * size.nodes +
                             changes * each_change;
    const double memory = p.by_hosts.resident_bytes.at(size.hosts) +
                          p.by_nodes.resident_bytes.slope * size.nodes +
                          s.heap_at_size;
    const double list_traffic = p.by_hosts.platform_bytes.slope * size.hosts;
    const double other_traffic =
        p.by_nodes.platform_bytes.at(size.nodes) + changes * p.change_bytes;
    print_need(
        "control", "processor", processor, most_processor, 100, "% of a core",
        "reducer.cpp, routing.cpp, control_node.cpp");
    print_need(
        "control", "memory", memory, most_bytes, 1 / bytes_a_megabyte, "MB",
        "state.hpp, control_server.cpp");
    print_need(
        "control", "state alone", s.heap_at_size, most_bytes,
        1 / bytes_a_megabyte, "MB", "state.hpp");
    print_need(
        "control", "traffic: log", other_traffic, most_traffic,
        1 / bytes_a_kilobyte, "KB/s",
        "http_log_client.cpp, control_node.cpp tail");
    print_need(
        "control", "traffic: host list", list_traffic, most_traffic,
        1 / bytes_a_kilobyte, "KB/s",
        "http_host_list.cpp, control_node.cpp poll_hosts");
    print_need(
        "control", "routing tables to its entry process",
        changes * s.table_bytes_at_size, most_traffic, 1 / bytes_a_kilobyte,
        "KB/s", "control_server.cpp, routing_codec.cpp");
    print_need(
        "control", "one hash of the state", s.hash_at_size_ns, 0, 1e-6, "ms",
        "reducer.cpp hash_of");
    print_need(
        "control", "one routing table", s.table_ns_at_size, 0, 1e-6, "ms",
        "routing.cpp, routing_codec.cpp");
}

void print_other_needs(const state_slopes& s, const process_slopes& p)
{
    const auto& size = design_size;
    const double changes = size.changes_a_day / seconds_a_day;
    const double record = s.team.record_bytes;
    print_need(
        "entry", "memory without callers",
        p.connection_bytes.base + s.table_bytes_at_size, most_bytes,
        1 / bytes_a_megabyte, "MB", "entry_service.cpp");
    print_need(
        "entry", "memory of 4,096 connections", 4096 * p.connection_bytes.slope,
        0, 1 / bytes_a_megabyte, "MB", "http_server.cpp");
    print_need(
        "entry", "requests a second in one core", 1 / p.request_processor.slope,
        0, 1, "", "entry_service.cpp, upstream_pool.cpp");
    print_need(
        "log", "operators' stream", size.changes_a_day * record, 0,
        1 / bytes_a_megabyte, "MB a day", "record_codec.cpp");
    print_need(
        "log", "appends", 2 * changes, 0, 1, "a second",
        "proposer.cpp, order_operators");
    print_need(
        "log", "reads by all nodes",
        size.nodes *
            (p.by_nodes.platform_bytes.base + changes * p.change_bytes),
        0, 1 / bytes_a_kilobyte, "KB/s", "http_log_client.cpp");
    print_need(
        "host list", "fetches by all nodes",
        size.nodes * p.by_hosts.platform_bytes.slope * size.hosts, 0,
        1 / bytes_a_megabyte, "MB/s", "http_host_list.cpp");
    print_need(
        "tack-report", "memory for an hour of samples each minute",
        minutes_an_hour * size.entry_hosts * s.report_sample_bytes, 0,
        1 / bytes_a_megabyte, "MB", "samples.cpp");
    print_need(
        "all", "change applied by all control processes",
        p.rollout_by_nodes.at(size.nodes), most_rollout, 1, "s",
        "control_node.cpp tail, order_operators");
    print_need(
        "all", "change accepted, nobody killed", p.rollout_by_killed.at(0),
        most_rollout, 1, "s", "control_duties.cpp order_operators");
    print_need(
        "all",
        "change accepted right after a data centre fails, asked node last",
        p.rollout_by_killed.at(killed_at_once), most_rollout, 1, "s",
        "control_duties.cpp ordering_delay");
}

int run()
{
    const auto s = measure_state(design_size);
    const auto p = measure_processes();
    print_state_slopes(s);
    print_process_slopes(s, p);
    std::cout << "### At the size to design for\n\n"
                 "| role | what | need | limit | carried by |\n"
                 "|---|---|---|---|---|\n";
    print_control_needs(s, p);
    print_other_needs(s, p);
    return exit_ok;
}

} // namespace

int main()
{
    return run_guarded(run);
}
