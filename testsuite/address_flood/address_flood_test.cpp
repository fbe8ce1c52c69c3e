// A node keeps within its memory and its descriptors whatever comes to any of
// the addresses that it listens on, and goes on to serve beside it.

#include "harness/crowd.hpp"
#include "harness/flooded_node.hpp"
#include <dandeliontack/submission.hpp>

#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

#include <array>
#include <iostream>
#include <tuple>

namespace dandeliontack::harness
{

namespace
{

constexpr std::size_t many = 400;
constexpr std::size_t more_than_descriptors = 1500;
constexpr std::size_t bytes_per_mb = 1024 * 1024;

std::vector<attack> attacks()
{
    const std::string head = "POST /metrics HTTP/1.1\r\nhost: a\r\n";
    const std::string get = "GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n";
    return {
        {.name = "connections_that_stay",
         .connections = more_than_descriptors,
         .opening = "",
         .repeated = "G",
         .bytes = 0},
        {.name = "heads_that_stop",
         .connections = more_than_descriptors,
         .opening = "GET /metrics HTTP/1.1\r\n",
         .repeated = "a: b\r\n",
         .bytes = 60},
        {.name = "large_bodies_that_stop",
         .connections = many,
         .opening = head + "content-length: 1048576\r\n\r\n",
         .repeated = std::string(bytes_per_mb / 16, 'x'),
         .bytes = bytes_per_mb - 1},
        {.name = "small_bodies_that_stop",
         .connections = many,
         .opening = head + "content-length: 4096\r\n\r\n",
         .repeated = "x",
         .bytes = 4095,
         .step = 4095},
        {.name = "responses_that_are_never_read",
         .connections = many,
         .opening = get,
         .repeated = repeat(get, 20),
         .bytes = bytes_per_mb / 8}};
}

using where_and_what = std::tuple<std::string, attack>;

struct address_flood : testing::TestWithParam<where_and_what>
{
    flooded_node node;
};

struct peer_flood : testing::Test
{
    flooded_node node;
};

} // namespace

TEST_P(address_flood, leaves_the_node_within_its_bounds)
{
    const auto& [address, what] = GetParam();
    crowd senders(node.address_of(address), what);
    senders.send();
    node.settle();
    const auto used = node.used();
    EXPECT_LE(used.peak_bytes, node.most_bytes()) << to_string(used);
    EXPECT_LE(node.most_descriptors(), flooded_node::descriptors);
    EXPECT_TRUE(node.serves()) << "while the crowd stays";
    std::cout << to_string(used) << ", " << node.most_descriptors()
              << " at most\n";
}

// Whole calls as of another node, whose records are nothing but empty steps, or
// a name as long as a body may be.
TEST_F(peer_flood, leaves_the_node_within_its_bounds)
{
    constexpr std::size_t largest_body = 1024 * 1024;
    constexpr std::string_view empty_step("\x1a\0", 2);
    constexpr std::array verbs{"submit",   "find",    "demands",
                               "announce", "pending", "owner-changed"};
    const auto steps =
        repeat(std::string(empty_step), largest_body / empty_step.size());
    const request_crowd calls{
        "", 20, 30, [&](std::size_t number) {
            http_request request(
                boost::beast::http::verb::post,
                "/" + std::string(verbs.at(number % verbs.size())) + "/1/" +
                    submission_name(number),
                11);
            request.body() = steps;
            request.set(boost::beast::http::field::host, "a");
            return request;
        }};
    send_requests(node.address_of("peers"), calls);
    node.settle();
    const auto used = node.used();
    EXPECT_LE(used.peak_bytes, node.most_bytes()) << to_string(used);
    EXPECT_TRUE(node.serves());
    std::cout << to_string(used) << "\n";
}

INSTANTIATE_TEST_SUITE_P(
    of, address_flood,
    testing::Combine(
        testing::Values("callers", "readiness", "peers", "metrics"),
        testing::ValuesIn(attacks())),
    [](const auto& info) {
        return std::get<0>(info.param) + "_" + std::get<1>(info.param).name;
    });

} // namespace dandeliontack::harness
