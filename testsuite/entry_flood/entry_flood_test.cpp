// An entry process keeps within its memory and its descriptors whatever comes
// to any of the addresses that it listens on, and goes on to serve beside it.

#include "harness/crowd.hpp"
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

constexpr std::size_t many = 400;
constexpr std::size_t more_than_descriptors = 1500;
constexpr std::size_t largest_body = 1024 * 1024;
constexpr std::size_t bytes_per_mb = 1024 * 1024;

std::vector<attack> attacks()
{
    const std::string head =
        "PUT /services/citations/x HTTP/1.1\r\nhost: a\r\n";
    const auto length = std::to_string(largest_body);
    const std::string get = "GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n";
    return {
        {.name = "connections_that_stay",
         .connections = more_than_descriptors,
         .opening = "",
         .repeated = "G",
         .bytes = 0},
        {.name = "heads_that_stop",
         .connections = more_than_descriptors,
         .opening = "GET /services/citations/x HTTP/1.1\r\n",
         .repeated = "a: b\r\n",
         .bytes = 60},
        {.name = "bodies_that_stop",
         .connections = many,
         .opening = head + "content-length: " + length + "\r\n\r\n",
         .repeated = std::string(largest_body / 16, 'x'),
         .bytes = largest_body - 1},
        {.name = "trailers_without_end",
         .connections = 4,
         .opening = head + "transfer-encoding: chunked\r\n\r\n0\r\n",
         .repeated = repeat("trailer: of a body\r\n", 4000),
         .bytes = 32 * bytes_per_mb},
        {.name = "responses_that_are_never_read",
         .connections = many,
         .opening = get,
         .repeated = repeat(get, 20),
         .bytes = bytes_per_mb / 8},
        {.name = "large_responses_that_are_never_read",
         .connections = many,
         .opening = head + "content-length: " + length + "\r\n\r\n",
         .repeated = std::string(largest_body / 16, 'x'),
         .bytes = largest_body}};
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

void expect_within_bounds(const small_machine& entry)
{
    const auto used = entry.used();
    EXPECT_LE(used.peak_bytes, entry.most_bytes()) << to_string(used);
    EXPECT_LE(entry.most_descriptors(), small_machine::descriptors);
    std::cout << to_string(used) << ", " << entry.most_descriptors()
              << " at most\n";
}

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
