#include <dandeliontack/http_head.hpp>
#include <dandeliontack/http_header_scan.hpp>
#include <dandeliontack/http_server.hpp>
#include <dandeliontack/log.hpp>
#include <dandeliontack/pause.hpp>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <list>
#include <optional>
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
constexpr auto accept_retry = std::chrono::milliseconds(50);
constexpr auto drain_poll_interval = std::chrono::milliseconds(5);
constexpr std::size_t read_bytes = 4096;
// What is read and dropped after a refusal, so that the sender sees it.
constexpr std::size_t discarded_bytes = 256 * 1024;
constexpr std::string_view continue_line = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr auto discard_limit = std::chrono::seconds(1);

using request_parser = http::request_parser<http::string_body>;

// A connection and whether a request on it is in progress.
struct session
{
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool busy = false;
};

std::string_view view_of(const beast::flat_buffer& buffer)
{
    const auto data = buffer.data();
    return {static_cast<const char*>(data.data()), data.size()};
}

// The end of a header, or the error for it.
beast::error_code error_of(header_scan found)
{
    switch (found)
    {
    case header_scan::bare_line_feed:
        return http::error::bad_line_ending;
    case header_scan::folded_line:
        return http::error::bad_value;
    case header_scan::empty_first_line:
        return http::error::bad_method;
    default:
        return {};
    }
}

// Only `chunked` says where the body ends; any other coding is refused rather
// than read as no body at all.
bool has_known_framing(const http_request& request)
{
    const auto found = request.find(http::field::transfer_encoding);
    return found == request.end() ||
           (request.version() == 11 &&
            beast::iequals(found->value(), "chunked") &&
            request.count(http::field::transfer_encoding) == 1);
}

http_response refusal_for(beast::error_code ec)
{
    if (ec == http::error::header_limit)
        return make_problem(
            http::status::request_header_fields_too_large, outcome::not_run,
            "header too large", "the request's header exceeds the limit");
    if (ec == http::error::body_limit)
        return make_problem(
            http::status::payload_too_large, outcome::not_run, "body too large",
            "the request's body exceeds the limit");
    return make_problem(
        http::status::bad_request, outcome::not_run, "malformed request",
        ec.message());
}

bool is_protocol_error(beast::error_code ec)
{
    return ec.category() ==
               make_error_code(http::error::bad_method).category() &&
           ec != http::error::end_of_stream &&
           ec != http::error::partial_message;
}

} // namespace

struct http_server::core : std::enable_shared_from_this<core>
{
    core(
        asio::any_io_executor run_on, http_limits bounds,
        metric_registry& registry, handler handler_function)
        : executor(std::move(run_on)),
          limits(bounds),
          metrics(registry),
          handle(std::move(handler_function)),
          acceptor(executor)
    {}

    asio::awaitable<void> accept_loop();
    asio::awaitable<void> serve(std::shared_ptr<session> s);
    asio::awaitable<bool> serve_one(session& s);
    asio::awaitable<beast::error_code> read_header(session& s);
    asio::awaitable<beast::error_code>
    read_message(session& s, request_parser& parser);
    asio::awaitable<bool> first_bytes(session& s);
    asio::awaitable<void> finish(session& s);
    void start(tcp::socket socket);
    void accept_waiting();
    asio::awaitable<std::optional<http_response>> answer(http_request request);
    asio::awaitable<bool>
    write_response(session& s, http_response response, bool keep_alive);
    asio::awaitable<bool> reject(session& s, beast::error_code ec);

    asio::any_io_executor executor;
    http_limits limits;
    metric_registry& metrics;
    handler handle;
    tcp::acceptor acceptor;
    std::list<std::shared_ptr<session>> sessions;
    part_log out{"http.server"};
    bool draining = false;
    bool closing = false;
};

