#include <dandeliontack/http_pool.hpp>
#include <dandeliontack/http_server.hpp>

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

#include <thread>

namespace dandeliontack
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace std::chrono_literals;

constexpr auto patience = 5000ms;
constexpr auto short_idle = 20ms;

class counting_server
{
public:
    explicit counting_server(asio::io_context& context)
        : server_(
              context.get_executor(), {}, metrics_,
              [this](http_request request) -> asio::awaitable<http_response> {
                  ++requests;
                  bodies.push_back(request.body());
                  co_return make_response(http::status::ok, "text/plain", name);
              }),
          address(server_.listen({"127.0.0.1", 0}))
    {}

    int requests = 0;
    /// What the server answers: the process that it stands for.
    std::string name = "first";
    std::vector<std::string> bodies;

private:
    metric_registry metrics_;
    http_server server_;

public:
    endpoint address;
};

class http_pool_test : public testing::Test
{
protected:
    exchange_result
    ask(const counting_server& server, send_permission may_send = {})
    {
        std::optional<exchange_result> result;
        http_request request(http::verb::post, "/", 11);
        request.prepare_payload();
        asio::co_spawn(
            context_,
            pool.exchange(
                server.address, std::move(request), patience,
                std::move(may_send)),
            [&](std::exception_ptr, exchange_result r) {
                result = std::move(r);
            });
        while (!result)
            context_.run_one();
        return *result;
    }

    exchange_result
    ask_first(const counting_server& server, bool question_suffices)
    {
        std::optional<exchange_result> result;
        const auto with_body = [](std::string body) {
            http_request request(http::verb::post, "/", 11);
            request.body() = std::move(body);
            request.prepare_payload();
            return request;
        };
        asio::co_spawn(
            context_,
            pool.exchange(
                server.address, with_body("request"), patience, {},
                {"first", with_body("question"),
                 [](const http_response& answer) { return answer.body(); },
                 question_suffices}),
            [&](std::exception_ptr, exchange_result r) {
                result = std::move(r);
            });
        while (!result)
            context_.run_one();
        return *result;
    }

    asio::io_context context_{1};
    http_pool pool{context_.get_executor(), {.longest_idle = short_idle}};
    counting_server one{context_};
    counting_server two{context_};
};

} // namespace

// An owner was paused while its order waited for a connection, and wrote it
// after its right had passed to another.
TEST_F(http_pool_test, writes_nothing_once_the_permission_has_ended)
{
    int asked = 0;
    const auto result = ask(one, [&] {
        ++asked;
        return false;
    });
    ASSERT_TRUE(std::holds_alternative<exchange_error>(result));
    EXPECT_EQ(std::get<exchange_error>(result).result, outcome::not_run);
    EXPECT_EQ(asked, 1);
    // The connection carries the next request, and the server saw one only.
    EXPECT_TRUE(
        std::holds_alternative<http_response>(ask(one, [] { return true; })));
    EXPECT_EQ(one.requests, 1);
}

// A host that restarted under its id at once got a lease and an
// acknowledgement that its earlier incarnation was to get.
TEST_F(http_pool_test, request_for_one_process_reaches_no_other)
{
    using bodies = std::vector<std::string>;
    ask_first(one, false);
    ask_first(one, false);
    EXPECT_EQ(one.bodies, (bodies{"question", "request", "request"}));
    one.bodies.clear();
    one.name = "second";
    pool.forget(one.address);
    const auto result = ask_first(one, false);
    ASSERT_TRUE(std::holds_alternative<exchange_error>(result));
    EXPECT_EQ(std::get<exchange_error>(result).result, outcome::not_run);
    EXPECT_EQ(one.bodies, bodies{"question"});
}

TEST_F(http_pool_test, answer_to_the_question_may_suffice)
{
    one.name = "second";
    const auto result = ask_first(one, true);
    ASSERT_TRUE(std::holds_alternative<http_response>(result));
    EXPECT_EQ(std::get<http_response>(result).body(), "second");
    EXPECT_EQ(one.bodies, std::vector<std::string>{"question"});
}

// Hosts that left kept up to eight connections each for as long as the process
// ran; a node of 4,100 descriptors met 2,800 such on a quiet day.
TEST_F(http_pool_test, closes_connections_to_peers_that_nobody_calls_any_more)
{
    ask(one);
    EXPECT_EQ(pool.idle(), 1U);
    std::this_thread::sleep_for(2 * short_idle);
    ask(two);
    EXPECT_EQ(pool.idle(), 1U);
}

} // namespace dandeliontack
