#include <dandeliontack/host_list.hpp>
#include <dandeliontack/http_server.hpp>

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

namespace
{

using namespace dandeliontack;
namespace asio = boost::asio;
namespace http = boost::beast::http;

// A platform that tags its list and counts how often it sends it whole.
struct tagging_platform
{
    std::string hosts = "[]";
    unsigned sent_whole = 0;

    asio::awaitable<http_response> answer(http_request request)
    {
        const auto tag = "\"" + std::to_string(hosts.size()) + "\"";
        const bool known = request[http::field::if_none_match] == tag;
        sent_whole += known ? 0 : 1;
        auto response =
            known ? make_response(http::status::not_modified, "text/plain", "")
                  : make_response(
                        http::status::ok, "application/json",
                        "{\"hosts\": " + hosts + "}");
        response.set(http::field::etag, tag);
        co_return response;
    }
};

asio::awaitable<void>
fetch_three_times(tagging_platform& platform, host_list_client& client)
{
    const auto count = [](const host_list_outcome& got) {
        return std::get<std::vector<listed_host>>(got).size();
    };
    const auto empty = co_await client.fetch();
    EXPECT_EQ(count(empty), 0U);
    platform.hosts =
        R"([{"name": "w1", "address": "127.0.0.1:9", "state": "live"}])";
    const auto changed = co_await client.fetch();
    EXPECT_EQ(count(changed), 1U);
    const auto same = co_await client.fetch();
    EXPECT_EQ(count(same), 1U);
}

TEST(http_host_list, a_list_that_has_not_changed_is_not_sent_again)
{
    asio::io_context context(1);
    metric_registry metrics;
    tagging_platform platform;
    http_server server(
        context.get_executor(), {}, metrics, [&](http_request request) {
            return platform.answer(std::move(request));
        });
    const auto where = server.listen({"127.0.0.1", 0});
    const auto client = make_http_host_list_client(
        context.get_executor(), where, std::chrono::seconds(10));
    asio::co_spawn(
        context, fetch_three_times(platform, *client),
        [&](std::exception_ptr error) {
            EXPECT_FALSE(error);
            context.stop();
        });
    context.run();
    EXPECT_EQ(platform.sent_whole, 2U);
}

} // namespace
