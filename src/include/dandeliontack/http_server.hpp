#pragma once

#include <dandeliontack/boot_clock.hpp>
#include <dandeliontack/connection_budget.hpp>
#include <dandeliontack/endpoint.hpp>
#include <dandeliontack/http.hpp>
#include <dandeliontack/http_refusal.hpp>
#include <dandeliontack/metrics.hpp>
#include <dandeliontack/settings.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace dandeliontack
{

/// Bounds on one request and the wait for it.
struct http_request_limits
{
    std::uint64_t header_bytes = 0;
    std::uint64_t body_bytes = 0;
    /// From the first byte of a header to its last.
    std::chrono::milliseconds header{0};
    std::chrono::milliseconds idle{0};
};

/// Bounds on what one connection, and all of them together, may cost.
struct http_limits
{
    std::uint32_t header_bytes = 8 * 1024;
    std::uint64_t body_bytes = 1024 * 1024;
    std::size_t connections = 4096;
    /// Shares connections with the other addresses of the process, which
    /// guarantees `guaranteed_connections` to this one; without it the server
    /// has `connections` of its own.
    std::shared_ptr<connection_budget> shared_connections;
    std::size_t guaranteed_connections = 0;
    /// How long a connection may stay open without a request.
    std::chrono::milliseconds idle = std::chrono::seconds(60);
    /// How long a header may take from its first byte to its last, within
    /// `transfer`.
    std::chrono::milliseconds header = std::chrono::milliseconds::max();
    /// How long reading one request, or writing one response, may take.
    std::chrono::milliseconds transfer = std::chrono::seconds(10);
    /// What all connections may hold together of requests and responses, in
    /// bytes, beside a fixed cost of each; see `buffer_budget`.
    std::uint64_t buffered_bytes = 64 * 1024 * 1024;
    /// How many times a request is held while it is served: as it came, or
    /// decoded, and encoded for whom it is passed on to. At least 1.
    std::uint64_t request_copies = 1;
    /// The earliest time at which bytes that are read now may have arrived; the
    /// time of the read if there is none.
    std::function<boot_time()> earliest_arrival;
    /// Labels the server's metrics if it isn't empty.
    std::string server;

    /// The name of a metric with the server's label.
    std::string metric_of(const std::string& name) const
    {
        return server.empty() ? name : name + "{server=\"" + server + "\"}";
    }
};

/// The bounds of one address of a process on a machine. It shares
/// `connections` with the others and is guaranteed a part of 1 in `divisor`.
http_limits http_limits_of(
    const machine_limits& machine,
    std::shared_ptr<connection_budget> connections, std::size_t divisor,
    std::string server = {});

/// A HTTP/1.1 server on one executor. Where it may hold no more connections,
/// a new one takes the place of one whose sender is in no hurry: one that has
/// been refused, the one that has been idle for longest, that whose request has
/// been incomplete for longest, or that whose response has been written for
/// longest. If there is none, the new one is closed.
/// Requests that can't be parsed or
/// exceed a limit are refused with a problem document and counted as
/// `tack_http_rejected_total`, and all refusals as
/// `tack_http_refused_total{cause=...}`. Where the handler throws, the
/// connection is closed without an answer.
class http_server
{
public:
    /// Called at most once a second for each cause, with the number of
    /// refusals since the last call.
    using refusal_observer = refusal_counter::observer;

    using handler =
        std::function<boost::asio::awaitable<http_response>(http_request)>;
    /// Also takes the earliest time at which the request may have arrived.
    using timed_handler = std::function<boost::asio::awaitable<http_response>(
        http_request, boot_time)>;

    /// `metrics` must outlive the server and its connections.
    http_server(
        boost::asio::any_io_executor executor, http_limits limits,
        metric_registry& metrics, timed_handler handle);
    http_server(
        boost::asio::any_io_executor executor, http_limits limits,
        metric_registry& metrics, handler handle);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Takes the place of the log lines about refusals.
    void set_refusal_observer(refusal_observer observer);

    /// Bounds the requests that begin from now on. Sizes are at least 1 KiB,
    /// and at most what `buffered_bytes` holds of one request; times are at
    /// least 100 ms, and that of a header at most `transfer`.
    void set_request_limits(const http_request_limits& limits);

    /// Binds, listens and begins to accept. Returns the endpoint with its
    /// real port. Throws `boost::system::system_error` if binding fails.
    endpoint listen(const endpoint& where);

    /// From now on each response ends its connection, so that callers which
    /// keep connections open move to another process before `drain`.
    void close_after_responses();

    /// Stops accepting, lets requests in progress finish, and closes idle
    /// connections. Returns when none is left or `patience` has passed.
    boost::asio::awaitable<void> drain(std::chrono::milliseconds patience);

    /// The name of its limits.
    const std::string& name() const;

    /// Connections that are open now.
    std::size_t connections() const;

private:
    struct core;
    std::shared_ptr<core> core_;
};

} // namespace dandeliontack
