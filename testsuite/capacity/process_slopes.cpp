#include "process_slopes.hpp"

#include "harness/cluster.hpp"
#include "harness/counting_relay.hpp"
#include "usage.hpp"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <stdexcept>
#include <thread>

namespace dandeliontack::capacity
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using harness::cluster;
using harness::counting_relay;
using std::chrono::steady_clock;

constexpr auto settle_time = std::chrono::seconds(1);
constexpr auto idle_window = std::chrono::seconds(8);
constexpr unsigned changes = 20;

constexpr const char* small_configuration =
    "[pool registry]\nhosts = w1\n[service citations]\npool = registry\n";

double seconds(std::chrono::duration<double> value)
{
    return value.count();
}

struct idle_sample
{
    double processor = 0;
    double resident = 0;
    double bytes = 0;
};

// Watches one process that nobody asks anything.
idle_sample watch_idle(pid_t process, const counting_relay& relay)
{
    std::this_thread::sleep_for(settle_time);
    const auto before = read_usage(process);
    const auto bytes_before = relay.bytes();
    const auto started = steady_clock::now();
    std::this_thread::sleep_for(idle_window);
    const auto after = read_usage(process);
    const double elapsed = seconds(steady_clock::now() - started);
    return {
        seconds(after.processor_time - before.processor_time) / elapsed,
        double(after.resident_bytes),
        double(relay.bytes() - bytes_before) / elapsed};
}

struct idle_samples
{
    std::vector<sample> processor;
    std::vector<sample> resident;
    std::vector<sample> bytes;

    void add(double size, const idle_sample& measured)
    {
        processor.push_back({size, measured.processor});
        resident.push_back({size, measured.resident});
        bytes.push_back({size, measured.bytes});
    }

    idle_cost fit() const
    {
        return {fit_line(processor), fit_line(resident), fit_line(bytes)};
    }
};

// The measured process alone goes through the relay, and it fetches the host
// list as often as the default settings say.
harness::control_process& add_measured(
    cluster& system, const counting_relay& relay, const std::string& name)
{
    const auto direct = system.control_platform;
    system.control_platform = relay.address();
    system.host_list_interval = std::chrono::milliseconds(500);
    auto& control = system.add_control(name);
    system.control_platform = direct;
    return control;
}

bool has_applied(const harness::control_process& control, std::uint64_t end)
{
    const auto status = harness::get_json(control.admin, "/v1/status");
    return status.at("operators_end").to_number<std::uint64_t>() >= end;
}

// Publishes the cluster's first change and waits until every control process
// has applied it.
double time_change_everywhere(cluster& system)
{
    const auto started = steady_clock::now();
    system.publish(
        system.controls.at("measured").admin,
        "[team one]\nquota_processors = 8\nquota_memory_mb = 1024\n");
    for (const auto& [name, control] : system.controls)
        if (!harness::eventually([&] { return has_applied(control, 1); }))
            throw std::runtime_error("a change did not come into force");
    return seconds(steady_clock::now() - started);
}

void measure_by_nodes(process_slopes& out)
{
    idle_samples samples;
    std::vector<sample> rollout;
    for (const unsigned nodes : {1U, 8U, 16U, 32U})
    {
        cluster system;
        const counting_relay relay(system.platform_address);
        const auto& measured = add_measured(system, relay, "measured");
        for (unsigned i = 1; i < nodes; ++i)
            system.add_control("control-" + std::to_string(i));
        samples.add(nodes, watch_idle(measured.process.pid(), relay));
        rollout.push_back({double(nodes), time_change_everywhere(system)});
    }
    out.by_nodes = samples.fit();
    out.rollout_by_nodes = fit_line(rollout);
}

idle_cost measure_by_hosts()
{
    idle_samples samples;
    for (const unsigned hosts : {0U, 135U, 270U, 540U})
    {
        cluster system;
        for (unsigned i = 0; i < hosts; ++i)
        {
            const auto name = "worker-host-" + std::to_string(i);
            system.worker_addresses[name] = {"127.0.0.1", 9};
            system.list_worker(name, "live");
        }
        const counting_relay relay(system.platform_address);
        const auto& measured = add_measured(system, relay, "measured");
        samples.add(hosts, watch_idle(measured.process.pid(), relay));
    }
    return samples.fit();
}

// Publishes one change at a time, so that each is ordered and sent alone.
void measure_changes(process_slopes& out)
{
    cluster system;
    const counting_relay to_platform(system.platform_address);
    const auto& control = add_measured(system, to_platform, "measured");
    const counting_relay to_control(control.grpc);
    system.add_entry("entry-1", to_control.address());
    system.publish(control.admin, small_configuration);
    const auto idle = watch_idle(control.process.pid(), to_platform);
    const auto before = read_usage(control.process.pid());
    const auto bytes = to_platform.bytes();
    const auto entry_bytes = to_control.bytes();
    const auto started = steady_clock::now();
    for (unsigned i = 0; i < changes; ++i)
        system.publish(
            control.admin,
            "[team team-" + std::to_string(i) +
                "]\nquota_processors = 8\nquota_memory_mb = 1024\n");
    const double elapsed = seconds(steady_clock::now() - started);
    const auto after = read_usage(control.process.pid());
    out.change_bytes =
        (double(to_platform.bytes() - bytes) - idle.bytes * elapsed) / changes;
    out.change_entry_bytes = double(to_control.bytes() - entry_bytes) / changes;
    out.change_processor =
        (seconds(after.processor_time - before.processor_time) -
         idle.processor * elapsed) /
        changes;
}

