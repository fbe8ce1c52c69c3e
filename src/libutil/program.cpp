#include <dandeliontack/program.hpp>

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <boost/asio.hpp>
#include <google/protobuf/stubs/logging.h>
#include <malloc.h>

#include <algorithm>
#include <csignal>
#include <iostream>

namespace dandeliontack
{

namespace
{

constexpr int largest_pooled_block = 128 * 1024;

} // namespace

namespace asio = boost::asio;
namespace http = boost::beast::http;

std::vector<std::string>
parse_flags(int argc, char** argv, std::string_view usage)
{
    absl::FlagsUsageConfig config;
    config.version_string = [] { return std::string(TACK_VERSION "\n"); };
    config.contains_help_flags = [](absl::string_view file) {
        return file.find("main.cpp") != absl::string_view::npos;
    };
    absl::SetFlagsUsageConfig(config);
    absl::SetProgramUsageMessage(std::string(usage));
    const auto rest = absl::ParseCommandLine(argc, argv);
    return {rest.begin() + 1, rest.end()};
}

int run_guarded(const std::function<int()>& body)
{
    // A fixed threshold: large blocks go back to the system when they are
    // freed, where the allocator would come to keep them among small ones.
    ::mallopt(M_MMAP_THRESHOLD, largest_pooled_block);
    // With a heap for each thread, what one of gRPC's threads frees would not
    // serve the others.
    ::mallopt(M_ARENA_MAX, 1);
    // Its lines about malformed input have no bound; decoders report that.
    google::protobuf::SetLogHandler(nullptr);
    try
    {
        return body();
    }
    catch (const std::exception& error)
    {
        std::cerr << "failed: " << error.what() << "\n";
        return exit_failed;
    }
}

void announce(std::string_view name, const endpoint& where)
{
    std::cout << "listening " << name << " " << to_string(where) << std::endl;
}

asio::awaitable<void> wait_for_stop_signal()
{
    asio::signal_set signals(
        co_await asio::this_coro::executor, SIGTERM, SIGINT);
    co_await signals.async_wait(asio::use_awaitable);
}

http_server::handler admin_pages(
    metric_registry& metrics, std::function<bool()> ready,
    http_server::handler next)
{
    return [&metrics, ready = std::move(ready), next = std::move(next)](
               http_request request) -> asio::awaitable<http_response> {
        const std::string path(target_path(std::string_view(
            request.target().data(), request.target().size())));
        if (path == "/healthz")
            co_return make_response(http::status::ok, "text/plain", "ok\n");
        if (path == "/readyz")
            co_return ready()
                ? make_response(http::status::ok, "text/plain", "ready\n")
                : make_response(
                      http::status::service_unavailable, "text/plain",
                      "not ready\n");
        if (path == "/metrics")
            co_return make_response(
                http::status::ok, "text/plain; version=0.0.4",
                metrics.render());
        if (next)
            co_return co_await next(std::move(request));
        co_return make_problem(
            http::status::not_found, outcome::not_run, "no such page", path);
    };
}

} // namespace dandeliontack
