// A node keeps within its memory and its descriptors whatever its callers
// send, and goes on to serve.

#include "harness/crowd.hpp"
#include "harness/flooded_node.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>

namespace dandeliontack::harness
{

namespace
{

constexpr std::uint64_t bytes_per_mb = 1024 * 1024;

const std::string post_head =
    "POST /checks/0123456789abcdef HTTP/1.1\r\nhost: reg.example\r\n";
const std::string chunked_head =
    post_head + "transfer-encoding: chunked\r\n\r\n";
const std::string get_head = "GET /checks/ HTTP/1.1\r\nhost: reg.example\r\n";

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

void send_wave(flooded_node& node, const attack& what)
{
    crowd senders(node.callers(), what);
    senders.send();
    node.settle();
    if (what.resets)
        senders.reset();
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
