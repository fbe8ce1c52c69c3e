// Slow and silent peers cost a connection no longer than its bounds say.

#include <dandeliontack/http_server.hpp>

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <thread>

namespace
{

using namespace dandeliontack;
namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto short_bound = std::chrono::milliseconds(50);
constexpr auto long_bound = std::chrono::seconds(60);
constexpr std::size_t big_body = 64 * 1024 * 1024;

struct running_server
{
    explicit running_server(http_limits limits)
        : server(
              context.get_executor(), limits, metrics,
              [](http_request) -> asio::awaitable<http_response> {
                  co_return make_response(
                      http::status::ok, "text/plain",
                      std::string(big_body, 'x'));
              }),
          where(server.listen({})),
          thread([this] { context.run(); })
    {}

    ~running_server()
    {
        context.stop();
        thread.join();
    }

    // Connects, sends some bytes and waits until the server has ended the
    // connection; returns how much it sent.
    std::size_t send_and_wait(const std::string& bytes)
    {
        asio::io_context own;
        asio::ip::tcp::socket socket(own);
        socket.connect({asio::ip::make_address(where.address), where.port});
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(bytes), ignored);
        // Doesn't read until the server has given up.
        while (open_connections() != 0)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        std::string answer;
        asio::read(socket, asio::dynamic_buffer(answer), ignored);
        return answer.size();
    }

    std::size_t open_connections()
    {
        return asio::post(
                   context, asio::use_future([this] {
                       ever_open = ever_open || server.connections() != 0;
                       return ever_open ? server.connections() : std::size_t{1};
                   }))
            .get();
    }

    metric_registry metrics;
    asio::io_context context{1};
    bool ever_open = false;
    http_server server;
    endpoint where;
    std::thread thread;
};

// Guards against counting a caller's time from the end of its request, which
// may have been read in part before this process was frozen.
TEST(http_server, request_has_arrived_with_its_first_bytes)
{
    asio::io_context context;
    metric_registry metrics;
    http_limits limits;
    boot_time clock;
    limits.earliest_arrival = [&clock] { return clock += long_bound; };
    std::optional<boot_time> arrived;
    http_server server(
        context.get_executor(), limits, metrics,
        [&arrived](
            http_request, boot_time at) -> asio::awaitable<http_response> {
            arrived = at;
            co_return make_response(http::status::ok, "text/plain", {});
        });
    const auto where = server.listen({});
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address(where.address), where.port});
    for (const std::string part :
         {"POST / HTTP/1.1\r\nhost: x\r\n", "content-length: 2\r\n\r\na", "b"})
    {
        asio::write(socket, asio::buffer(part));
        context.poll();
        context.restart();
    }
    while (!arrived)
        context.run_one();
    EXPECT_EQ(*arrived, boot_time() + long_bound);
    context.stop();
}

TEST(http_server, a_silent_connection_is_closed)
{
    running_server s({.idle = short_bound, .transfer = long_bound});
    EXPECT_EQ(s.send_and_wait(""), 0U);
}

TEST(http_server, a_slow_writer_is_closed)
{
    running_server s({.idle = long_bound, .transfer = short_bound});
    EXPECT_EQ(s.send_and_wait("GET / HTTP/1.1\r\nhost:"), 0U);
    s.ever_open = false;
    EXPECT_EQ(
        s.send_and_wait("PUT / HTTP/1.1\r\ncontent-length: 9\r\n\r\nab"), 0U);
}

TEST(http_server, a_slow_reader_is_closed)
{
    running_server s({.idle = long_bound, .transfer = short_bound});
    EXPECT_LT(s.send_and_wait("GET / HTTP/1.1\r\n\r\n"), big_body);
}

// With a bound of one connection, whether a newcomer is served while another
// connection has sent `first` and reads nothing.
bool serves_beside(const std::string& first)
{
    const std::string request = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    http_limits limits;
    limits.connections = 1;
    limits.idle = limits.transfer = long_bound;
    limits.buffered_bytes = 4 * big_body;
    running_server running(limits);
    asio::io_context own;
    asio::ip::tcp::socket other(own);
    other.connect(
        {asio::ip::make_address(running.where.address), running.where.port});
    asio::write(other, asio::buffer(first));
    while (running.open_connections() == 0)
        std::this_thread::yield();
    // What the server answers at first fills what the system holds for it.
    if (first == request)
        other.wait(asio::ip::tcp::socket::wait_read);
    asio::ip::tcp::socket newcomer(own);
    newcomer.connect(
        {asio::ip::make_address(running.where.address), running.where.port});
    boost::system::error_code ec;
    asio::write(newcomer, asio::buffer(request), ec);
    std::string status(std::string("HTTP/1.1 200").size(), ' ');
    asio::read(newcomer, asio::buffer(status), ec);
    return status == "HTTP/1.1 200";
}

TEST(http_server, at_the_bound_connections_that_hold_others_up_give_way)
{
    EXPECT_TRUE(serves_beside("")) << "idle";
    EXPECT_TRUE(serves_beside("GET / HTT")) << "incomplete";
    EXPECT_TRUE(serves_beside("GET / HTTP/1.1\r\nhost: a\r\n\r\n"))
        << "slow to read";
}

} // namespace
