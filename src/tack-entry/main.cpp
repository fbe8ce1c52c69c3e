#include <dandeliontack/api_access.hpp>
#include <dandeliontack/control_client.hpp>
#include <dandeliontack/entry_service.hpp>
#include <dandeliontack/program.hpp>

#include <absl/flags/flag.h>
#include <boost/asio.hpp>

#include <algorithm>
#include <cstdlib>

ABSL_FLAG(
    std::string, settings, "/etc/dandeliontack/entry.ini",
    "The settings file (INI).");
ABSL_FLAG(
    bool, check, false, "Checks the settings, prints all findings and exits.");

namespace
{

using namespace dandeliontack;
namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto admin_patience = std::chrono::seconds(1);

// The part of the connections that each address is guaranteed, as a divisor.
constexpr std::size_t caller_part = 2;
constexpr std::size_t page_part = 8;

http_limits caller_limits(
    const entry_settings& settings,
    const std::shared_ptr<connection_budget>& connections)
{
    const auto& callers = settings.callers;
    auto limits =
        http_limits_of(settings.limits, connections, caller_part, "callers");
    limits.header_bytes = static_cast<std::uint32_t>(callers.header_bytes);
    limits.body_bytes = callers.body_bytes;
    limits.connections =
        std::min<std::size_t>(limits.connections, callers.connections);
    limits.idle = callers.idle;
    limits.transfer = callers.transfer;
    limits.buffered_bytes =
        std::min(limits.buffered_bytes, callers.buffered_bytes);
    return limits;
}

http_limits page_limits(
    const entry_settings& settings,
    const std::shared_ptr<connection_budget>& connections)
{
    auto limits = http_limits_of(settings.limits, connections, page_part);
    limits.body_bytes = 4 * 1024;
    return limits;
}

http_server::handler make_entry_api(const entry_service& service)
{
    return [&service](http_request request) -> asio::awaitable<http_response> {
        const std::string target(request.target());
        if (target_path(target) == "/v1/status")
            co_return entry_status(service);
        co_return make_problem(
            http::status::not_found, outcome::not_run, "no such page",
            target_path(target));
    };
}

// Readiness goes off first; the balancer has its time; then what runs is
// finished.
asio::awaitable<void> run_until_stopped(
    const stop_settings& stop, bool& stopping, entry_service& service,
    http_server& callers, http_server& admin)
{
    const part_log out("entry");
    co_await wait_for_stop_signal();
    out.info("Stopping.");
    stopping = true;
    service.prepare_stop();
    callers.close_after_responses();
    asio::steady_timer linger(co_await asio::this_coro::executor, stop.linger);
    co_await linger.async_wait(asio::use_awaitable);
    co_await callers.drain(stop.patience);
    co_await admin.drain(admin_patience);
}

int run(const entry_settings& settings)
{
    start_logging(settings.logging.level);
    const part_log out("entry");
    metric_registry metrics;
    asio::io_context context(1);
    const auto executor = context.get_executor();
    bool stopping = false;
    entry_service service(executor, settings, metrics);
    const auto connections = std::make_shared<connection_budget>(
        client_connections_of(settings.limits));
    http_server callers(
        executor, caller_limits(settings, connections), metrics,
        [&](http_request request) {
            return service.handle(std::move(request));
        });
    http_server admin(
        executor, page_limits(settings, connections), metrics,
        with_tokens(
            settings.api,
            admin_pages(
                metrics, [&] { return service.has_table() && !stopping; },
                make_entry_api(service))));
    auto& linked = metrics.get_gauge("tack_control_linked");
    control_client control(
        executor, settings.control.address, settings.node.name,
        [&](routing_table table) { service.set_table(std::move(table)); },
        [&](bool connected) { linked.set(connected ? 1 : 0); },
        [&](auto when, const applied_position& applied) {
            service.set_confirmed(when, applied);
        });

    const auto serving = callers.listen(settings.callers.listen);
    service.set_address(settings.tickets.advertise.value_or(serving));
    announce("callers", serving);
    announce("admin", admin.listen(settings.admin.listen));
    control.start();
    out.info("Started ", settings.node.name, ".");
    asio::co_spawn(
        executor,
        run_until_stopped(settings.stop, stopping, service, callers, admin),
        [&](std::exception_ptr) { context.stop(); });
    context.run();
    control.stop();
    if (callers.connections() != 0)
    {
        // What still runs refers to objects of this function.
        out.warn("Stopped with requests in progress.");
        std::_Exit(exit_failed);
    }
    out.info("Stopped.");
    return exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    parse_flags(
        argc, argv,
        "Serves callers over HTTP by the routing state that the control "
        "process of its host\nsends.\n\n  tack-entry --settings entry.ini\n");
    const auto settings = load_settings<entry_settings>(
        absl::GetFlag(FLAGS_settings), parse_entry_settings);
    if (!settings)
        return exit_bad_input;
    if (absl::GetFlag(FLAGS_check))
        return exit_ok;
    return run_guarded([&] { return run(*settings); });
}
