#include <dandeliontack/http_connection.hpp>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

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

exchange_error
failed(outcome result, std::string_view step, beast::error_code ec)
{
    return {result, std::string(step) + ": " + ec.message()};
}

} // namespace

struct http_connection::core
{
    core(asio::any_io_executor executor, endpoint address, std::uint64_t limit)
        : stream(std::move(executor)),
          peer(std::move(address)),
          body_limit(limit)
    {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    endpoint peer;
    std::uint64_t body_limit;
    bool open = false;
};

http_connection::http_connection(
    asio::any_io_executor executor, endpoint peer, std::uint64_t body_limit)
    : core_(std::make_unique<core>(
          std::move(executor), std::move(peer), body_limit))
{}

http_connection::~http_connection() = default;
http_connection::http_connection(http_connection&&) noexcept = default;
http_connection&
http_connection::operator=(http_connection&&) noexcept = default;

bool http_connection::reusable() const
{
    return core_->open;
}

void http_connection::close()
{
    core_->open = false;
    core_->buffer.clear();
    core_->stream.close();
}

asio::awaitable<exchange_result> http_connection::exchange(
    http_request request, std::chrono::milliseconds timeout)
{
    core_->stream.expires_after(timeout);
    if (!core_->open)
    {
        const tcp::endpoint remote(
            asio::ip::make_address(core_->peer.address), core_->peer.port);
        auto [ec] = co_await core_->stream.async_connect(remote, no_throw);
        if (ec)
        {
            close();
            co_return failed(outcome::not_run, "connect", ec);
        }
        core_->stream.socket().set_option(tcp::no_delay(true), ec);
        core_->open = true;
    }
    auto [write_ec, written] =
        co_await http::async_write(core_->stream, request, no_throw);
    if (write_ec)
    {
        close();
        co_return failed(
            written == 0 ? outcome::not_run : outcome::unknown, "write",
            write_ec);
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(core_->body_limit);
    if (request.method() == http::verb::head)
        parser.skip(true);
    auto [read_ec, bytes] = co_await http::async_read(
        core_->stream, core_->buffer, parser, no_throw);
    if (read_ec)
    {
        close();
        co_return failed(outcome::unknown, "read", read_ec);
    }
    core_->stream.expires_never();
    if (!parser.get().keep_alive() || core_->buffer.size() != 0)
        close();
    co_return parser.release();
}

} // namespace dandeliontack
