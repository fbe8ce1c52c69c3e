// An entry process keeps within its memory and its descriptors whatever comes
// to any of the addresses that it listens on, and goes on to serve beside it.

#include "harness/crowd.hpp"
#include "harness/expect_bounds.hpp"
#include "harness/flooded_system.hpp"

#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

#include <iostream>
#include <tuple>

namespace dandeliontack::harness
{

namespace
{

namespace http = boost::beast::http;

constexpr std::size_t bytes_per_mb = 1024 * 1024;
constexpr std::size_t largest_body = bytes_per_mb;

std::vector<attack> attacks()
{
    const std::string put = "PUT /services/citations/x";
    auto large_responses =
        bodies_that_stop("large_responses_that_are_never_read", put);
    large_responses.bytes = largest_body;
    return {
        connections_that_stay(),
        heads_that_stop("/services/citations/x"),
        bodies_that_stop("bodies_that_stop", put),
        {.name = "trailers_without_end",
         .connections = 4,
         .opening = put + " HTTP/1.1\r\nhost: a\r\n"
                          "transfer-encoding: chunked\r\n\r\n0\r\n",
         .repeated = repeat("trailer: of a body\r\n", 4000),
         .bytes = 32 * bytes_per_mb},
        responses_that_are_never_read("/metrics"),
        large_responses};
}

using where_and_what = std::tuple<std::string, attack>;

struct entry_flood : testing::TestWithParam<where_and_what>
{
    flooded_system system;
};

struct entry_request_flood : testing::TestWithParam<request_crowd>
{
    flooded_system system;
};

std::vector<request_crowd> request_crowds()
{
    const auto large = [](http::verb method, std::size_t number) {
        http_request request(
            method, "/services/citations/" + std::to_string(number), 11);
        request.body().assign(largest_body, 'x');
        return request;
    };
    return {
        {"tickets_without_end", 100, 1000,
         [](std::size_t) {
             return http_request(http::verb::post, "/tickets", 11);
         }},
        {"largest_bodies", 100, 4,
         [large](std::size_t number) {
             return large(http::verb::put, number);
         }},
        {"methods_without_end", 20, 400, [](std::size_t number) {
             http_request request(http::verb::get, "/services/citations/x", 11);
             request.method_string(
                 "M" + std::to_string(number) + std::string(4000, 'M'));
             return request;
         }}};
}

} // namespace

TEST_P(entry_flood, leaves_the_process_within_its_bounds)
{
    const auto& [address, what] = GetParam();
    crowd senders(system.entry_address(address), what);
    senders.send();
    system.entry().settle();
    expect_within_bounds(system.entry());
    EXPECT_TRUE(system.entry_serves()) << "while the crowd stays";
}

TEST_P(entry_request_flood, leaves_the_process_within_its_bounds)
{
    const auto answered =
        send_requests(system.entry_address("callers"), GetParam());
    system.entry().settle();
    expect_within_bounds(system.entry());
    EXPECT_TRUE(system.entry_serves());
    for (const auto& [status, count] : answered)
        std::cout << status << " x " << count << "\n";
}

INSTANTIATE_TEST_SUITE_P(
    of, entry_flood,
    testing::Combine(
        testing::Values("callers", "admin"), testing::ValuesIn(attacks())),
    [](const auto& info) {
        return std::get<0>(info.param) + "_" + std::get<1>(info.param).name;
    });

INSTANTIATE_TEST_SUITE_P(
    of, entry_request_flood, testing::ValuesIn(request_crowds()),
    [](const auto& crowd) { return crowd.param.name; });

} // namespace dandeliontack::harness
