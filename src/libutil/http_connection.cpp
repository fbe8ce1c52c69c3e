#include <dandeliontack/http_body_parse.hpp>
#include <dandeliontack/http_connection.hpp>
#include <dandeliontack/http_head.hpp>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);
constexpr unsigned first_final_status = 200;
constexpr unsigned first_error_status = 400;
constexpr std::uint32_t header_bytes = 8 * 1024;
// Holds the head of a response, or the trailers of the same size behind the
// line of the last chunk.
constexpr std::size_t buffer_bytes = 12 * 1024;
// Of the buffer, what a connection may keep between its requests.
constexpr std::size_t kept_bytes = 4 * 1024;

using response_parser = http::response_parser<http::string_body>;

exchange_error failed(
    outcome result, std::string_view step, beast::error_code ec,
    std::uint64_t received = 0)
{
    return {result, std::string(step) + ": " + ec.message(), received};
}

} // namespace

struct http_connection::core
{
    core(
        asio::any_io_executor executor, endpoint address, std::uint64_t limit,
        std::shared_ptr<buffer_budget> budget)
        : stream(std::move(executor)),
          buffer(buffer_bytes),
          share(
              budget ? std::move(budget)
                     : std::make_shared<buffer_budget>(no_limit),
              [this] { stream.cancel(); }),
          peer(std::move(address)),
          body_limit(limit)
    {}

    static constexpr auto no_limit = std::numeric_limits<std::uint64_t>::max();

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    buffer_share share;
    endpoint peer;
    std::uint64_t body_limit;
    std::string peer_name;
    bool open = false;

    bool quiet();
    asio::awaitable<beast::error_code> connect();
    asio::awaitable<exchange_result>
    read_response(bool head, const std::optional<body_time>& limits);
    asio::awaitable<exchange_result> read_refusal(exchange_error failure);
    asio::awaitable<beast::error_code>
    read_body(response_parser& parser, const std::optional<body_time>& limits);
};

// Whether nothing has arrived on an idle connection. Bytes that nobody asked
// for, or its end, make it unfit for another request.
bool http_connection::core::quiet()
{
    beast::error_code ec;
    char first = 0;
    stream.socket().receive(
        asio::buffer(&first, 1), asio::socket_base::message_peek, ec);
    return ec == asio::error::would_block;
}

asio::awaitable<beast::error_code> http_connection::core::connect()
{
    const tcp::endpoint remote(asio::ip::make_address(peer.address), peer.port);
    auto [ec] = co_await stream.async_connect(remote, no_throw);
    if (!ec)
    {
        beast::error_code ignored;
        stream.socket().set_option(tcp::no_delay(true), ignored);
        // A call that is given up must not reach the other side later: closing
        // drops what has not been sent, also where the process ends.
        stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
        // For `quiet`, which must not wait.
        stream.socket().non_blocking(true, ignored);
        open = true;
    }
    co_return ec;
}

// Reads one whole response. One whose end is only the connection's end can't
// be told from a truncated one, and an interim response was not asked for.
asio::awaitable<exchange_result> http_connection::core::read_response(
    bool head, const std::optional<body_time>& limits)
{
    response_parser parser;
    parser.header_limit(header_bytes);
    parser.body_limit(body_limit);
    parser.skip(head);
    auto [header_ec, read_bytes] =
        co_await http::async_read_header(stream, buffer, parser, no_throw);
    if (header_ec)
        co_return failed(outcome::unknown, "read", header_ec);
    if (parser.get().result_int() < first_final_status)
        co_return exchange_error{
            outcome::unknown, "read: unexpected interim response"};
    if (!parser.is_done() && parser.need_eof())
        co_return exchange_error{
            outcome::unknown, "read: response without a length"};
    if (!parser.is_done())
    {
        const auto ec = co_await read_body(parser, limits);
        if (share.has_given_up())
            co_return exchange_error{
                outcome::unknown, "read: no room for the response"};
        if (ec)
            co_return failed(
                outcome::unknown, "read", ec, parser.get().body().size());
    }
    co_return parser.release();
}

