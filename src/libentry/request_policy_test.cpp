#include <dandeliontack/request_queue.hpp>
#include <dandeliontack/retry_budget.hpp>
#include <dandeliontack/slot_share.hpp>
#include <dandeliontack/upstream_health.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace
{

using namespace dandeliontack;
using std::chrono::milliseconds;
using time_point = request_queue::time_point;

time_point at(std::int64_t ms)
{
    return time_point(milliseconds(ms));
}

RC_GTEST_PROP(slot_share, shares_add_up_to_the_slots, ())
{
    const auto slots = *rc::gen::inRange<std::uint64_t>(0, 100);
    const auto sharers = *rc::gen::inRange<std::uint64_t>(1, 20);
    const auto worker = *rc::gen::arbitrary<std::string>();
    std::uint64_t sum = 0;
    for (std::uint64_t i = 0; i < sharers; ++i)
        sum += slot_share(slots, sharers, i, worker);
    RC_ASSERT(sum == slots);
}

RC_GTEST_PROP(request_queue, a_burst_takes_no_room_from_other_classes, ())
{
    const auto limit = *rc::gen::inRange<std::size_t>(1, 20);
    request_queue queue(limit);
    for (std::uint64_t i = 0; i < 3 * limit; ++i)
    {
        const auto result =
            queue.push(i, request_class::deferrable, at(100), at(0), {});
        RC_ASSERT((result == push_result::queued) == (i < limit));
    }
    RC_ASSERT(
        queue.push(1000, request_class::urgent, at(100), at(0), {}) ==
        push_result::queued);
    RC_ASSERT(queue.pop() == 1000U);
}

// While all classes wait, each gets a slot within one full turn.
TEST(request_queue, no_class_is_starved)
{
    request_queue queue(100);
    for (std::uint64_t i = 0; i < 60; ++i)
        queue.push(
            i, static_cast<request_class>(i % request_classes), at(100), at(0),
            {});
    std::vector<std::uint64_t> taken(request_classes);
    for (int i = 0; i < 13; ++i)
        ++taken[queue.pop().value() % request_classes];
    EXPECT_EQ(taken, (std::vector<std::uint64_t>{8, 4, 1}));
}

RC_GTEST_PROP(request_queue, pops_each_once_and_by_deadline, ())
{
    const auto deadlines =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 1000));
    request_queue queue(deadlines.size() + 1);
    for (std::size_t i = 0; i < deadlines.size(); ++i)
        queue.push(i, request_class::normal, at(deadlines[i]), at(0), {});
    int last = 0;
    std::size_t popped = 0;
    while (const auto id = queue.pop())
    {
        RC_ASSERT(deadlines[*id] >= last);
        last = deadlines[*id];
        ++popped;
    }
    RC_ASSERT(popped == deadlines.size());
}

TEST(request_queue, refuses_what_would_be_late)
{
    request_queue queue(100);
    const auto push = [&](std::uint64_t id, std::int64_t deadline) {
        return queue.push(
            id, request_class::normal, at(deadline), at(0), milliseconds(10));
    };
    EXPECT_EQ(push(1, 10), push_result::queued);
    EXPECT_EQ(push(2, 19), push_result::too_late);
    EXPECT_EQ(push(3, 20), push_result::queued);
    queue.remove(1, request_class::normal, at(10));
    EXPECT_EQ(queue.pop(), 3U);
    EXPECT_TRUE(queue.empty());
}

RC_GTEST_PROP(retry_budget, retries_stay_a_share_of_the_requests, ())
{
    retry_budget budget;
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    for (const bool request : *rc::gen::arbitrary<std::vector<bool>>())
    {
        if (request)
        {
            budget.count_request();
            ++requests;
        }
        else if (budget.take_retry())
            ++retries;
        RC_ASSERT(
            retries <= retry_budget::most_saved +
                           requests / retry_budget::requests_per_retry);
    }
}

TEST(upstream_health, an_upstream_that_fails_fast_attracts_no_traffic)
{
    const endpoint worker{"10.0.0.1", 80};
    upstream_health health;
    health.failed(worker, at(0));
    health.failed(worker, at(0));
    EXPECT_EQ(health.limit(worker, 8, at(0)), 8U);
    health.failed(worker, at(0));
    EXPECT_EQ(health.limit(worker, 8, at(499)), 0U);
    EXPECT_EQ(health.limit(worker, 8, at(500)), 1U);
    health.failed(worker, at(500));
    EXPECT_EQ(health.limit(worker, 8, at(1499)), 0U);
    EXPECT_EQ(health.limit(worker, 8, at(1500)), 1U);
    health.succeeded(worker);
    EXPECT_EQ(health.limit(worker, 8, at(1500)), 8U);
}

TEST(upstream_health, an_upstream_that_leaves_gets_nothing)
{
    const endpoint worker{"10.0.0.1", 80};
    upstream_health health;
    health.leaves(worker, at(0));
    EXPECT_EQ(health.limit(worker, 8, at(29'999)), 0U);
    EXPECT_EQ(health.limit(worker, 8, at(30'000)), 8U);
}

} // namespace
