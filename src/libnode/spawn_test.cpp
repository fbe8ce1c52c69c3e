#include "node_fixture.hpp"
#include <dandeliontack/spawn.hpp>

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <stdexcept>

namespace dandeliontack
{

namespace
{

namespace asio = boost::asio;

class spawn_test : public test::node_fixture
{
protected:
    static asio::awaitable<void> fail()
    {
        throw std::out_of_range("unexpected");
        co_return;
    }
};

} // namespace

TEST_F(spawn_test, exception_is_counted_and_calls_handler)
{
    bool handler_called = false;
    spawn(node_, "part", fail(), [&] { handler_called = true; });
    context_.run();
    EXPECT_TRUE(handler_called);
    EXPECT_EQ(
        node_.metrics.get_counter("tack_task_failures_total{task=\"part\"}")
            .value(),
        1U);
}

// Guards against silent loss of a component: coroutines that ended with an
// exception were not restarted or logged, and the node continued without its
// registry or its claims.
TEST_F(spawn_test, spawn_with_restart_restarts_after_exception)
{
    int starts = 0;
    spawn_with_restart(node_, "part", [&]() -> asio::awaitable<void> {
        ++starts;
        if (starts < 3)
            co_await fail();
    });
    context_.run();
    EXPECT_EQ(starts, 3);
}

} // namespace dandeliontack
