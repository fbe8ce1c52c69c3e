// Load: callers that send without bounds, beside ordinary ones.

#include <dandeliontack/buffer_budget.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace
{

using namespace dandeliontack;
using namespace std::chrono_literals;

constexpr std::uint64_t limit = 1000;
const buffer_budget::time_point start{1h};

struct buffer_budget_test : testing::Test
{
    std::unique_ptr<buffer_share> begin(buffer_budget::time_point when)
    {
        auto share = std::make_unique<buffer_share>(budget, [] {});
        share->begin(when);
        return share;
    }

    std::shared_ptr<buffer_budget> budget =
        std::make_shared<buffer_budget>(limit);
};

TEST_F(buffer_budget_test, the_largest_and_slowest_message_gives_way)
{
    const auto slow = begin(start);
    const auto large = begin(start + 9s);
    const auto ordinary = begin(start + 10s);
    slow->hold(400, start);
    large->hold(470, start + 10s);
    EXPECT_TRUE(budget->admits_connection(start + 10s));
    EXPECT_FALSE(ordinary->hold(131, start + 10s));
    EXPECT_TRUE(slow->has_given_up());
    EXPECT_FALSE(large->has_given_up());
    EXPECT_FALSE(ordinary->has_given_up());
    EXPECT_FALSE(ordinary->has_room());
    slow->release();
    EXPECT_TRUE(ordinary->has_room());
    EXPECT_EQ(budget->held(), 601U);
}

TEST_F(buffer_budget_test, new_connections_give_way_first)
{
    const auto share = begin(start);
    share->hold(900, start);
    EXPECT_FALSE(share->has_given_up());
    EXPECT_FALSE(budget->admits_connection(start + 1s));
    // Those that come later find room.
    EXPECT_TRUE(share->has_given_up());
    EXPECT_TRUE(budget->admits_connection(start + 1s));
}

TEST_F(buffer_budget_test, complete_requests_never_give_way)
{
    const auto complete = begin(start);
    complete->hold(limit, start);
    complete->complete();
    const auto other = begin(start + 1s);
    other->hold(100, start + 1s);
    EXPECT_FALSE(complete->has_given_up());
    EXPECT_TRUE(other->has_given_up());
    EXPECT_FALSE(budget->admits_connection(start + 1s));
}

TEST_F(buffer_budget_test, responses_give_way_after_incomplete_messages)
{
    const auto unread = begin(start);
    unread->hold(500, start);
    unread->complete();
    unread->respond(start);
    const auto incomplete = begin(start);
    incomplete->hold(400, start);
    const auto served = begin(start + 1s);
    served->hold(200, start + 1s);
    served->complete();
    EXPECT_TRUE(incomplete->has_given_up());
    EXPECT_FALSE(unread->has_given_up());
    served->hold(600, start + 2s);
    EXPECT_TRUE(unread->has_given_up());
    EXPECT_FALSE(served->has_given_up());
}

RC_GTEST_FIXTURE_PROP(
    buffer_budget_test, incomplete_messages_keep_within_the_limit, ())
{
    constexpr std::size_t count = 10;
    std::vector<std::unique_ptr<buffer_share>> shares;
    shares.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        shares.push_back(begin(start));
    auto now = start;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 10), rc::gen::inRange(0, 800)));
    for (const auto& [which, bytes] : steps)
    {
        auto& share = *shares.at(static_cast<std::size_t>(which));
        now += 1ms;
        if (share.has_given_up())
        {
            share.release();
            share.begin(now);
        }
        share.hold(static_cast<std::uint64_t>(bytes), now);
        RC_ASSERT(budget->held() <= limit);
    }
    shares.clear();
    RC_ASSERT(budget->held() == 0U);
}

} // namespace
