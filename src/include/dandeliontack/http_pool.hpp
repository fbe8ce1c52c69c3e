#pragma once

#include <dandeliontack/http_connection.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

namespace dandeliontack
{

/// For requests to one process of several that may answer at an address in
/// turn. A connection leads to the same process for as long as it stands, so it
/// is enough to ask once on each.
struct peer_check
{
    /// The name of the process that the request is meant for.
    std::string expected;
    /// A request that any of the processes may answer.
    http_request question;
    /// The name of the process that gave this answer to the question.
    std::function<std::string(const http_response&)> name_of;
    /// Whether the answer to the question also serves as that to the request,
    /// which is then not sent.
    bool question_suffices = false;
};

/// Keeps connections to peers open between requests. After a request that
/// was not answered in time, all idle connections to that peer are closed:
/// they may have gone silent too. Peers that nobody calls any more keep
/// nothing.
class http_pool
{
public:
    struct limits
    {
        std::size_t idle_per_peer = 8;
        std::chrono::milliseconds longest_idle{10'000};
        /// The largest body of a response.
        std::uint64_t response_bytes = 16 * 1024 * 1024;
        /// What the responses that are being read may hold together, in bytes;
        /// see `buffer_budget`.
        std::uint64_t buffered_bytes = 256 * 1024 * 1024;
    };

    http_pool(boost::asio::any_io_executor executor, limits bounds);

    /// Sends one request, if it is still permitted once a connection stands,
    /// and reads the whole response. With `body`, `timeout` ends with the
    /// response's head.
    boost::asio::awaitable<exchange_result> exchange(
        endpoint peer, http_request request, std::chrono::milliseconds timeout,
        send_permission may_send = {}, std::optional<body_time> body = {});

    /// The same for a request that only the process named by `check` may
    /// receive. If another one answers, nothing is sent to it, and the result
    /// is `not_run`.
    boost::asio::awaitable<exchange_result> exchange(
        endpoint peer, http_request request, std::chrono::milliseconds timeout,
        send_permission may_send, peer_check check);

    /// Closes the idle connections to a peer.
    void forget(const endpoint& peer);
    std::uint64_t opened() const;
    /// Connections that are open and carry nothing.
    std::size_t idle() const;
    /// Bytes of responses that are being read.
    std::uint64_t buffered_bytes() const;

private:
    struct idle_connection
    {
        http_connection connection;
        std::chrono::steady_clock::time_point since;
    };

    using time_point = std::chrono::steady_clock::time_point;
    void close_old(time_point now);
    /// An idle connection to the peer, or a new one.
    http_connection take(const endpoint& peer);
    void give_back(
        const endpoint& peer, http_connection connection,
        const exchange_result& last);

    boost::asio::any_io_executor executor_;
    limits limits_;
    std::shared_ptr<buffer_budget> budget_;
    time_point closed_old_{};
    std::map<endpoint, std::deque<idle_connection>> idle_;
    std::uint64_t opened_ = 0;
};

} // namespace dandeliontack
