#pragma once

#include <dandeliontack/endpoint.hpp>
#include <dandeliontack/grpc_gate.hpp>
#include <dandeliontack/metrics.hpp>
#include <dandeliontack/relay_buffer.hpp>
#include <dandeliontack/routing.hpp>

#include <chrono>
#include <memory>

namespace dandeliontack
{

/// Streams the routing table to the entry processes that subscribe over gRPC.
/// Its methods may be called from any thread.
class control_server
{
public:
    /// `metrics` must outlive the server.
    explicit control_server(
        metric_registry& metrics, const grpc_limits& limits = {});
    ~control_server();
    control_server(const control_server&) = delete;
    control_server& operator=(const control_server&) = delete;

    /// Binds and serves on threads of its own. Returns the endpoint with its
    /// real port. Throws `std::runtime_error` if binding fails.
    endpoint listen(const endpoint& where);

    /// Sends the table to all subscribers. A slow subscriber skips tables and
    /// gets the newest.
    void publish(const routing_table& table);

    /// Tells all subscribers when the state was last confirmed to be current,
    /// as a time of the host's monotonic clock, and how far it is applied. The
    /// newest table must stand for that position.
    void confirm(
        std::chrono::steady_clock::time_point when,
        const applied_position& applied);

    /// The records that peers may ask this process for.
    relay_buffer& relay();

    /// Ends all streams and stops serving.
    void stop();

private:
    struct core;
    std::unique_ptr<core> core_;
};

} // namespace dandeliontack
