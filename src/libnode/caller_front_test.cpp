#include "node_fixture.hpp"
#include <dandeliontack/caller_front.hpp>

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace dandeliontack
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace std::chrono_literals;

std::shared_ptr<const queue_table> table_of(std::uint64_t version)
{
    queue_table table;
    table.version = version;
    return std::make_shared<const queue_table>(std::move(table));
}

class caller_front_test : public test::node_fixture
{
protected:
    http_response
    ask(const std::string& path, boot_time arrived = read_clocks().steady)
    {
        http_request request(http::verb::get, path, 11);
        request.set(http::field::host, "reg.example");
        http_response answer;
        asio::co_spawn(
            context_, front.handle(std::move(request), arrived),
            [&](const std::exception_ptr&, http_response got) {
                answer = std::move(got);
            });
        context_.run();
        context_.restart();
        return answer;
    }

    shard_map shards{takeover_timing{}};
    shard_router router{node_, shards};
    configuration_relay configurations{
        relay_terms_of(3000ms), read_clocks().steady};
    caller_front front{node_, router, configurations};
};

} // namespace

// Guards against callers being told that a queue does not exist by a node that
// has not heard of the configuration that added it.
TEST_F(caller_front_test, node_that_may_be_outdated_denies_no_queue)
{
    front.set_table(table_of(1));
    const auto unsure = ask("/checks/");
    EXPECT_EQ(unsure.result(), http::status::service_unavailable);
    EXPECT_FALSE(unsure[http::field::retry_after].empty());
    configurations.mark_read(read_clocks().steady);
    EXPECT_EQ(ask("/checks/").result(), http::status::not_found);
    const auto now = read_clocks().steady;
    EXPECT_FALSE(configurations.is_overdue(now));
    EXPECT_TRUE(configurations.is_overdue(now + 3000ms));
}

// Guards against acting on a request that waited in its socket while this
// process was frozen, and whose caller has left.
TEST_F(
    caller_front_test,
    request_that_has_waited_longer_than_its_caller_is_refused)
{
    queue_table table;
    table.version = 1;
    table.queues.emplace_back().path_prefix = "/checks/";
    table.queues.back().host = "reg.example";
    table.queues.back().is_public = true;
    front.set_table(std::make_shared<const queue_table>(std::move(table)));
    shards.mark_caught_up(read_clocks().steady);
    shards.set_layout({});
    const auto late = ask("/checks/", read_clocks().steady - 4000ms);
    EXPECT_EQ(late.result(), http::status::service_unavailable);
    EXPECT_NE(late.body().find("request expired"), std::string::npos);
    EXPECT_NE(late.body().find("not-run"), std::string::npos);
    const auto in_time = ask("/checks/");
    EXPECT_EQ(in_time.body().find("request expired"), std::string::npos);
}

// Guards against callers being told that their key belongs to nobody by a node
// that has not heard of the configuration that added the account.
TEST_F(caller_front_test, node_that_may_be_outdated_refuses_no_key)
{
    queue_table table;
    table.version = 1;
    table.accounts = std::make_shared<const account_table>();
    table.queues.emplace_back().path_prefix = "/checks/";
    table.queues.back().host = "reg.example";
    front.set_table(std::make_shared<const queue_table>(std::move(table)));
    EXPECT_EQ(ask("/checks/").result(), http::status::service_unavailable);
    configurations.mark_read(read_clocks().steady);
    EXPECT_EQ(ask("/checks/").result(), http::status::unauthorized);
}

// Guards against going back: configurations arrive from the store's log, from
// its list of the newest and from other nodes, in any order.
RC_GTEST_FIXTURE_PROP(
    caller_front_test, configuration_in_force_never_goes_back, ())
{
    std::uint64_t newest = 0;
    const auto arrivals = *rc::gen::container<std::vector<std::uint64_t>>(
        rc::gen::inRange<std::uint64_t>(1, 30));
    for (const auto version : arrivals)
    {
        front.set_table(table_of(version));
        newest = std::max(newest, version);
        RC_ASSERT(front.table()->version == newest);
    }
}

} // namespace dandeliontack
