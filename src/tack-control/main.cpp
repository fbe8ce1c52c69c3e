#include <dandeliontack/api_access.hpp>
#include <dandeliontack/capacity_duty.hpp>
#include <dandeliontack/control_node.hpp>
#include <dandeliontack/effect_runner.hpp>
#include <dandeliontack/http_platform_commands.hpp>
#include <dandeliontack/program.hpp>
#include <dandeliontack/rollout_metrics.hpp>

#include <absl/flags/flag.h>
#include <boost/asio.hpp>

ABSL_FLAG(
    std::string, settings, "/etc/dandeliontack/control.ini",
    "The settings file (INI).");
ABSL_FLAG(
    bool, check, false, "Checks the settings, prints all findings and exits.");

namespace
{

using namespace dandeliontack;
namespace asio = boost::asio;

constexpr auto planning_interval = std::chrono::milliseconds(200);
constexpr auto effects_interval = std::chrono::milliseconds(50);
constexpr auto stop_patience = std::chrono::seconds(2);

// The part of the connections that the pages get, as a divisor.
constexpr std::size_t page_part = 4;

http_limits page_limits_of(const machine_limits& machine)
{
    const auto connections = client_connections_of(machine) / page_part;
    auto limits = http_limits_of(
        machine, std::make_shared<connection_budget>(connections), page_part);
    limits.body_bytes = 4 * 1024;
    return limits;
}

grpc_limits grpc_limits_of(const machine_limits& machine)
{
    // The client's and the two between the gate and gRPC.
    constexpr std::size_t descriptors_per_connection = 3;
    grpc_limits limits;
    limits.buffered_bytes = buffered_bytes_of(machine);
    const auto all = client_connections_of(machine);
    limits.connections = (all - all / page_part) / descriptors_per_connection;
    return limits;
}

asio::awaitable<void> run_until_stopped(
    control_node& node, http_server& admin, control_server& server)
{
    const part_log out("control");
    co_await wait_for_stop_signal();
    out.info("Stopping.");
    co_await node.stop(stop_patience);
    co_await admin.drain(stop_patience);
    server.stop();
}

int run(const control_settings& settings)
{
    start_logging(settings.logging.level);
    const part_log out("control");
    metric_registry metrics;
    asio::io_context context(1);
    const auto executor = context.get_executor();
    const auto log = make_http_log_client(
        executor, settings.log.address, settings.log.timeout);
    const auto hosts = make_http_host_list_client(
        executor, settings.hosts.address, settings.hosts.timeout);
    control_server server(metrics, grpc_limits_of(settings.limits));
    control_node node(executor, settings, *log, *hosts, server, metrics);
    capacity_duty capacity(executor, node, planning_interval);
    const auto platform = make_http_platform_commands(
        executor, settings.hosts.address, settings.hosts.timeout);
    effect_runner runner(executor, node, *platform, effects_interval);
    http_server admin(
        executor, page_limits_of(settings.limits), metrics,
        with_tokens(
            settings.api, admin_pages(
                              metrics, [&] { return node.ready(); },
                              make_control_api(node))));
    record_rollout(node, metrics);

    const auto peer_address = server.listen(settings.grpc.listen);
    announce("grpc", peer_address);
    announce("admin", admin.listen(settings.admin.listen));
    node.start(peer_address);
    asio::co_spawn(executor, capacity.run(), asio::detached);
    asio::co_spawn(executor, runner.run(), asio::detached);
    out.info("Started ", settings.node.name, ".");
    asio::co_spawn(
        executor, run_until_stopped(node, admin, server),
        [&](std::exception_ptr) { context.stop(); });
    context.run();
    out.info("Stopped.");
    return exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    parse_flags(
        argc, argv,
        "Tails the platform's log, decides by it, and tells the entry "
        "processes of its host\nwhat to route by.\n\n"
        "  tack-control --settings control.ini\n");
    const auto settings = load_settings<control_settings>(
        absl::GetFlag(FLAGS_settings), parse_control_settings);
    if (!settings)
        return exit_bad_input;
    if (absl::GetFlag(FLAGS_check))
        return exit_ok;
    return run_guarded([&] { return run(*settings); });
}
