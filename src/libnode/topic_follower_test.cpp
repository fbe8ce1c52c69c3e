// Tests topic_follower against a fake store that counts the records it sends.

#include "node_fixture.hpp"
#include <dandeliontack/http_server.hpp>
#include <dandeliontack/topic_follower.hpp>

#include <absl/strings/escaping.h>
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <gtest/gtest.h>

namespace dandeliontack
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using namespace std::chrono_literals;

constexpr std::size_t record_bytes = 100'000;
constexpr int versions = 40;

// Holds one key that is rewritten with each request, so that a follower is
// always behind until the last version.
class rewriting_store
{
public:
    explicit rewriting_store(asio::io_context& context)
        : server_(
              context.get_executor(), {}, metrics_,
              [this](http_request request) {
                  return answer(std::move(request));
              }),
          address(server_.listen({"127.0.0.1", 0}))
    {}

    int end = 1;
    int sent = 0;

private:
    static std::string value_of(int version)
    {
        auto value = std::to_string(version) + ";";
        value.resize(record_bytes, 'x');
        return value;
    }

    static void put(std::string& out, std::uint64_t value, int bytes)
    {
        for (int i = bytes - 1; i >= 0; --i)
            out += static_cast<char>(value >> (8U * static_cast<unsigned>(i)));
    }

    asio::awaitable<http_response> answer(http_request request)
    {
        auto response = answer_to(std::string(request.target()));
        co_return response;
    }

    http_response answer_to(const std::string& target)
    {
        // Five versions are written between two requests.
        end = std::min(end + 5, versions);
        if (target.starts_with("/log-newest"))
        {
            ++sent;
            const json::object item{
                {"key", "config"},
                {"value", absl::Base64Escape(value_of(end - 1))},
                {"offset", end - 1}};
            return make_response(
                http::status::ok, "application/json",
                json::serialize(json::object{
                    {"items", json::array{item}},
                    {"hasMore", false},
                    {"endOffset", end}}));
        }
        const auto from = std::stoi(target.substr(target.find("from=") + 5));
        std::string body;
        put(body, static_cast<std::uint64_t>(end), 8);
        put(body, 0, 8);
        for (int i = from; i < end; ++i, ++sent)
        {
            const auto value = value_of(i);
            put(body, 1 + 6 + value.size(), 4);
            put(body, 6, 1);
            body += "config" + value;
        }
        return make_response(
            http::status::ok, "application/octet-stream", std::move(body));
    }

    metric_registry metrics_;
    http_server server_;

public:
    endpoint address;
};

// Lists three records, one a page, and refuses every other request.
class paged_store
{
public:
    explicit paged_store(asio::io_context& context)
        : server_(
              context.get_executor(), {}, metrics_,
              [this](http_request request) {
                  return answer(std::move(request));
              }),
          address(server_.listen({"127.0.0.1", 0}))
    {}

    int requests = 0;

private:
    asio::awaitable<http_response> answer(http_request request)
    {
        if (requests++ % 2 == 0)
            co_return make_response(
                http::status::too_many_requests, "text/plain", {});
        const std::string target(request.target());
        const auto at = target.find("after=");
        const auto number =
            at == std::string::npos ? 0 : std::stoi(target.substr(at + 6)) + 1;
        json::object item{
            {"key", std::to_string(number)},
            {"value", "YQ=="},
            {"offset", number}};
        json::object page{
            {"items", json::array{std::move(item)}},
            {"hasMore", number < 2},
            {"endOffset", 3}};
        co_return make_response(
            http::status::ok, "application/json", json::serialize(page));
    }

    metric_registry metrics_;
    http_server server_;

public:
    endpoint address;
};

class topic_follower_test : public test::node_fixture
{
protected:
    topic_follower_test()
    {
        settings_.store.address = store.address;
    }

    // Follows the topic until the last version is delivered; returns the number
    // of versions delivered.
    int follow(follow_options options)
    {
        int delivered = 0;
        int newest = -1;
        topic_follower follower(
            node_, client_, std::move(options),
            [&](const keyed_record& record) {
                ++delivered;
                const int version = std::stoi(record.value);
                EXPECT_GT(version, newest);
                newest = version;
            },
            [] {});
        bool ended = false;
        asio::co_spawn(
            context_, follower.run(),
            [&](const std::exception_ptr&) { ended = true; });
        while (newest < versions - 1)
            context_.run_one();
        follower.stop();
        while (!ended)
            context_.run_one();
        return delivered;
    }

    rewriting_store store{context_};
    store_client client_{node_};
};

} // namespace

// Guards against overload of the store: a large configuration was written five
// times a second and 147 nodes read each version, which exceeded the store's
// read capacity. Found on bench day trouble-2 of teranga-jobs-large.
TEST_F(topic_follower_test, limited_read_rate_skips_superseded_versions)
{
    const auto all = follow({{"keyed.op", 0}, 0ms, 0ms, 0ms, {}});
    EXPECT_EQ(all, versions - 5);
    const int sent_without_limit = store.sent;
    store.end = 1;
    store.sent = 0;
    const auto limited =
        follow({{"keyed.op", 0}, 0ms, 0ms, 150ms, [] { return 1e5; }});
    EXPECT_LT(limited, all);
    EXPECT_LT(store.sent, sent_without_limit);
}

// Guards against loads that begin anew with each failed page: a store that
// answers every other call would never get to the last page.
TEST_F(topic_follower_test, load_goes_on_with_the_page_that_failed)
{
    paged_store paged(context_);
    settings_.store.address = paged.address;
    store_client client(node_);
    std::vector<std::string> keys;
    bool caught_up = false;
    topic_follower follower(
        node_, client, {{"keyed.servers", 0}, 0ms, 0ms, 0ms, {}},
        [&](const keyed_record& record) { keys.push_back(record.key); },
        [&] {
            caught_up = true;
            follower.stop();
        });
    bool ended = false;
    asio::co_spawn(context_, follower.run(), [&](const std::exception_ptr&) {
        ended = true;
    });
    while (!ended)
        context_.run_one();
    EXPECT_TRUE(caught_up);
    EXPECT_EQ(keys, (std::vector<std::string>{"0", "1", "2"}));
    EXPECT_EQ(paged.requests, 6);
}

TEST(pause_after, pause_grows_with_bytes_up_to_maximum)
{
    const follow_options options{{}, 0ms, 10ms, 600ms, [] { return 1e6; }};
    EXPECT_EQ(pause_after(0, options), 10ms);
    EXPECT_EQ(pause_after(200'000, options), 200ms);
    EXPECT_EQ(pause_after(5'000'000, options), 600ms);
}

} // namespace dandeliontack
