// A node keeps within its memory and its descriptors whatever its hosts
// answer, and goes on to serve.

#include "harness/flooded_node.hpp"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <list>
#include <thread>

namespace dandeliontack::harness
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr unsigned hosts = 20;
constexpr std::size_t bytes_per_mb = 1024 * 1024;
// What is sent on one connection at most.
constexpr std::size_t answer_bytes = 32 * bytes_per_mb;

// `opening`, then `repeated` until the node ends the connection.
struct answer
{
    std::string name;
    std::string opening;
    std::string repeated;

    friend std::ostream& operator<<(std::ostream& out, const answer& what)
    {
        return out << what.name;
    }
};

std::vector<answer> answers()
{
    constexpr std::size_t repetitions = 16 * 1024;
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const auto chunked = head + "transfer-encoding: chunked\r\n\r\n";
    const std::string zeros(repetitions, '0');
    std::string fields;
    for (std::size_t i = 0; i < repetitions; ++i)
        fields += "a: b\r\n";
    return {
        {"trailers_without_end", chunked + "0\r\n", fields},
        {"a_chunk_extension_without_end", chunked + "1;name=", zeros},
        {"a_chunk_size_without_end", chunked, zeros},
        {"a_head_without_end", head, fields},
        {"the_largest_body", head + "content-length: 16777216\r\n\r\n", zeros},
        {"a_body_without_end", head + "\r\n", zeros},
        {"interim_responses_without_end", "", "HTTP/1.1 100 Continue\r\n\r\n"}};
}

// Answers whatever it is asked with the same bytes, on all connections at once.
class flooding_host
{
public:
    explicit flooding_host(answer what)
        : answer_(std::move(what)), acceptor_(context_, {loopback(), 0})
    {
        accept();
        thread_ = std::thread([this] { context_.run(); });
    }

    ~flooding_host()
    {
        context_.stop();
        thread_.join();
    }

    std::uint16_t port() const
    {
        return acceptor_.local_endpoint().port();
    }

private:
    struct connection
    {
        tcp::socket socket;
        std::size_t sent = 0;
        char received = 0;
    };

    static asio::ip::address loopback()
    {
        return asio::ip::make_address("127.0.0.1");
    }

    void accept()
    {
        acceptor_.async_accept([this](auto ec, tcp::socket socket) {
            if (ec)
                return;
            auto c = std::make_shared<connection>(
                connection{std::move(socket), 0, 0});
            c->socket.async_read_some(
                asio::buffer(&c->received, 1), [this, c](auto failed, auto) {
                    if (!failed)
                        send(c, answer_.opening);
                });
            accept();
        });
    }

    void send(const std::shared_ptr<connection>& c, const std::string& bytes)
    {
        asio::async_write(
            c->socket, asio::buffer(bytes), [this, c](auto ec, auto count) {
                c->sent += count;
                if (!ec && c->sent < answer_bytes)
                    send(c, answer_.repeated);
            });
    }

    answer answer_;
    asio::io_context context_;
    tcp::acceptor acceptor_;
    std::thread thread_;
};

struct host_flood : testing::TestWithParam<answer>
{
    // Lists hosts at the port, as another writer of the store does.
    void list_hosts(std::uint16_t port)
    {
        for (unsigned i = 0; i < hosts; ++i)
            post(
                node.platform(), "/entry",
                "flooding-" + std::to_string(i) +
                    "\n"
                    R"({"service":"pool","state":"ready","zone":"dc-1",)"
                    R"("labels":["a","r1"],"born":5,)"
                    R"("capacity":{"cpu":8000},"address":"127.0.0.1:)" +
                    std::to_string(port) + "\"}");
    }

    flooded_node node;
};

} // namespace

TEST_P(host_flood, leaves_the_node_within_its_bounds)
{
    const flooding_host host(GetParam());
    list_hosts(host.port());
    node.settle();
    const auto used = node.used();
    EXPECT_LE(used.peak_bytes, node.most_bytes()) << to_string(used);
    EXPECT_LE(node.most_descriptors(), flooded_node::descriptors);
    EXPECT_TRUE(node.serves());
    std::cout << to_string(used) << ", " << node.most_descriptors()
              << " at most\n";
}

INSTANTIATE_TEST_SUITE_P(
    of, host_flood, testing::ValuesIn(answers()),
    [](const auto& answer) { return answer.param.name; });

} // namespace dandeliontack::harness
