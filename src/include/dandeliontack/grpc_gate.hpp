#pragma once

#include <dandeliontack/endpoint.hpp>
#include <dandeliontack/http2_frame_scan.hpp>
#include <dandeliontack/metrics.hpp>

#include <cstddef>
#include <functional>
#include <memory>

namespace dandeliontack
{

/// Bounds on the clients of a gRPC server.
struct grpc_limits
{
    std::size_t connections = 64;
    /// What gRPC may hold for all of them, in bytes.
    std::size_t buffered_bytes = 64 * 1024 * 1024;
    http2_limits frames;
    /// The largest request, in bytes; none has more than a few fields.
    int request_bytes = 64 * 1024;
};

/// Accepts the connections of a gRPC server, as gRPC bounds neither their
/// number nor the fields of a request, and passes on what keeps within the
/// bounds. Where there are as many connections as may be, a new one takes the
/// place of that which has been without a call for longest, or else of that
/// whose call has been incomplete, or its answer unread, for longest. A client
/// that sends many small frames, or gives up many calls, is read slowly. Runs
/// on a thread of its own.
class grpc_gate
{
public:
    /// Takes over the descriptor of a connected socket, which doesn't block.
    using adopt_function = std::function<void(int descriptor)>;

    /// `metrics` must outlive the gate.
    grpc_gate(
        const grpc_limits& limits, metric_registry& metrics,
        adopt_function adopt);
    ~grpc_gate();
    grpc_gate(const grpc_gate&) = delete;
    grpc_gate& operator=(const grpc_gate&) = delete;

    /// Binds and begins to accept. Returns the endpoint with its real port.
    /// Throws `boost::system::system_error` if binding fails.
    endpoint listen(const endpoint& where);

    /// How large an answer may be from now on; fewer connections are accepted
    /// the more their unread answers would hold. Safe to call from any thread.
    void set_answer_bytes(std::size_t bytes);

    /// Closes all connections and stops accepting.
    void stop();

private:
    struct core;
    std::unique_ptr<core> core_;
};

} // namespace dandeliontack
