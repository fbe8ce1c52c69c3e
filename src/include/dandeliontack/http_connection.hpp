#pragma once

#include <dandeliontack/buffer_budget.hpp>
#include <dandeliontack/endpoint.hpp>
#include <dandeliontack/http.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace dandeliontack
{

/// Why an exchange brought no whole response.
struct exchange_error
{
    /// Whether the request may have been received and carried out.
    outcome result = outcome::unknown;
    std::string reason;
    /// Bytes of the response's body that had arrived.
    std::uint64_t received = 0;
};

using exchange_result = std::variant<http_response, exchange_error>;

/// Asked once a connection stands, right before a request is written: the
/// process may have been paused since the request was made. An empty one
/// always permits.
using send_permission = std::function<bool()>;

/// Limits of the time that the body of a response takes once its head has
/// arrived. A large body over a slow link takes long although nothing is wrong;
/// giving up while bytes arrive would only send them again.
struct body_time
{
    /// The longest pause between two parts of the body.
    std::chrono::milliseconds stall{0};
    /// The longest time for the whole body.
    std::chrono::milliseconds longest{0};
};

/// The limits for a large response from a service that must begin to answer
/// within `timeout`.
body_time body_time_of(std::chrono::milliseconds timeout);

/// A client connection that carries one request at a time. It connects when
/// needed and reuses the connection only after a whole response to its last
/// request. After a timeout, a cut or surplus bytes the connection is reset, so
/// that what was not sent of a request is not delivered later.
/// Where the other side ends the connection while the request is being written,
/// a refusal (4xx or 5xx) that it sent before is the response.
class http_connection
{
public:
    /// `body_limit` bounds the body of a response, in bytes. The budget, if
    /// there is one, bounds those of all connections that share it.
    http_connection(
        boost::asio::any_io_executor executor, endpoint peer,
        std::uint64_t body_limit = 16 * 1024 * 1024,
        std::shared_ptr<buffer_budget> budget = nullptr);
    ~http_connection();
    http_connection(http_connection&&) noexcept;
    http_connection& operator=(http_connection&&) noexcept;

    /// Sends a request and reads the whole response. One call at a time.
    /// Without permission nothing is written, and the result is `not_run`. With
    /// `body`, `timeout` ends with the response's head.
    boost::asio::awaitable<exchange_result> exchange(
        http_request request, std::chrono::milliseconds timeout,
        send_permission may_send = {}, std::optional<body_time> body = {});

    /// The same for a request that outlives the call.
    boost::asio::awaitable<exchange_result> exchange_in_place(
        const http_request& request, std::chrono::milliseconds timeout,
        send_permission may_send = {}, std::optional<body_time> body = {});

    /// The name that the caller has given to the process at the other end;
    /// empty for a connection that has been opened since then.
    const std::string& peer_name() const;
    void set_peer_name(std::string name);

    /// Whether the connection is open and may carry another request.
    bool reusable() const;
    void close();

private:
    struct core;
    std::unique_ptr<core> core_;
};

} // namespace dandeliontack
