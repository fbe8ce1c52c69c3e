// Whatever an upstream answers, and however a caller shapes its bytes, a
// caller gets the whole answer to its own request or a true refusal.

#include "harness/cluster.hpp"

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <array>

namespace
{

using namespace dandeliontack;
using namespace dandeliontack::harness;
namespace asio = boost::asio;
namespace http = boost::beast::http;

struct request_wholeness : testing::Test
{
    request_wholeness()
    {
        system.add_worker("w1");
        const auto& control =
            system.add_control("control-1", "[leadership]\nheartbeat = 50ms\n");
        system.add_entry(
            "entry-1", control.grpc,
            "[upstreams]\nbody_bytes = 65536\nretries = 0\n");
        system.publish(
            control.admin,
            "[pool a]\nhosts = w1\n[service citations]\npool = a\n");
        EXPECT_TRUE(routes_to(entry(), "citations", 1));
    }

    const entry_process& entry()
    {
        return system.entries.at("entry-1");
    }

    void set_worker(const std::string& fault)
    {
        post(system.worker_addresses.at("w1"), "/fault?" + fault);
    }

    http_response asking_for(const std::string& least_offset)
    {
        http_request request{http::verb::get, "/services/citations/a", 11};
        request.set(http::field::host, "a");
        request.set("tack-offset", least_offset);
        return call(entry().callers, std::move(request));
    }

    http_response ask(const std::string& path)
    {
        return get(entry().callers, "/services/citations" + path);
    }

    std::string history()
    {
        return get(system.worker_addresses.at("w1"), "/history").body();
    }

    void expect_own_answer(const std::string& path)
    {
        const auto response = ask(path);
        EXPECT_EQ(response.result(), http::status::ok) << response.body();
        EXPECT_EQ(response.body(), "w1 " + path + " ");
    }

    void expect_unknown(const std::string& path)
    {
        const auto response = ask(path);
        EXPECT_EQ(response.result(), http::status::bad_gateway);
        EXPECT_EQ(
            boost::json::parse(response.body()).at("outcome").as_string(),
            "unknown");
    }

