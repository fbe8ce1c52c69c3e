// A response that arrives before its request has been sent whole.

#include <dandeliontack/http_connection.hpp>

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <thread>

namespace dandeliontack
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using namespace std::chrono_literals;

// More than both sides' buffers take while the server does not read.
constexpr std::size_t request_bytes = 32 * 1024 * 1024;
constexpr int receive_buffer_bytes = 64 * 1024;

// Answers each request once its head has arrived and closes the connection
// with the body unread.
class hasty_server
{
public:
    explicit hasty_server(std::string response)
        : acceptor_(context_, tcp::v4()), response_(std::move(response))
    {
        acceptor_.set_option(
            asio::socket_base::receive_buffer_size(receive_buffer_bytes));
        acceptor_.bind({asio::ip::make_address("127.0.0.1"), 0});
        acceptor_.listen();
        thread_ = std::thread([this] { serve(); });
    }

    ~hasty_server()
    {
        thread_.join();
    }

    exchange_result ask()
    {
        asio::io_context context(1);
        http_connection connection(
            context.get_executor(),
            {"127.0.0.1", acceptor_.local_endpoint().port()});
        http_request request(http::verb::post, "/", 11);
        request.body().resize(request_bytes, 'x');
        request.prepare_payload();
        exchange_result result;
        asio::co_spawn(
            context, connection.exchange(std::move(request), 1min),
            [&](std::exception_ptr, exchange_result got) {
                result = std::move(got);
            });
        context.run();
        reusable_ = connection.reusable();
        return result;
    }

    bool reusable() const
    {
        return reusable_;
    }

private:
    void serve()
    {
        boost::system::error_code ec;
        auto socket = acceptor_.accept();
        std::string head;
        asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", ec);
        asio::write(socket, asio::buffer(response_), ec);
        socket.shutdown(tcp::socket::shutdown_send, ec);
    }

    asio::io_context context_;
    tcp::acceptor acceptor_;
    std::string response_;
    std::thread thread_;
    bool reusable_ = false;
};

} // namespace

// Guards against sending a request for ever that its receiver refuses before
// it has been sent whole: without the refusal it looks like a lost connection.
TEST(http_early_refusal, is_the_response_to_a_request_sent_in_part)
{
    hasty_server server(
        "HTTP/1.1 413 Payload Too Large\r\nconnection: close\r\n"
        "content-length: 4\r\n\r\nsize");
    const auto result = server.ask();
    const auto* response = std::get_if<http_response>(&result);
    ASSERT_TRUE(response) << std::get<exchange_error>(result).reason;
    EXPECT_EQ(response->result(), http::status::payload_too_large);
    EXPECT_EQ(response->body(), "size");
    EXPECT_FALSE(server.reusable());
}

// Guards against taking a request as carried out of which a part was sent.
TEST(http_early_refusal, success_before_the_end_of_the_request_is_unknown)
{
    hasty_server server("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
    const auto result = server.ask();
    const auto* error = std::get_if<exchange_error>(&result);
    ASSERT_TRUE(error);
    EXPECT_EQ(error->result, outcome::unknown);
    EXPECT_FALSE(server.reusable());
}

} // namespace dandeliontack