// A caller's connection that is kept open.
class caller
{
public:
    caller(asio::io_context& context, const endpoint& to) : socket_(context)
    {
        socket_.connect({asio::ip::make_address(to.address), to.port});
    }

    void ask()
    {
        constexpr std::string_view request =
            "GET /services/citations/x HTTP/1.1\r\nHost: entry\r\n\r\n";
        asio::write(socket_, asio::buffer(request));
        const auto header =
            asio::read_until(socket_, asio::dynamic_buffer(text_), "\r\n\r\n");
        if (!text_.starts_with("HTTP/1.1 200"))
            throw std::runtime_error("a measured request failed: " + text_);
        const auto length = content_length(text_.substr(0, header));
        if (text_.size() < header + length)
            asio::read(
                socket_, asio::dynamic_buffer(text_),
                asio::transfer_exactly(header + length - text_.size()));
        text_.clear();
    }

private:
    static std::size_t content_length(const std::string& header)
    {
        constexpr std::string_view name = "Content-Length: ";
        return std::stoul(header.substr(header.find(name) + name.size()));
    }

    tcp::socket socket_;
    std::string text_;
};

void measure_entry(process_slopes& out)
{
    cluster system;
    system.add_worker("w1");
    const auto& control = system.add_control("control-1");
    const auto& entry = system.add_entry("entry-1", control.grpc);
    system.publish(control.admin, small_configuration);
    if (!harness::routes_to(entry, "citations", 1))
        throw std::runtime_error("the entry process got no route");
    const auto pid = entry.process.pid();
    asio::io_context context;
    std::vector<std::unique_ptr<caller>> callers;
    std::vector<sample> connection_bytes;
    for (const unsigned count : {50U, 100U, 200U, 400U})
    {
        while (callers.size() < count)
        {
            callers.push_back(std::make_unique<caller>(context, entry.callers));
            callers.back()->ask();
        }
        connection_bytes.push_back(
            {double(count), double(read_usage(pid).resident_bytes)});
    }
    std::vector<sample> processor;
    std::vector<sample> resident;
    const auto base = read_usage(pid).processor_time;
    unsigned asked = 0;
    for (const unsigned count : {2000U, 4000U, 8000U})
    {
        for (; asked < count; ++asked)
            callers[asked % callers.size()]->ask();
        const auto used = read_usage(pid);
        processor.push_back(
            {double(count), seconds(used.processor_time - base)});
        resident.push_back({double(count), double(used.resident_bytes)});
    }
    out.connection_bytes = fit_line(connection_bytes);
    out.request_processor = fit_line(processor);
    out.request_bytes = fit_line(resident);
}

// How many members stand before this process in the order of members.
unsigned rank_of(const harness::control_process& control)
{
    const auto status = harness::get_json(control.admin, "/v1/status");
    const auto& nodes = status.at("nodes").as_array();
    const auto self = std::ranges::find(
        nodes, status.at("incarnation"),
        [](const auto& node) { return node.at("incarnation"); });
    return unsigned(self - nodes.begin());
}

// Kills all control processes but one, and times a change through that one.
sample time_change_with_killed(unsigned killed)
{
    cluster system;
    const auto& asked = system.add_control("asked");
    for (unsigned i = 0; i < killed; ++i)
        system.add_control("control-" + std::to_string(i));
    const bool joined = harness::eventually([&] {
        const auto status = harness::get_json(asked.admin, "/v1/status");
        return status.at("nodes").as_array().size() == killed + 1;
    });
    if (!joined)
        throw std::runtime_error("the control processes did not join");
    for (auto& [name, control] : system.controls)
        if (name != "asked")
            control.process.send_signal(SIGKILL);
    const auto started = steady_clock::now();
    system.publish(
        asked.admin,
        "[team one]\nquota_processors = 8\nquota_memory_mb = 1024\n");
    return {double(rank_of(asked)), seconds(steady_clock::now() - started)};
}

// Until the ranks differ enough for a line; they are random.
fitted_line measure_rollout_by_killed()
{
    constexpr unsigned killed = 15;
    constexpr std::size_t most_runs = 8;
    std::vector<sample> samples{time_change_with_killed(0)};
    while (samples.size() < most_runs && samples.back().size < killed / 2.0)
        samples.push_back(time_change_with_killed(killed));
    return fit_line(samples);
}

} // namespace

process_slopes measure_processes()
{
    process_slopes out;
    measure_by_nodes(out);
    out.by_hosts = measure_by_hosts();
    measure_changes(out);
    measure_entry(out);
    out.rollout_by_killed = measure_rollout_by_killed();
    return out;
}

} // namespace dandeliontack::capacity
