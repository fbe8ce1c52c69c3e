#include <dandeliontack/program.hpp>
#include <dandeliontack/tack_node.hpp>

#include <absl/flags/flag.h>
#include <boost/asio.hpp>
#include <unistd.h>

#include <csignal>
#include <cstdlib>

ABSL_FLAG(
    std::string, settings, "",
    "The settings file (INI). Default: the file that the environment variable "
    "DANDELIONTACK_NODE_FILE names.");
ABSL_FLAG(
    bool, check, false,
    "Validates the settings, prints all findings and exits.");

namespace
{

using namespace dandeliontack;
namespace asio = boost::asio;

std::string settings_path()
{
    auto from_flag = absl::GetFlag(FLAGS_settings);
    const char* from_environment = std::getenv("DANDELIONTACK_NODE_FILE");
    if (from_flag.empty() && from_environment)
        return from_environment;
    return from_flag;
}

// Re-reads and validates the settings file and logs the result. The running
// process keeps its settings.
void reload(const std::string& path, event_log& log)
{
    auto loaded = load_ini(path);
    findings found;
    if (auto* wrong = std::get_if<findings>(&loaded))
        found = *wrong;
    else if (auto parsed =
                 parse_tack_node_settings(std::get<ini_document>(loaded));
             auto* wrong_settings = std::get_if<findings>(&parsed))
        found = *wrong_settings;
    log.write(
        "node", found.empty() ? "settings_reloaded" : "settings_rejected",
        log_line().add("file", path).add("reason", to_string(found)));
}

asio::awaitable<void> reload_on_signal(const std::string& path, event_log& log)
{
    asio::signal_set signals(co_await asio::this_coro::executor, SIGHUP);
    while (true)
    {
        co_await signals.async_wait(asio::use_awaitable);
        reload(path, log);
    }
}

asio::awaitable<void>
run_until_stopped(tack_node& node, const tack_node_settings& settings)
{
    co_await wait_for_stop_signal();
    const auto grace = std::chrono::round<std::chrono::milliseconds>(
        std::chrono::duration<double>(settings.bounds.grace_seconds));
    co_await node.stop(grace);
}

int run(const std::string& path, const tack_node_settings& settings)
{
    std::signal(SIGPIPE, SIG_IGN);
    metric_registry metrics;
    asio::io_context context(1);
    event_log log(settings.node.name, STDOUT_FILENO, {});
    http_pool::limits connection_limits;
    connection_limits.buffered_bytes = buffered_bytes_of(settings.limits);
    http_pool connections(context.get_executor(), connection_limits);
    node_context shared{
        context.get_executor(), settings, log, metrics, connections,
        make_incarnation(),     {}};
    tack_node node(shared);
    node.start();
    log.write(
        "node", "started",
        log_line()
            .add("version", TACK_VERSION)
            .add("incarnation", to_string(shared.process_incarnation))
            .add("store", to_string(settings.store.address)));
    asio::co_spawn(context, reload_on_signal(path, log), asio::detached);
    asio::co_spawn(
        context, run_until_stopped(node, settings),
        [&](std::exception_ptr) { context.stop(); });
    context.run();
    log.flush();
    // Skips destructors: suspended coroutines still refer to local objects.
    std::_Exit(exit_ok);
}

} // namespace

int main(int argc, char** argv)
{
    parse_flags(
        argc, argv,
        "A node of the service: handles callers' requests, schedules the pools "
        "that it owns, and\nmoves and maintains machines while it holds the "
        "fleet duty.\n\n"
        "  tack-node --settings node.ini");
    const auto path = settings_path();
    if (path.empty())
    {
        std::cerr
            << "no settings file: set --settings or DANDELIONTACK_NODE_FILE\n";
        return exit_bad_input;
    }
    const auto settings =
        load_settings<tack_node_settings>(path, parse_tack_node_settings);
    if (!settings)
        return exit_bad_input;
    if (absl::GetFlag(FLAGS_check))
        return exit_ok;
    return run_guarded([&] { return run(path, *settings); });
}
