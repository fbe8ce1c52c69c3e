// A node keeps within its memory and its descriptors whatever its callers
// send, and goes on to serve.

#include "harness/flooded_node.hpp"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>

namespace dandeliontack::harness
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::uint64_t bytes_per_mb = 1024 * 1024;
// After this a crowd stops sending, whatever the node does.
constexpr auto crowd_patience = std::chrono::seconds(20);

const std::string post_head =
    "POST /checks/0123456789abcdef HTTP/1.1\r\nhost: reg.example\r\n";
const std::string chunked_head =
    post_head + "transfer-encoding: chunked\r\n\r\n";
const std::string get_head = "GET /checks/ HTTP/1.1\r\nhost: reg.example\r\n";

// What each connection of a crowd sends: `opening`, then `repeated` until
// `bytes` are sent or the node has ended the connection.
struct attack
{
    std::string name;
    std::size_t connections = 1;
    std::string opening;
    std::string repeated;
    std::size_t bytes = 0;
    /// The most bytes of one write; 0 for as many as fit.
    std::size_t step = 0;
    /// Whether the connection is reset once all is sent.
    bool resets = false;
    /// How often the crowd comes again.
    unsigned waves = 1;

    friend std::ostream& operator<<(std::ostream& out, const attack& what)
    {
        return out << what.connections << " connections";
    }
};

std::string repeat(const std::string& text, std::size_t times)
{
    std::string out;
    out.reserve(text.size() * times);
    for (std::size_t i = 0; i < times; ++i)
        out += text;
    return out;
}

constexpr std::size_t many = 400;
constexpr std::size_t largest_body = 256 * 1024;

// Bodies, and what frames them.
std::vector<attack> body_attacks()
{
    constexpr std::size_t endless = 32 * bytes_per_mb;
    const auto long_line = std::string(64 * 1024, '0');
    const auto length = std::to_string(largest_body);
    return {
        {.name = "trailers_without_end",
         .connections = 4,
         .opening = chunked_head + "0\r\n",
         .repeated = repeat("trailer: of a body\r\n", 4000),
         .bytes = endless},
        {.name = "a_chunk_extension_without_end",
         .connections = 4,
         .opening = chunked_head + "1;name=",
         .repeated = long_line,
         .bytes = endless},
        {.name = "a_chunk_size_without_end",
         .connections = 4,
         .opening = chunked_head,
         .repeated = long_line,
         .bytes = endless},
        {.name = "an_extension_on_each_chunk",
         .connections = 4,
         .opening = chunked_head,
         .repeated = "1;n=" + std::string(8000, 'v') + "\r\nx\r\n",
         .bytes = endless},
        {.name = "chunks_of_one_byte",
         .connections = many,
         .opening = chunked_head,
         .repeated = repeat("1\r\nx\r\n", 2000),
         .bytes = 6 * (largest_body - 1)},
        {.name = "largest_bodies_at_once",
         .connections = many,
         .opening = post_head + "content-length: " + length + "\r\n\r\n",
         .repeated = std::string(largest_body / 4, 'x'),
         .bytes = largest_body - 1},
        {.name = "largest_chunked_bodies_at_once",
         .connections = many,
         .opening = chunked_head + "40000\r\n",
         .repeated = std::string(largest_body / 4, 'x'),
         .bytes = largest_body - 1}};
}

