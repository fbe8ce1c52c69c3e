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

TEST_F(spawn_test, says_that_a_part_has_failed)
{
    bool told = false;
    spawn(node_, "part", fail(), [&] { told = true; });
    context_.run();
    EXPECT_TRUE(told);
    EXPECT_EQ(
        node_.metrics.get_counter("tack_task_failures_total{task=\"part\"}")
            .value(),
        1U);
}

// Coroutines that ended by an exception were dropped without a word: the node
// went on without its registry or its claims.
TEST_F(spawn_test, begins_anew_what_must_go_on)
{
    int begun = 0;
    spawn_for_good(node_, "part", [&]() -> asio::awaitable<void> {
        ++begun;
        if (begun < 3)
            co_await fail();
    });
    context_.run();
    EXPECT_EQ(begun, 3);
}

} // namespace dandeliontack
