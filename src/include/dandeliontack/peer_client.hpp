#pragma once

#include <dandeliontack/endpoint.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace dandeliontack
{

/// What a peer holds behind the offsets that it was asked for.
struct relayed_records
{
    /// The offsets of the first record of each list.
    std::uint64_t system_from = 0;
    std::uint64_t operators_from = 0;
    std::vector<std::string> system;
    std::vector<std::string> operators;
    /// The end of the system's stream as the peer has it.
    std::uint64_t system_end = 0;
    /// When the peer's state was last known to be current, at the earliest, by
    /// this node's monotonic clock.
    std::chrono::steady_clock::time_point confirmed;
};

/// Asks peers for records over gRPC.
class peer_client
{
public:
    using handler = std::function<void(relayed_records)>;

    /// Handlers run on `executor`.
    explicit peer_client(boost::asio::any_io_executor executor);
    ~peer_client();
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;

    /// Asks one peer; `on_reply` runs only if it answers within `timeout`.
    void
    ask(const endpoint& peer, std::uint64_t system_from,
        std::uint64_t operators_from, std::chrono::milliseconds timeout,
        handler on_reply);

private:
    struct core;
    std::unique_ptr<core> core_;
};

} // namespace dandeliontack
