// How long the body of a response may take.

#include <dandeliontack/http_connection.hpp>

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

#include <limits>
#include <thread>

namespace dandeliontack
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using namespace std::chrono_literals;

constexpr std::size_t piece_bytes = 1000;
constexpr unsigned pieces = 12;

// Sends a response of `pieces` pieces, so many of them, with a pause before
// each one, and waits until the other side closes.
class slow_server
{
public:
    slow_server(unsigned sent, std::chrono::milliseconds pause)
        : acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0}),
          thread_([this, sent, pause] { serve(sent, pause); })
    {}

    ~slow_server()
    {
        thread_.join();
    }

    exchange_result
    ask(std::chrono::milliseconds timeout, std::optional<body_time> body) const
    {
        asio::io_context context(1);
        http_connection connection(
            context.get_executor(),
            {"127.0.0.1", acceptor_.local_endpoint().port()});
        exchange_result result;
        asio::co_spawn(
            context,
            connection.exchange(
                http_request(http::verb::get, "/", 11), timeout, {}, body),
            [&](std::exception_ptr, exchange_result got) {
                result = std::move(got);
            });
        context.run();
        return result;
    }

private:
    void serve(unsigned sent, std::chrono::milliseconds pause)
    {
        boost::system::error_code ec;
        auto socket = acceptor_.accept();
        std::string request;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", ec);
        const auto head = "HTTP/1.1 200 OK\r\ncontent-length: " +
                          std::to_string(pieces * piece_bytes) + "\r\n\r\n";
        asio::write(socket, asio::buffer(head), ec);
        const std::string piece(piece_bytes, 'x');
        for (unsigned i = 0; i < sent && !ec; ++i)
        {
            std::this_thread::sleep_for(pause);
            asio::write(socket, asio::buffer(piece), ec);
        }
        asio::read(socket, asio::dynamic_buffer(request), ec);
    }

    asio::io_context context_;
    tcp::acceptor acceptor_;
    std::thread thread_;
};

} // namespace

// Guards against giving up a response whose bytes arrive: the next call begins
// with the first one again.
TEST(http_body_time, body_outlasts_the_call_while_it_arrives)
{
    const slow_server server(pieces, 150ms);
    const auto result = server.ask(1s, body_time{.stall = 1s, .longest = 1min});
    const auto* response = std::get_if<http_response>(&result);
    ASSERT_TRUE(response);
    EXPECT_EQ(response->body().size(), pieces * piece_bytes);
}

TEST(http_body_time, without_limits_of_the_body_the_call_ends_in_time)
{
    const slow_server server(pieces, 150ms);
    const auto result = server.ask(1s, {});
    EXPECT_TRUE(std::holds_alternative<exchange_error>(result));
}

TEST(http_body_time, body_that_stalls_is_given_up)
{
    const slow_server server(pieces / 2, 0ms);
    const auto result =
        server.ask(1min, body_time{.stall = 200ms, .longest = 1min});
    const auto* error = std::get_if<exchange_error>(&result);
    ASSERT_TRUE(error);
    EXPECT_EQ(error->result, outcome::unknown);
    EXPECT_EQ(error->received, pieces / 2 * piece_bytes);
}

TEST(http_body_time, body_that_never_ends_is_given_up)
{
    const slow_server server(pieces, 200ms);
    const auto result =
        server.ask(1min, body_time{.stall = 1min, .longest = 500ms});
    EXPECT_TRUE(std::holds_alternative<exchange_error>(result));
}

} // namespace dandeliontack
