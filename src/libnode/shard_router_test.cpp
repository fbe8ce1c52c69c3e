// Tests shard_router against an owner that is slow to answer, as behind a
// narrow link.

#include "node_fixture.hpp"
#include <dandeliontack/http_server.hpp>
#include <dandeliontack/pause.hpp>
#include <dandeliontack/shard_router.hpp>

#include <boost/asio.hpp>
#include <gtest/gtest.h>

namespace dandeliontack
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace std::chrono_literals;

constexpr shard_id shard = 7;
constexpr std::size_t largest_submission_bytes = 256 * 1024;
// What the largest submission takes on a link of 2 Mbit/s, beside little else.
constexpr auto transfer_time = 1200ms;

class slow_owner
{
public:
    explicit slow_owner(asio::io_context& context)
        : server_(
              context.get_executor(), {}, metrics_,
              [this](http_request) { return answer(); }),
          address(server_.listen({"127.0.0.1", 0}))
    {}

    int calls = 0;

private:
    asio::awaitable<http_response> answer()
    {
        ++calls;
        co_await pause_for(co_await asio::this_coro::executor, transfer_time);
        co_return make_response(http::status::ok, "text/plain", {});
    }

    metric_registry metrics_;
    http_server server_;

public:
    endpoint address;
};

class shard_router_test : public test::node_fixture
{
protected:
    shard_router_test()
    {
        owner_record record;
        record.node = "n2";
        record.address = to_string(owner.address);
        record.process_incarnation = incarnation{1, 2};
        record.epoch = 1;
        shards_.apply({owner_key(shard), encode(record), 0}, read_clocks());
    }

    shard_answer
    submit(std::size_t bytes, std::chrono::milliseconds timeout = 10s)
    {
        submission_record record;
        record.spec.text.resize(bytes, 'x');
        shard_call call{shard_call::verb::submit, shard, 1, {}, {}};
        call.record =
            std::make_shared<const submission_record>(std::move(record));
        shard_answer answer;
        bool answered = false;
        asio::co_spawn(
            context_, router_.ask(std::move(call), timeout, 10s),
            [&](const std::exception_ptr&, shard_answer got) {
                answer = std::move(got);
                answered = true;
            });
        while (!answered)
            context_.run_one();
        return answer;
    }

    slow_owner owner{context_};
    shard_map shards_{takeover_timing{}};
    shard_router router_{node_, shards_};
};

} // namespace

// Guards against acting on a call that waited in the socket of a frozen node
// while its sender gave it up.
TEST_F(shard_router_test, call_that_has_waited_too_long_is_not_acted_on)
{
    const auto serve = [this](std::chrono::milliseconds waited) {
        http_request request(
            http::verb::post, "/configuration-version/0/0000000000000000", 11);
        request.set("Tack-Timeout-Ms", "900");
        http_response answer;
        bool answered = false;
        asio::co_spawn(
            context_,
            router_.serve(std::move(request), read_clocks().steady - waited),
            [&](const std::exception_ptr&, http_response got) {
                answer = std::move(got);
                answered = true;
            });
        while (!answered)
            context_.run_one();
        return answer.result();
    };
    EXPECT_EQ(serve(100ms), http::status::not_found);
    EXPECT_EQ(serve(900ms), http::status::misdirected_request);
}

// Guards against an attempt that begins after the time of the request has run
// out, as the process was frozen between two attempts.
TEST_F(shard_router_test, nothing_is_sent_once_the_time_has_run_out)
{
    EXPECT_EQ(submit(1, 0ms).outcome, shard_outcome::rejected);
    EXPECT_EQ(owner.calls, 0);
}

// Guards against a large submission that never gets to its owner: an attempt
// was given up before its bytes had passed a narrow link, and the next one
// began with the first of them.
TEST_F(shard_router_test, large_submission_is_sent_once)
{
    EXPECT_EQ(submit(largest_submission_bytes).outcome, shard_outcome::done);
    EXPECT_EQ(owner.calls, 1);
}

} // namespace dandeliontack
