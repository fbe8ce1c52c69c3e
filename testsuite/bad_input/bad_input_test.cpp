// Whatever is sent, its sender gets a clear error, the process goes on and a
// metric counts it.

#include "harness/cluster.hpp"
#include "log.pb.h"

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <gtest/gtest.h>

namespace
{

using namespace dandeliontack;
using namespace dandeliontack::harness;
namespace asio = boost::asio;
namespace http = boost::beast::http;

struct bad_input : testing::Test
{
    bad_input()
    {
        system.add_worker("w1");
        const auto& control = system.add_control("control-1");
        admin = control.admin;
        system.add_entry("entry-1", control.grpc);
        system.publish(
            admin, "[pool a]\nhosts = w1\n[service citations]\npool = a\n");
        EXPECT_TRUE(routes_to(entry(), "citations", 1));
    }

    const entry_process& entry()
    {
        return system.entries.at("entry-1");
    }

    std::string metrics()
    {
        return get(entry().admin, "/metrics").body();
    }

    void expect_served()
    {
        EXPECT_EQ(
            get(entry().callers, "/services/citations/ok").result(),
            http::status::ok);
    }

    cluster system;
    endpoint admin;
};

TEST_F(bad_input, malformed_http_is_refused_and_counted)
{
    const auto answer = send_raw(entry().callers, "not http at all\r\n\r\n");
    EXPECT_NE(answer.find("400 Bad Request"), std::string::npos) << answer;
    EXPECT_NE(answer.find("\"outcome\":\"not-run\""), std::string::npos);
    EXPECT_NE(
        metrics().find("tack_http_rejected_total 1\n"), std::string::npos);
    expect_served();
}

TEST_F(bad_input, unknown_service_is_refused_and_counted)
{
    const auto response = get(entry().callers, "/services/nothing/x");
    EXPECT_EQ(response.result(), http::status::not_found);
    const auto problem = boost::json::parse(response.body());
    EXPECT_EQ(problem.at("title").as_string(), "unknown service");
    EXPECT_EQ(problem.at("outcome").as_string(), "not-run");
    EXPECT_NE(
        metrics().find("tack_refusals_total{outcome=\"not-run\"} 1\n"),
        std::string::npos);
    expect_served();
}

TEST_F(bad_input, over_long_header_is_refused)
{
    const auto answer = send_raw(
        entry().callers,
        "GET / HTTP/1.1\r\nx: " + std::string(9000, 'x') + "\r\n\r\n");
    EXPECT_NE(answer.find("431 "), std::string::npos) << answer;
    expect_served();
}

TEST_F(bad_input, over_long_body_is_refused)
{
    const auto answer = send_raw(
        entry().callers, "POST /services/citations/x HTTP/1.1\r\nhost: a\r\n"
                         "content-length: 99999999\r\n\r\n");
    EXPECT_NE(answer.find("413 "), std::string::npos) << answer;
    expect_served();
}

TEST_F(bad_input, a_record_that_does_not_parse_is_rejected_and_reported)
{
    wire::log_append_request request;
    request.add_records("\xff\xff not a record");
    post(
        system.platform_address, "/streams/operators/records",
        request.SerializeAsString());
    ASSERT_TRUE(eventually([&] {
        const auto status = get_json(admin, "/v1/status");
        return !status.at("rejections").as_array().empty();
    }));
    const auto status = get_json(admin, "/v1/status");
    const auto& found =
        status.at("rejections").as_array()[0].at("findings").as_array()[0];
    EXPECT_EQ(found.at("message").as_string(), "is not a record");
    EXPECT_NE(
        get(admin, "/metrics").body().find("tack_records_rejected_total 1\n"),
        std::string::npos);
    // What is published after it comes into force all the same.
    system.publish(admin, "[pool b]\nhosts = w9\n");
}

TEST_F(bad_input, bad_settings_start_nothing)
{
    const auto settings = system.folder.write("bad.ini", "[node]\nname = x\n");
    for (const auto* program :
         {"src/tack-entry/tack-entry", "src/tack-control/tack-control"})
    {
        const auto result = run_program(
            program, {"--settings=" + settings},
            system.folder.path() / "bad.log");
        EXPECT_EQ(result.exit_code, 2);
        EXPECT_EQ(result.output, "");
        EXPECT_NE(
            result.errors.find("node.data_centre: missing key"),
            std::string::npos);
    }
}

} // namespace