// Heads, trickles, and connections that are not used as meant.
std::vector<attack> connection_attacks()
{
    const auto length = std::to_string(largest_body);
    return {
        {.name = "heads_that_trickle",
         .connections = many,
         .opening = get_head,
         .repeated = "a: b\r\n",
         .bytes = 600,
         .step = 1},
        {.name = "bodies_that_trickle",
         .connections = many,
         .opening = post_head + "content-length: " + length + "\r\n\r\n",
         .repeated = "x",
         .bytes = 600,
         .step = 1},
        {.name = "thousands_of_fields",
         .connections = many,
         .opening = get_head,
         .repeated = repeat("a:\r\n", 1000),
         .bytes = bytes_per_mb / 2},
        {.name = "bodies_behind_thousands_of_fields",
         .connections = many,
         .opening = post_head + "content-length: 2\r\n" +
                    repeat("a:\r\n", 4000) + "\r\n",
         .repeated = "x",
         .bytes = 1},
        {.name = "responses_that_are_never_read",
         .connections = many,
         .opening = get_head + "\r\n",
         .repeated = repeat(get_head + "\r\n", 20),
         .bytes = bytes_per_mb / 8},
        {.name = "connections_that_are_left",
         .connections = 700,
         .opening = "",
         .repeated = "G",
         .bytes = 0},
        {.name = "resets_in_the_middle",
         .connections = many,
         .opening = chunked_head + "40000\r\n",
         .repeated = std::string(largest_body / 8, 'x'),
         .bytes = largest_body / 4,
         .resets = true,
         .waves = 5}};
}

std::vector<attack> attacks()
{
    auto all = body_attacks();
    std::ranges::move(connection_attacks(), std::back_inserter(all));
    return all;
}

// One connection of a crowd.
class member
{
public:
    member(asio::io_context& context, const endpoint& to) : socket_(context)
    {
        boost::system::error_code ec;
        socket_.connect({asio::ip::make_address(to.address), to.port}, ec);
        socket_.non_blocking(true, ec);
        ended_ = static_cast<bool>(ec);
    }

    // Sends some bytes if the connection takes any; false once all is sent or
    // the connection has ended.
    bool send(const attack& what)
    {
        if (ended_ || (opened_ == what.opening.size() && sent_ >= what.bytes))
            return false;
        const bool opening = opened_ < what.opening.size();
        auto rest = opening ? std::string_view(what.opening).substr(opened_)
                            : std::string_view(what.repeated)
                                  .substr(sent_ % what.repeated.size());
        if (!opening)
            rest = rest.substr(0, what.bytes - sent_);
        if (!opening && what.step != 0)
            rest = rest.substr(0, what.step);
        boost::system::error_code ec;
        const auto count = socket_.write_some(asio::buffer(rest), ec);
        (opening ? opened_ : sent_) += count;
        ended_ = ec && ec != asio::error::would_block;
        return !ended_;
    }

    void reset()
    {
        boost::system::error_code ignored;
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        socket_.close(ignored);
    }

private:
    tcp::socket socket_;
    std::size_t opened_ = 0;
    std::size_t sent_ = 0;
    bool ended_ = false;
};

void send_wave(flooded_node& node, const attack& what)
{
    asio::io_context context;
    std::vector<member> crowd;
    crowd.reserve(what.connections);
    for (std::size_t i = 0; i < what.connections; ++i)
        crowd.emplace_back(context, node.callers());
    const auto until = std::chrono::steady_clock::now() + crowd_patience;
    bool sending = true;
    while (sending && std::chrono::steady_clock::now() < until)
    {
        sending = false;
        for (auto& one : crowd)
            sending = one.send(what) || sending;
    }
    node.settle();
    if (what.resets)
        std::ranges::for_each(crowd, &member::reset);
}

struct caller_flood : testing::TestWithParam<attack>
{
    flooded_node node;
};

} // namespace

TEST_P(caller_flood, leaves_the_node_within_its_bounds)
{
    for (unsigned i = 0; i < GetParam().waves; ++i)
        send_wave(node, GetParam());
    const auto used = node.used();
    EXPECT_LE(used.peak_bytes, node.most_bytes()) << to_string(used);
    EXPECT_LE(node.most_descriptors(), flooded_node::descriptors);
    EXPECT_TRUE(node.serves());
    std::cout << to_string(used) << ", " << node.most_descriptors()
              << " at most\n";
}

INSTANTIATE_TEST_SUITE_P(
    of, caller_flood, testing::ValuesIn(attacks()),
    [](const auto& attack) { return attack.param.name; });

} // namespace dandeliontack::harness
