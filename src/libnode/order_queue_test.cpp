#include <dandeliontack/order_queue.hpp>

#include <gtest/gtest.h>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;

const task_ref task{1, 0, 0, 0};

} // namespace

// Guards against stops that pile up while a host does not answer: each was
// queued again every 500 ms, and all were sent once the host answered.
TEST(order_queue, repeated_stop_is_queued_once)
{
    order_queue queue;
    EXPECT_TRUE(queue.push(pool_effect::stop{"a", 1ms, task, 1, "reason"}));
    EXPECT_FALSE(queue.push(pool_effect::stop{"a", 1ms, task, 1, "again"}));
    EXPECT_TRUE(queue.push(pool_effect::stop{"a", 1ms, task, 2, "reason"}));
    EXPECT_EQ(queue.size(), 2U);
    queue.pop();
    EXPECT_TRUE(queue.push(pool_effect::stop{"a", 1ms, task, 1, "later"}));
}

TEST(order_queue, newest_pace_of_a_run_replaces_the_queued_one)
{
    order_queue queue;
    queue.push(pool_effect::start{"a", 1ms, task, 1, {}, {}});
    EXPECT_TRUE(queue.push(pool_effect::pace{"a", 1ms, task, 1, 40}));
    EXPECT_FALSE(queue.push(pool_effect::pace{"a", 1ms, task, 1, 20}));
    EXPECT_TRUE(std::holds_alternative<pool_effect::start>(*queue.pop()));
    EXPECT_EQ(std::get<pool_effect::pace>(*queue.pop()).percent, 20U);
    EXPECT_FALSE(queue.pop());
}

} // namespace dandeliontack
