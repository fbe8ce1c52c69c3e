#include <dandeliontack/http_server.hpp>
#include <dandeliontack/log.hpp>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

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
constexpr auto drain_poll_interval = std::chrono::milliseconds(5);

// A connection and whether a request on it is in progress.
struct session
{
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool busy = false;
};

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
};

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
            asio::steady_timer pause(executor, std::chrono::milliseconds(50));
            co_await pause.async_wait(no_throw);
            continue;
        }
        if (sessions.size() >= limits.connections)
        {
            metrics.get_counter("tack_http_connections_refused_total").add();
            continue;
        }
        beast::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        auto s = std::make_shared<session>(
            session{beast::tcp_stream(std::move(socket)), {}, false});
        asio::co_spawn(executor, serve(std::move(s)), asio::detached);
    }
}

asio::awaitable<void> http_server::core::serve(std::shared_ptr<session> s)
{
    const auto self = shared_from_this();
    const auto place = sessions.insert(sessions.end(), s);
    while (co_await serve_one(*s))
    {
    }
    beast::error_code ignored;
    s->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    s->stream.close();
    sessions.erase(place);
}

// Serves one request and says whether the connection can carry another.
asio::awaitable<bool> http_server::core::serve_one(session& s)
{
    if (s.buffer.size() == 0)
    {
        s.stream.expires_after(limits.idle);
        auto [wait_ec] = co_await s.stream.socket().async_wait(
            tcp::socket::wait_read, no_throw);
        if (wait_ec || !s.stream.socket().is_open())
            co_return false;
    }
    s.busy = true;
    http::request_parser<http::string_body> parser;
    parser.header_limit(limits.header_bytes);
    parser.body_limit(limits.body_bytes);
    s.stream.expires_after(limits.transfer);
    auto [ec, bytes] =
        co_await http::async_read(s.stream, s.buffer, parser, no_throw);
    if (ec)
        co_return co_await reject(s, ec);
    auto request = parser.release();
    const bool keep_alive = request.keep_alive();
    s.stream.expires_never();
    auto response = co_await answer(std::move(request));
    if (!response)
        co_return false;
    const bool written = co_await write_response(
        s, std::move(*response), keep_alive && !draining);
    s.busy = false;
    co_return written&& keep_alive && !draining;
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
    auto [ec, bytes] = co_await http::async_write(s.stream, response, no_throw);
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

asio::awaitable<void> http_server::drain(std::chrono::milliseconds patience)
{
    const auto held = core_;
    const auto until = std::chrono::steady_clock::now() + patience;
    held->draining = true;
    beast::error_code ignored;
    held->acceptor.close(ignored);
    while (!held->sessions.empty() && std::chrono::steady_clock::now() < until)
    {
        for (const auto& s : held->sessions)
            if (!s->busy)
                s->stream.cancel();
        asio::steady_timer pause(held->executor, drain_poll_interval);
        co_await pause.async_wait(no_throw);
    }
}

std::size_t http_server::connections() const
{
    return core_->sessions.size();
}

} // namespace dandeliontack
