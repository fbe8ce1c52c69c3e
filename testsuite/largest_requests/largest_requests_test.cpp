// Requests at the very limits of what callers may send are served by a node
// with the default settings, and the operators' limits hold for its callers.

#include "harness/flooded_node.hpp"
#include <dandeliontack/submission.hpp>

#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

namespace dandeliontack::harness
{

namespace
{

namespace http = boost::beast::http;

constexpr std::size_t largest_header = 16 * 1024;
constexpr std::size_t largest_body = 256 * 1024;
constexpr std::size_t largest_text = 4000;

http_request submit(std::uint64_t id, std::string body)
{
    http_request request(
        http::verb::post, "/checks/" + submission_name(id), 11);
    request.set(http::field::host, "reg.example");
    request.body() = std::move(body);
    return request;
}

// As many steps as there may be, each after all that come before it.
std::string all_steps()
{
    std::string steps;
    std::string before;
    for (std::size_t i = 0; i < max_steps; ++i)
    {
        steps += (i == 0 ? "" : ",") +
                 (R"({"count":1,"cpu":100,"memMb":64,"gpu":0,"after":[)" +
                  before + R"(],"estimateMs":60000,"gang":false})");
        before += (before.empty() ? "" : ",") + std::to_string(i);
    }
    return steps;
}

// A submission with these steps and the longest text, padded to `bytes`.
std::string body_of(const std::string& steps, std::size_t bytes)
{
    auto body = R"({"spec":")" + std::string(largest_text, 's') +
                R"(","phases":[)" + steps + "]}";
    body.insert(body.size() - 1, bytes - body.size(), ' ');
    return body;
}

struct largest_requests : testing::Test
{
    http::status status_of(http_request request)
    {
        return call(node.callers(), std::move(request)).result();
    }

    flooded_node node{""};
};

TEST_F(largest_requests, the_largest_body_with_all_steps_is_accepted)
{
    EXPECT_EQ(
        status_of(submit(1, body_of(all_steps(), largest_body))),
        http::status::ok);
    EXPECT_EQ(
        status_of(submit(2, body_of(all_steps(), largest_body + 1))),
        http::status::payload_too_large);
}

TEST_F(largest_requests, as_many_tasks_as_may_be_are_accepted)
{
    EXPECT_EQ(
        status_of(submit(
            1, body_of(R"({"count":100000,"cpu":100,"memMb":1})", 8000))),
        http::status::ok);
}

TEST_F(largest_requests, a_schedule_of_a_million_occurrences_is_accepted)
{
    EXPECT_EQ(
        status_of(submit(
            1, R"({"repetitions":1000000,"firstMs":1,"intervalMs":1,)"
               R"("phases":[{"count":1,"cpu":100,"estimateMs":100}]})")),
        http::status::ok);
}

TEST_F(largest_requests, the_largest_header_is_served)
{
    const std::string start =
        "GET /checks/ HTTP/1.1\r\nhost: reg.example\r\nconnection: close\r\n";
    const auto with = [&](std::size_t bytes) {
        const std::string name = "a: ";
        const std::string end = "\r\n\r\n";
        return start + name +
               std::string(
                   bytes - start.size() - name.size() - end.size(), 'x') +
               end;
    };
    EXPECT_NE(
        send_raw(node.callers(), with(largest_header)).find(" 200 OK"),
        std::string::npos);
    EXPECT_NE(
        send_raw(node.callers(), with(largest_header + 1)).find(" 431 "),
        std::string::npos);
}

TEST_F(largest_requests, the_operators_limits_hold_for_callers)
{
    post(
        node.platform(), "/configuration",
        R"({"version":2,"routes":[{"name":"checks","host":"reg.example",)"
        R"("pathPrefix":"/checks/","type":"unsafe","timeoutMs":3000,)"
        R"("targetLatencyMs":600,"service":"pool","maxAttempts":2,)"
        R"("stretch":2.0}],"services":[{"name":"pool"}],"limits":)"
        R"({"maxHeaderBytes":4096,"maxBodyBytes":2048,)"
        R"("headerTimeoutMs":200,"idleTimeoutMs":15000}})");
    const auto body = body_of(R"({"count":1,"cpu":100})", 5000);
    std::uint64_t id = 100;
    EXPECT_TRUE(eventually([&] {
        return status_of(submit(++id, body)) == http::status::payload_too_large;
    }));
    EXPECT_NE(
        send_raw(
            node.callers(),
            "GET /checks/ HTTP/1.1\r\nhost: reg.example\r\na: " +
                std::string(5000, 'x') + "\r\n\r\n")
            .find(" 431 "),
        std::string::npos);
    // The end comes without an answer, and long before other bounds.
    EXPECT_EQ(send_raw(node.callers(), "GET /checks/ HTTP/1.1\r\n"), "");
    EXPECT_TRUE(node.serves());
}

} // namespace

} // namespace dandeliontack::harness
