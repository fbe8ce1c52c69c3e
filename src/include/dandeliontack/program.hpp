#pragma once

#include <dandeliontack/endpoint.hpp>
#include <dandeliontack/finding.hpp>
#include <dandeliontack/http_server.hpp>
#include <dandeliontack/ini.hpp>
#include <dandeliontack/metrics.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <iostream>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dandeliontack
{

/// Exit codes that all programs share.
enum exit_code : int
{
    exit_ok = 0,
    exit_failed = 1,
    exit_bad_input = 2,
    exit_unreachable = 3,
    exit_rejected = 4,
    exit_timed_out = 5,
    exit_differs = 6
};

/// Sets the usage and version texts and parses the flags. Returns what is
/// left on the command line without the program's name. Ends the process for
/// `--help`, `--version` and unknown flags.
std::vector<std::string>
parse_flags(int argc, char** argv, std::string_view usage);

/// Loads and checks a settings file by `parse`. Prints all findings to
/// standard error where there are any and returns nothing.
template <class Settings>
std::optional<Settings> load_settings(
    const std::string& path,
    const std::function<checked<Settings>(const ini_document&)>& parse)
{
    auto loaded = load_ini(path);
    if (auto* found = std::get_if<findings>(&loaded))
    {
        std::cerr << to_string(*found);
        return std::nullopt;
    }
    auto settings = parse(std::get<ini_document>(loaded));
    if (auto* found = std::get_if<findings>(&settings))
    {
        std::cerr << to_string(*found);
        return std::nullopt;
    }
    return std::get<Settings>(std::move(settings));
}

/// Calls `body` and returns its exit code; an exception that leaves it is
/// printed and becomes `exit_failed`.
int run_guarded(const std::function<int()>& body);

/// Prints `listening NAME ADDRESS` to standard output, so that whoever asked
/// for port 0 learns the port.
void announce(std::string_view name, const endpoint& where);

/// Waits for SIGTERM or SIGINT.
boost::asio::awaitable<void> wait_for_stop_signal();

/// The health and metrics pages that every server has: `/healthz` answers
/// while the process runs, `/readyz` by `ready`, `/metrics` in Prometheus
/// text. Anything else goes to `next`, or is 404 where that is empty.
http_server::handler admin_pages(
    metric_registry& metrics, std::function<bool()> ready,
    http_server::handler next);

} // namespace dandeliontack
