// Requests and responses at the very limits are read whole, in whatever pieces
// they arrive; those beyond them are refused.

#include <dandeliontack/http_connection.hpp>
#include <dandeliontack/http_server.hpp>

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <thread>

namespace
{

using namespace dandeliontack;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr std::size_t header_bytes = 16'384;
constexpr std::size_t body_bytes = 262'144;
constexpr std::size_t chunk_line_bytes = 4096;
constexpr auto patience = 10s;

const std::string chunked_head =
    "POST / HTTP/1.1\r\nconnection: close\r\ntransfer-encoding: chunked\r\n"
    "\r\n";

// Sends the pieces one after the other, and reads until the end.
std::string send_pieces(
    tcp::socket& socket, const std::string& bytes,
    const std::vector<std::size_t>& pieces)
{
    boost::system::error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    std::string_view rest(bytes);
    for (const auto size : pieces)
    {
        const auto piece = rest.substr(0, size);
        asio::write(socket, asio::buffer(piece), ec);
        rest.remove_prefix(piece.size());
        std::this_thread::yield();
    }
    asio::write(socket, asio::buffer(rest), ec);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), ec);
    return answer;
}

// A header or trailers of so many bytes, with the empty line at the end.
std::string fill_header(std::string start, std::size_t bytes)
{
    constexpr std::string_view name = "a: ";
    constexpr std::string_view end = "\r\n\r\n";
    return start + std::string(name) +
           std::string(bytes - start.size() - name.size() - end.size(), 'x') +
           std::string(end);
}

// A chunk whose first line has so many bytes without its line end.
std::string chunk_with_line(const std::string& body, std::size_t line_bytes)
{
    std::ostringstream size;
    size << std::hex << body.size() << ";x=y";
    auto line = size.str();
    line.resize(std::max(line.size(), line_bytes), 'y');
    return line + "\r\n" + body + "\r\n";
}

struct http_limits_test : testing::Test
{
    http_limits_test()
        : server(
              context.get_executor(), limits(), metrics,
              [](http_request request) -> asio::awaitable<http_response> {
                  co_return make_response(
                      http::status::ok, "text/plain",
                      "body of " + std::to_string(request.body().size()));
              }),
          where(server.listen({"127.0.0.1", 0})),
          thread([this] { context.run(); })
    {}

    ~http_limits_test() override
    {
        context.stop();
        thread.join();
    }

    static http_limits limits()
    {
        http_limits out;
        out.header_bytes = header_bytes;
        out.body_bytes = body_bytes;
        return out;
    }

    std::string
    ask(const std::string& bytes, const std::vector<std::size_t>& pieces = {})
    {
        asio::io_context own;
        tcp::socket socket(own);
        socket.connect({asio::ip::make_address(where.address), where.port});
        return send_pieces(socket, bytes, pieces);
    }

    bool is_refused(const std::string& bytes, const std::string& status)
    {
        const auto answer = ask(bytes);
        return answer.starts_with("HTTP/1.1 " + status) &&
               answer.find("\"outcome\":\"not-run\"") != std::string::npos;
    }

    metric_registry metrics;
    asio::io_context context{1};
    http_server server;
    endpoint where;
    std::thread thread;
};

bool has_body_of(const std::string& answer, std::size_t bytes)
{
    return answer.starts_with("HTTP/1.1 200 ") &&
           answer.ends_with("body of " + std::to_string(bytes));
}

TEST_F(http_limits_test, the_largest_header_is_served_and_no_larger_one)
{
    const std::string start = "GET / HTTP/1.1\r\nconnection: close\r\n";
    EXPECT_TRUE(has_body_of(ask(fill_header(start, header_bytes)), 0));
    EXPECT_TRUE(is_refused(fill_header(start, header_bytes + 1), "431"));
}

TEST_F(http_limits_test, the_largest_body_is_served_and_no_larger_one)
{
    const auto head = [](std::size_t length) {
        return fill_header(
            "POST / HTTP/1.1\r\nconnection: close\r\ncontent-length: " +
                std::to_string(length) + "\r\n",
            header_bytes);
    };
    const std::string body(body_bytes, 'b');
    EXPECT_TRUE(has_body_of(ask(head(body_bytes) + body), body_bytes));
    EXPECT_TRUE(is_refused(head(body_bytes + 1), "413"));
}

TEST_F(http_limits_test, the_largest_chunked_request_is_served)
{
    const auto half =
        chunk_with_line(std::string(body_bytes / 2, 'b'), chunk_line_bytes - 2);
    auto last = chunk_with_line("", chunk_line_bytes - 2);
    last.resize(last.size() - 2);
    EXPECT_TRUE(has_body_of(
        ask(chunked_head + half + half + last + fill_header("", header_bytes)),
        body_bytes));
}

