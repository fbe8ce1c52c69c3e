#pragma once

#include <dandeliontack/entry_settings.hpp>
#include <dandeliontack/http.hpp>
#include <dandeliontack/incarnation.hpp>
#include <dandeliontack/log.hpp>
#include <dandeliontack/metrics.hpp>
#include <dandeliontack/routing.hpp>
#include <dandeliontack/upstream_pool.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace dandeliontack
{

/// Answers callers' requests by forwarding them to upstreams. Runs on one
/// executor with one thread.
class entry_service
{
public:
    /// `metrics` must outlive the service.
    entry_service(
        boost::asio::any_io_executor executor, const entry_settings& settings,
        metric_registry& metrics);

    /// Takes a newer routing table. One that is older than the present one is
    /// ignored.
    void set_table(routing_table table);
    /// Takes note of when the table was last confirmed to be current. Where
    /// that is longer ago than a pool's bound, a pool that says `refuse` gets
    /// no requests.
    void set_confirmed(std::chrono::steady_clock::time_point when)
    {
        confirmed_ = when;
    }
    const routing_table& table() const
    {
        return table_;
    }
    bool has_table() const
    {
        return has_table_;
    }

    /// Answers one request: with its upstream's whole response, or with a
    /// problem document.
    boost::asio::awaitable<http_response> handle(http_request request);

private:
    boost::asio::awaitable<http_response>
    forward(const route& to, http_request request, std::string path);
    http_response
    finish(const exchange_result& result, const std::string& request_id);
    http_response refuse(
        boost::beast::http::status status, outcome result,
        std::string_view title, std::string_view detail);

    entry_settings settings_;
    metric_registry& metrics_;
    part_log out_;
    routing_table table_;
    bool has_table_ = false;
    std::chrono::steady_clock::time_point confirmed_;
    upstream_pool upstreams_;
    std::string request_prefix_;
    std::uint64_t last_request_ = 0;
};

/// The administration page of an entry process: `/v1/status`.
http_response entry_status(const entry_service& service);

} // namespace dandeliontack