void http_server::core::start(tcp::socket socket)
{
    if (sessions.size() >= limits.connections)
    {
        metrics.get_counter("tack_http_connections_refused_total").add();
        return;
    }
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto s = std::make_shared<session>(
        session{beast::tcp_stream(std::move(socket)), {}, false});
    asio::co_spawn(executor, serve(std::move(s)), asio::detached);
}

// Takes what the system has already accepted for the listening socket:
// closing it would reset these connections.
void http_server::core::accept_waiting()
{
    beast::error_code ec;
    acceptor.non_blocking(true, ec);
    while (!ec)
    {
        tcp::socket socket(executor);
        acceptor.accept(socket, ec);
        if (!ec)
            start(std::move(socket));
    }
}

asio::awaitable<void> http_server::core::accept_loop()
{
    const auto self = shared_from_this();
    while (acceptor.is_open())
    {
        auto [ec, socket] = co_await acceptor.async_accept(no_throw);
        if (ec == asio::error::operation_aborted)
            break;
        if (ec)
        {
            // Out of descriptors or the like: wait rather than spin.
            co_await pause_for(executor, accept_retry);
            continue;
        }
        start(std::move(socket));
    }
}

asio::awaitable<void> http_server::core::serve(std::shared_ptr<session> s)
{
    const auto self = shared_from_this();
    const auto place = sessions.insert(sessions.end(), s);
    bool open = true;
    while (open)
        open = co_await serve_one(*s);
    co_await finish(*s);
    s->stream.close();
    sessions.erase(place);
}

// Ends the sending side and drops what still arrives, within bounds: closing
// with unread bytes would reset the connection and could lose the response.
asio::awaitable<void> http_server::core::finish(session& s)
{
    beast::error_code ec;
    s.stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    s.stream.expires_after(discard_limit);
    std::size_t left = discarded_bytes;
    s.buffer.clear();
    while (!ec && left > 0)
    {
        auto [read_ec, bytes] = co_await s.stream.async_read_some(
            s.buffer.prepare(read_bytes), no_throw);
        ec = read_ec;
        left -= std::min(left, bytes);
    }
}

// Waits for the next request's first bytes. A connection that a drain cancels
// is still read where bytes have arrived.
asio::awaitable<bool> http_server::core::first_bytes(session& s)
{
    if (s.buffer.size() != 0)
        co_return true;
    s.stream.expires_after(limits.idle);
    auto [ec, bytes] = co_await s.stream.async_read_some(
        s.buffer.prepare(
            std::min<std::size_t>(read_bytes, limits.header_bytes)),
        no_throw);
    s.buffer.commit(bytes);
    if (!ec)
        co_return true;
    beast::error_code ignored;
    co_return ec ==
        asio::error::operation_aborted&& draining&& s.stream.socket().available(
            ignored) > 0;
}

// Reads until the header is complete, and checks the shapes that the parser
// would accept though others read them differently.
asio::awaitable<beast::error_code> http_server::core::read_header(session& s)
{
    auto found = scan_header(view_of(s.buffer));
    while (found == header_scan::incomplete)
    {
        if (s.buffer.size() >= limits.header_bytes)
            co_return http::error::header_limit;
        const auto room = std::min<std::size_t>(
            read_bytes, limits.header_bytes - s.buffer.size());
        auto [ec, bytes] =
            co_await s.stream.async_read_some(s.buffer.prepare(room), no_throw);
        if (ec)
            co_return ec;
        s.buffer.commit(bytes);
        found = scan_header(view_of(s.buffer));
    }
    co_return error_of(found);
}

// Serves one request and says whether the connection can carry another.
asio::awaitable<bool> http_server::core::serve_one(session& s)
{
    const bool arrived = co_await first_bytes(s);
    if (!arrived)
        co_return false;
    s.busy = true;
    request_parser parser;
    parser.header_limit(limits.header_bytes);
    parser.body_limit(limits.body_bytes);
    s.stream.expires_after(limits.transfer);
    if (const auto ec = co_await read_message(s, parser))
        co_return co_await reject(s, ec);
    auto request = parser.release();
    const bool keep_alive = request.keep_alive();
    s.stream.expires_never();
    auto response = co_await answer(std::move(request));
    if (!response)
        co_return false;
    const bool written = co_await write_response(
        s, std::move(*response), keep_alive && !closing);
    s.busy = false;
    co_return written&& keep_alive && !closing;
}

