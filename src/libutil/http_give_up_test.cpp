#include <dandeliontack/http_connection.hpp>

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

#include <variant>

namespace dandeliontack
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

// More than the buffers of both ends take.
constexpr std::size_t body_bytes = 64 * 1024 * 1024;
constexpr auto timeout = std::chrono::milliseconds(100);

} // namespace

// Guards against a call that is given up and delivered later, when the link
// heals or the peer reads again: what was not sent yet was sent on.
TEST(http_connection, call_that_is_given_up_is_reset)
{
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    tcp::socket peer(context);
    acceptor.async_accept(peer, [](boost::system::error_code) {});
    http_connection connection(
        context.get_executor(),
        {"127.0.0.1", acceptor.local_endpoint().port()});
    http_request request(http::verb::post, "/submit", 11);
    request.body().resize(body_bytes);
    request.prepare_payload();
    exchange_result result;
    asio::co_spawn(
        context, connection.exchange(std::move(request), timeout),
        [&](const std::exception_ptr&, exchange_result got) {
            result = std::move(got);
        });
    context.run();
    EXPECT_TRUE(std::holds_alternative<exchange_error>(result));
    boost::system::error_code ec;
    std::string received;
    asio::read(peer, asio::dynamic_buffer(received), ec);
    EXPECT_EQ(ec, asio::error::connection_reset);
    EXPECT_LT(received.size(), body_bytes);
}

} // namespace dandeliontack
