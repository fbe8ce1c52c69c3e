// A node keeps within its memory and its descriptors whatever comes to any of
// the addresses that it listens on, and goes on to serve beside it.

#include "harness/crowd.hpp"
#include "harness/expect_bounds.hpp"
#include "harness/flooded_node.hpp"
#include <dandeliontack/submission.hpp>

#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

#include <array>
#include <tuple>

namespace dandeliontack::harness
{

namespace
{

std::vector<attack> attacks()
{
    const std::string target = "/metrics";
    return {
        connections_that_stay(),
        heads_that_stop(target),
        bodies_that_stop("large_bodies_that_stop", "POST " + target),
        {.name = "small_bodies_that_stop",
         .connections = many,
         .opening = "POST /metrics HTTP/1.1\r\nhost: a\r\n"
                    "content-length: 4096\r\n\r\n",
         .repeated = "x",
         .bytes = 4095,
         .step = 4095},
        responses_that_are_never_read(target)};
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
    expect_within_bounds(node.machine());
    EXPECT_TRUE(node.serves()) << "while the crowd stays";
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
    expect_within_bounds(node.machine());
    EXPECT_TRUE(node.serves());
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