// What ended the write: a refusal that the other side sent before it closed the
// connection, or else `failure`. A success says nothing about the rest of the
// request.
asio::awaitable<exchange_result>
http_connection::core::read_refusal(exchange_error failure)
{
    share.begin(std::chrono::steady_clock::now());
    auto result = co_await read_response(false, {});
    share.release();
    const auto* response = std::get_if<http_response>(&result);
    if (!response || response->result_int() < first_error_status)
        co_return failure;
    co_return result;
}

asio::awaitable<beast::error_code> http_connection::core::read_body(
    response_parser& parser, const std::optional<body_time>& limits)
{
    using clock = std::chrono::steady_clock;
    const auto began = clock::now();
    parser.eager(true);
    while (true)
    {
        auto failure = parse_buffered(buffer, parser);
        if (failure || parser.is_done())
            co_return failure;
        const auto now = clock::now();
        share.hold(parser.get().body().size(), now);
        if (share.has_given_up())
            co_return asio::error::operation_aborted;
        const auto room =
            std::min(kept_bytes, buffer.max_size() - buffer.size());
        if (room == 0)
            co_return http::error::buffer_overflow;
        if (limits)
            stream.expires_at(
                std::min(now + limits->stall, began + limits->longest));
        auto [ec, bytes] =
            co_await stream.async_read_some(buffer.prepare(room), no_throw);
        if (ec)
            co_return ec;
        buffer.commit(bytes);
    }
}

body_time body_time_of(std::chrono::milliseconds timeout)
{
    constexpr int longest = 10;
    return {.stall = timeout, .longest = timeout * longest};
}

http_connection::http_connection(
    asio::any_io_executor executor, endpoint peer, std::uint64_t body_limit,
    std::shared_ptr<buffer_budget> budget)
    : core_(std::make_unique<core>(
          std::move(executor), std::move(peer), body_limit, std::move(budget)))
{}

http_connection::~http_connection() = default;
http_connection::http_connection(http_connection&&) noexcept = default;
http_connection&
http_connection::operator=(http_connection&&) noexcept = default;

const std::string& http_connection::peer_name() const
{
    return core_->peer_name;
}

void http_connection::set_peer_name(std::string name)
{
    core_->peer_name = std::move(name);
}

bool http_connection::reusable() const
{
    return core_->open;
}

void http_connection::close()
{
    core_->open = false;
    core_->peer_name.clear();
    core_->buffer.clear();
    core_->stream.close();
}

asio::awaitable<exchange_result> http_connection::exchange(
    http_request request, std::chrono::milliseconds timeout,
    send_permission may_send, std::optional<body_time> body)
{
    auto result =
        co_await exchange_in_place(request, timeout, std::move(may_send), body);
    co_return result;
}

asio::awaitable<exchange_result> http_connection::exchange_in_place(
    const http_request& request, std::chrono::milliseconds timeout,
    send_permission may_send, std::optional<body_time> body)
{
    auto& c = *core_;
    if (c.open && !c.quiet())
        close();
    c.stream.expires_after(timeout);
    if (!c.open)
    {
        const auto ec = co_await c.connect();
        if (ec)
        {
            close();
            co_return failed(outcome::not_run, "connect", ec);
        }
    }
    if (may_send && !may_send())
    {
        c.stream.expires_never();
        co_return exchange_error{
            outcome::not_run, "write: the permission to send has ended"};
    }
    const auto head = head_of(request);
    const std::array<asio::const_buffer, 2> parts{
        asio::buffer(head), asio::buffer(request.body())};
    auto [write_ec, written] =
        co_await asio::async_write(c.stream, parts, no_throw);
    if (write_ec)
    {
        exchange_result result = failed(
            written == 0 ? outcome::not_run : outcome::unknown, "write",
            write_ec);
        if (written > 0 && write_ec != beast::error::timeout)
            result = co_await c.read_refusal(
                std::get<exchange_error>(std::move(result)));
        close();
        co_return result;
    }
    c.share.begin(std::chrono::steady_clock::now());
    auto result =
        co_await c.read_response(request.method() == http::verb::head, body);
    c.share.release();
    if (c.buffer.capacity() > kept_bytes)
        c.buffer.shrink_to_fit();
    c.stream.expires_never();
    const auto* response = std::get_if<http_response>(&result);
    if (!response || !response->keep_alive() || c.buffer.size() != 0)
        close();
    co_return result;
}

} // namespace dandeliontack