TEST_F(http_limits_test, framing_without_end_is_refused)
{
    const std::string zeros(64 * 1024, '0');
    EXPECT_TRUE(is_refused(chunked_head + zeros, "400"));
    EXPECT_TRUE(is_refused(chunked_head + "1;x=" + zeros, "400"));
    EXPECT_TRUE(is_refused(chunked_head + "0\r\na:" + zeros, "431"));
    EXPECT_TRUE(
        is_refused(chunked_head + "1\r\nx\r\n0\r\na: b\r\na:" + zeros, "431"));
    EXPECT_NE(
        metrics.render().find("{cause=\"trailers-too-large\"} 2\n"),
        std::string::npos);
}

RC_GTEST_FIXTURE_PROP(
    http_limits_test, pieces_change_nothing,
    (const std::vector<std::uint8_t>& sizes))
{
    const std::vector<std::size_t> pieces(sizes.begin(), sizes.end());
    const auto request = chunked_head + chunk_with_line("ab", 20) +
                         chunk_with_line("c", 0) + "0;z\r\na: b\r\n\r\n";
    RC_ASSERT(has_body_of(ask(request, pieces), 3));
}

// Whatever comes is answered or ended, and the server serves on.
RC_GTEST_FIXTURE_PROP(http_limits_test, changed_bytes_end_nothing_else, ())
{
    auto request = fill_header(
                       "POST / HTTP/1.1\r\nconnection: close\r\n"
                       "transfer-encoding: chunked\r\n",
                       200) +
                   chunk_with_line("abcdef", 20) + "0;z\r\na: b\r\n\r\n";
    const auto changes = *rc::gen::container<std::vector<std::size_t>>(
        rc::gen::inRange<std::size_t>(0, request.size()));
    for (const auto at : changes)
        request[at] = *rc::gen::element(
            '\r', '\n', '0', 'f', ';', ':', ' ', '\0', '\xff');
    // A request that lacks bytes now ends with them.
    request += "\r\n\r\n0\r\n\r\n";
    boost::system::error_code ec;
    asio::io_context own;
    tcp::socket socket(own);
    socket.connect({asio::ip::make_address(where.address), where.port});
    asio::write(socket, asio::buffer(request), ec);
    socket.shutdown(tcp::socket::shutdown_send, ec);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), ec);
    RC_ASSERT(
        answer.empty() || answer.starts_with("HTTP/1.1 ") ||
        answer.starts_with("HTTP/1.0 "));
    RC_ASSERT(
        has_body_of(ask("GET / HTTP/1.1\r\nconnection: close\r\n\r\n"), 0));
}

// What a connection makes of an answer that comes in these pieces.
exchange_result
exchange_with(const std::string& bytes, const std::vector<std::size_t>& pieces)
{
    asio::io_context server;
    tcp::acceptor acceptor(server, {asio::ip::make_address("127.0.0.1"), 0});
    std::thread answering([&] {
        auto socket = acceptor.accept();
        std::string request;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
        send_pieces(socket, bytes, pieces);
    });
    asio::io_context context(1);
    exchange_result result;
    {
        http_connection connection(
            context.get_executor(),
            {"127.0.0.1", acceptor.local_endpoint().port()}, body_bytes);
        asio::co_spawn(
            context,
            connection.exchange(
                http_request(http::verb::get, "/", 11), patience),
            [&](std::exception_ptr, exchange_result got) {
                result = std::move(got);
            });
        context.run();
    }
    answering.join();
    return result;
}

TEST(http_connection, framing_without_end_is_an_error)
{
    const std::string head =
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    const std::string zeros(1024 * 1024, '0');
    for (const auto& start :
         {std::string(), std::string("1;x="), std::string("0\r\na: ")})
        EXPECT_TRUE(std::holds_alternative<exchange_error>(
            exchange_with(head + start + zeros, {})));
    EXPECT_TRUE(std::holds_alternative<exchange_error>(
        exchange_with("HTTP/1.1 200 OK\r\na: " + zeros, {})));
}

RC_GTEST_PROP(
    http_connection, pieces_change_nothing,
    (const std::vector<std::uint8_t>& sizes))
{
    const auto response = "HTTP/1.1 200 OK\r\nconnection: close\r\n"
                          "transfer-encoding: chunked\r\n\r\n" +
                          chunk_with_line("ab", 20) + chunk_with_line("c", 0) +
                          "0;z\r\na: b\r\n\r\n";
    const auto result = exchange_with(response, {sizes.begin(), sizes.end()});
    const auto* answer = std::get_if<http_response>(&result);
    RC_ASSERT(static_cast<bool>(answer));
    RC_ASSERT(answer->body() == "abc");
}

} // namespace