    cluster system;
};

TEST_F(request_wholeness, a_truncated_answer_reaches_no_caller)
{
    for (const auto* fault : {"truncate", "no-length", "reset"})
    {
        set_worker(std::string("mode=") + fault);
        expect_unknown("/cut");
        set_worker("mode=none");
        expect_own_answer("/after");
    }
}

TEST_F(request_wholeness, a_doubled_answer_answers_one_request)
{
    expect_own_answer("/0");
    set_worker("mode=double");
    for (const auto* path : {"/1", "/2", "/3", "/4"})
        expect_own_answer(path);
}

TEST_F(request_wholeness, a_crossed_answer_reaches_no_caller)
{
    expect_own_answer("/own");
    set_worker("mode=cross");
    expect_unknown("/crossed");
    set_worker("mode=none");
    expect_own_answer("/after");
}

TEST_F(request_wholeness, a_late_answer_reaches_no_later_caller)
{
    set_worker("mode=late&ms=300");
    const auto late = send_raw(
        entry().callers, "GET /services/citations/late HTTP/1.1\r\nhost: a\r\n"
                         "tack-deadline-ms: 50\r\nconnection: close\r\n\r\n");
    EXPECT_NE(late.find("\"outcome\":\"unknown\""), std::string::npos) << late;
    set_worker("mode=none");
    for (const auto* path : {"/1", "/2", "/3"})
        expect_own_answer(path);
}

TEST_F(request_wholeness, an_oversize_answer_reaches_no_caller)
{
    const std::string body(70'000, 'x');
    http_request request{http::verb::put, "/services/citations/big", 11};
    request.set(http::field::host, "a");
    request.body() = body;
    const auto response = call(entry().callers, std::move(request));
    EXPECT_EQ(response.result(), http::status::bad_gateway);
    expect_own_answer("/after");
}

TEST_F(request_wholeness, smuggling_shapes_are_refused_and_run_nothing)
{
    const std::string start = "PUT /services/citations/smuggled HTTP/1.1\r\n"
                              "host: a\r\n";
    const std::array shapes{
        start + "content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n"
                "0\r\n\r\nGET",
        start + "transfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n"
                "0\r\n\r\nGET",
        start + "content-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
        start + "content-length: 3, 4\r\n\r\nabcd",
        start + "content-length: -3\r\n\r\nabc",
        start + "x: a\r\n b\r\ncontent-length: 0\r\n\r\n",
        start + "content-length:\r\n 3\r\n\r\nabc",
        start + "x: a\ncontent-length: 3\r\n\r\nabc",
        start + "content-length : 3\r\n\r\nabc",
        "\r\n" + start + "x: a\r\n b\r\n\r\n",
        start + "transfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
        start + "transfer-encoding: chunked\r\n\r\n"
                "ffffffffffffffffff\r\nabc\r\n0\r\n\r\n",
        start + "transfer-encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
        start + "transfer-encoding: chunked, identity\r\n\r\n0\r\n\r\n",
        start + "transfer-encoding: xchunked\r\n\r\n0\r\n\r\n"};
    for (const auto& shape : shapes)
    {
        const auto answer = send_raw(entry().callers, shape);
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 400 ")) << shape << answer;
        EXPECT_NE(answer.find("\"outcome\":\"not-run\""), std::string::npos)
            << shape;
    }
    EXPECT_EQ(history(), "");
    const auto metrics = get(entry().admin, "/metrics").body();
    EXPECT_NE(
        metrics.find(
            "tack_http_rejected_total " + std::to_string(shapes.size()) + "\n"),
        std::string::npos)
        << metrics;
    expect_own_answer("/after");
}

TEST_F(request_wholeness, a_caller_that_waits_to_send_its_body_is_told_to)
{
    const auto answer = send_raw(
        entry().callers, "PUT /services/citations/a HTTP/1.1\r\nhost: a\r\n"
                         "connection: close\r\nexpect: 100-continue\r\n"
                         "content-length: 2\r\n\r\nhi");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200"))
        << answer;
    EXPECT_TRUE(answer.ends_with("w1 /a hi")) << answer;
}

TEST_F(request_wholeness, an_entry_that_is_behind_refuses)
{
    const auto now = ask("/a");
    const std::string offset(now["tack-offset"]);
    ASSERT_FALSE(offset.empty());
    EXPECT_EQ(asking_for(offset).result(), http::status::ok);
    const auto refused = asking_for("999999999");
    EXPECT_EQ(refused.result(), http::status::service_unavailable);
    EXPECT_NE(
        refused.body().find("\"outcome\":\"not-run\""), std::string::npos);
}

// Records that leave the routing as it is move the offset on as well.
TEST_F(request_wholeness, an_offset_without_a_new_table_is_reached)
{
    const auto& control = system.controls.at("control-1");
    const auto applied = [&] {
        return get_json(control.admin, "/v1/status")
            .at("system_end")
            .to_number<std::uint64_t>();
    };
    // Behind so many heartbeats no other record is under way any more.
    constexpr std::uint64_t heartbeats = 20;
    const auto before = applied();
    ASSERT_TRUE(eventually([&] { return applied() > before + heartbeats; }));
    const auto least = std::to_string(applied());
    EXPECT_TRUE(eventually(
        [&] { return asking_for(least).result() == http::status::ok; }));
}

TEST_F(request_wholeness, fields_of_one_connection_are_not_forwarded)
{
    const auto answer = send_raw(
        entry().callers, "GET /services/citations/a HTTP/1.1\r\nhost: a\r\n"
                         "connection: close, x-private\r\nx-private: 1\r\n"
                         "expect: 100-continue\r\n\r\n");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
}

} // namespace
