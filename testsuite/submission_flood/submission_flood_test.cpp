// A node keeps within its memory whatever whole requests its callers send:
// while it decodes them, and of those that it accepts.

#include "harness/crowd.hpp"
#include "harness/flooded_node.hpp"
#include <dandeliontack/submission.hpp>

#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

#include <iostream>

namespace dandeliontack::harness
{

namespace
{

namespace http = boost::beast::http;

constexpr std::size_t largest_body = 256 * 1024;
constexpr std::size_t largest_header = 16 * 1024;

http_request submit(std::size_t number, std::string body)
{
    http_request request(
        http::verb::post, "/checks/" + submission_name(number + 1), 11);
    request.set(http::field::host, "reg.example");
    request.set(http::field::content_type, "application/json");
    request.body() = std::move(body);
    return request;
}

// A body of `head`, as many `items` as fit the largest one, and `tail`.
std::string
filled(const std::string& head, const std::string& item, std::string tail)
{
    const auto count =
        (largest_body - head.size() - tail.size()) / (item.size() + 1);
    return head + repeat(item + ",", count - 1) + item + tail;
}

// The same body under ids of its own, from many connections.
request_crowd bodies(std::string name, std::string body, std::size_t requests)
{
    return {
        std::move(name), 20, requests,
        [body = std::move(body)](std::size_t number) {
            return submit(number, body);
        }};
}

const std::string one_task = R"({"count":1,"cpu":100,"memMb":64})";
// Runs for as long as the test.
const std::string long_task =
    R"({"count":1,"cpu":100,"memMb":64,"estimateMs":60000)";

// Texts whose decoded form is many times as long, in one request or few.
std::vector<request_crowd> decoded_crowds()
{
    const std::string steps = R"({"phases":[)";
    const std::string ignored = steps + one_task + R"(],"ignored":[)";
    return {
        bodies("steps_without_fields", filled(steps, "{}", "]}"), 5),
        bodies(
            "steps_of_nothing_but_faults",
            filled(steps, R"({"count":-1,"cpu":"","gpu":[]})", "]}"), 5),
        bodies(
            "dependencies_of_the_wrong_type",
            filled(steps + one_task + R"(,{"count":1,"after":[)", "-1", "]}]}"),
            5),
        bodies("ignored_numbers", filled(ignored, "0", "]}"), 5),
        bodies("ignored_lists", filled(ignored, "[]", "]}"), 5),
        bodies("ignored_objects", filled(ignored, R"({"":0})", "]}"), 5),
        bodies(
            "ignored_members",
            filled(steps + one_task + R"(],"a":0,)", R"("":0)", "}"), 5),
        {"methods_without_end", 20, 400, [](std::size_t number) {
             http_request request(http::verb::get, "/checks/", 11);
             request.method_string(
                 "M" + std::to_string(number) +
                 std::string(largest_header / 2, 'M'));
             request.set(http::field::host, "reg.example");
             return request;
         }}};
}

// Submissions that are accepted, and what the node keeps for each.
std::vector<request_crowd> kept_crowds()
{
    const std::string steps = R"({"phases":[)";
    const auto label = std::string(largest_body * 3 / 4, 'l');
    return {
        bodies(
            "labels_of_the_largest_size",
            steps + long_task + R"(,"requirements":")" + label + "\"}]}", 40),
        bodies(
            "repeated_dependencies",
            filled(
                steps + one_task + "," + long_task + R"(,"after":[)", "0",
                "]}]}"),
            40),
        bodies(
            "small_steps",
            steps + repeat(long_task + "},", 255) + long_task + "}]}", 100),
        bodies("small_submissions", steps + long_task + "}]}", 2000),
        bodies(
            "tasks_by_the_thousand",
            steps + R"({"count":20000,"cpu":100,"estimateMs":60000}]})", 2),
        bodies(
            "occurrences_that_are_all_due",
            R"({"repetitions":1000000,"firstMs":1,"intervalMs":1,)"
            R"("phases":[{"count":100,"cpu":100,"estimateMs":60000}]})",
            2)};
}

std::vector<request_crowd> crowds()
{
    auto all = decoded_crowds();
    std::ranges::move(kept_crowds(), std::back_inserter(all));
    return all;
}

struct submission_flood : testing::TestWithParam<request_crowd>
{
    flooded_node node;
};

} // namespace

TEST_P(submission_flood, leaves_the_node_within_its_bounds)
{
    const auto answered = send_requests(node.callers(), GetParam());
    node.settle();
    const auto used = node.used();
    EXPECT_LE(used.peak_bytes, node.most_bytes()) << to_string(used);
    EXPECT_LE(node.most_descriptors(), flooded_node::descriptors);
    EXPECT_TRUE(node.serves());
    std::cout << to_string(used) << "; answers:";
    for (const auto& [status, count] : answered)
        std::cout << " " << status << " x " << count;
    std::cout << "\n";
}

// What is kept fills its share first; then unfinished requests come to two
// addresses, and whole ones beside them.
TEST(crowds_at_once, leave_the_node_within_its_bounds)
{
    flooded_node node;
    const auto kept = kept_crowds();
    send_requests(node.callers(), kept.front());
    const std::string head =
        "POST /checks/0123456789abcdef HTTP/1.1\r\nhost: reg.example\r\n";
    attack bodies{
        .name = "bodies_that_stop",
        .connections = 200,
        .opening = head + "content-length: " + std::to_string(largest_body) +
                   "\r\n\r\n",
        .repeated = std::string(largest_body / 16, 'x'),
        .bytes = largest_body - 1};
    crowd to_callers(node.callers(), bodies);
    crowd to_peers(node.address_of("peers"), bodies);
    to_callers.send();
    to_peers.send();
    for (const auto& whole : decoded_crowds())
        send_requests(node.callers(), whole);
    node.settle();
    const auto used = node.used();
    EXPECT_LE(used.peak_bytes, node.most_bytes()) << to_string(used);
    EXPECT_LE(node.most_descriptors(), flooded_node::descriptors);
    EXPECT_TRUE(node.serves()) << "while the crowds stay";
    std::cout << to_string(used) << "\n";
}

INSTANTIATE_TEST_SUITE_P(
    of, submission_flood, testing::ValuesIn(crowds()),
    [](const auto& crowd) { return crowd.param.name; });

} // namespace dandeliontack::harness
