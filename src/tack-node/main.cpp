#include <dandeliontack/program.hpp>
#include <dandeliontack/tack_node.hpp>

#include <absl/flags/flag.h>
#include <boost/asio.hpp>
#include <unistd.h>

#include <csignal>
#include <cstdlib>

ABSL_FLAG(
    std::string, settings, "",
    "The settings file (INI). Without it, the file that the environment "
    "variable DANDELIONTACK_NODE_FILE names.");
ABSL_FLAG(
    bool, check, false, "Checks the settings, prints all findings and exits.");

namespace
{

using namespace dandeliontack;
namespace asio = boost::asio;

std::string settings_path()
{
    auto given = absl::GetFlag(FLAGS_settings);
    const char* named = std::getenv("DANDELIONTACK_NODE_FILE");
    if (given.empty() && named)
        return named;
    return given;
}

// Reads the settings again. Addresses and names of a running process stay;
// faulty settings change nothing and are reported.
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
    http_pool connections(context.get_executor(), {});
    node_context shared{
        context.get_executor(), settings, log, metrics, connections,
        make_incarnation(),     {}};
    tack_node node(shared);
    node.start();
    log.write(
        "node", "started",
        log_line()
            .add("version", TACK_VERSION)
            .add("incarnation", to_string(shared.life))
            .add("store", to_string(settings.store.address)));
    asio::co_spawn(context, reload_on_signal(path, log), asio::detached);
    asio::co_spawn(
        context, run_until_stopped(node, settings),
        [&](std::exception_ptr) { context.stop(); });
    context.run();
    log.flush();
    // Coroutines still refer to objects of this function.
    std::_Exit(exit_ok);
}

} // namespace

int main(int argc, char** argv)
{
    parse_flags(
        argc, argv,
        "A node of the fleet: serves callers, decides for the pools that it "
        "owns, and\nholds the fleet duty when it is its turn.\n\n"
        "  tack-node --settings node.ini");
    const auto path = settings_path();
    if (path.empty())
    {
        std::cerr << "no settings: give --settings FILE\n";
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