// Nothing where the handler threw: the connection is closed without an answer.
asio::awaitable<std::optional<http_response>>
http_server::core::answer(http_request request)
{
    try
    {
        co_return co_await handle(std::move(request));
    }
    catch (const std::exception& error)
    {
        metrics.get_counter("tack_http_handler_failed_total").add();
        out.warn("A handler failed: ", error.what(), ".");
    }
    co_return std::nullopt;
}

asio::awaitable<bool> http_server::core::write_response(
    session& s, http_response response, bool keep_alive)
{
    response.keep_alive(keep_alive);
    s.stream.expires_after(limits.transfer);
    const auto head = head_of(response);
    const std::array<asio::const_buffer, 2> parts{
        asio::buffer(head), asio::buffer(response.body())};
    auto [ec, bytes] = co_await asio::async_write(s.stream, parts, no_throw);
    co_return !ec;
}

asio::awaitable<bool>
http_server::core::reject(session& s, beast::error_code ec)
{
    if (!is_protocol_error(ec))
        co_return false;
    metrics.get_counter("tack_http_rejected_total").add();
    auto response = refusal_for(ec);
    co_await write_response(s, std::move(response), false);
    co_return false;
}

asio::awaitable<beast::error_code>
http_server::core::read_message(session& s, request_parser& parser)
{
    if (const auto ec = co_await read_header(s))
        co_return ec;
    auto [header_ec, header_bytes] =
        co_await http::async_read_header(s.stream, s.buffer, parser, no_throw);
    if (header_ec)
        co_return header_ec;
    if (!has_known_framing(parser.get()))
        co_return http::error::bad_transfer_encoding;
    if (parser.is_done())
        co_return beast::error_code();
    if (beast::iequals(parser.get()[http::field::expect], "100-continue"))
    {
        auto [continue_ec, written] = co_await asio::async_write(
            s.stream, asio::buffer(continue_line), no_throw);
        if (continue_ec)
            co_return continue_ec;
    }
    auto [ec, bytes] =
        co_await http::async_read(s.stream, s.buffer, parser, no_throw);
    co_return ec;
}

http_server::http_server(
    asio::any_io_executor executor, http_limits limits,
    metric_registry& metrics, handler handle)
    : core_(std::make_shared<core>(
          std::move(executor), limits, metrics, std::move(handle)))
{}

http_server::~http_server()
{
    beast::error_code ignored;
    core_->acceptor.close(ignored);
}

endpoint http_server::listen(const endpoint& where)
{
    const tcp::endpoint local(
        asio::ip::make_address(where.address), where.port);
    core_->acceptor.open(local.protocol());
    core_->acceptor.set_option(asio::socket_base::reuse_address(true));
    core_->acceptor.bind(local);
    core_->acceptor.listen();
    asio::co_spawn(core_->executor, core_->accept_loop(), asio::detached);
    return {where.address, core_->acceptor.local_endpoint().port()};
}

void http_server::close_after_responses()
{
    core_->closing = true;
}

asio::awaitable<void> http_server::drain(std::chrono::milliseconds patience)
{
    const auto held = core_;
    const auto until = std::chrono::steady_clock::now() + patience;
    held->draining = true;
    held->closing = true;
    held->accept_waiting();
    beast::error_code ignored;
    held->acceptor.close(ignored);
    while (!held->sessions.empty() && std::chrono::steady_clock::now() < until)
    {
        for (const auto& s : held->sessions)
            if (!s->busy)
                s->stream.cancel();
        co_await pause_for(held->executor, drain_poll_interval);
    }
}

std::size_t http_server::connections() const
{
    return core_->sessions.size();
}

} // namespace dandeliontack
