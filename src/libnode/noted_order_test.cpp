#include <dandeliontack/noted_order.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;

const duty_tick tick{4, boot_time(100s), boot_time(110s)};

} // namespace

// Guards against needless cool-downs: after each handover, no machine that had
// been moved in the previous ten seconds was moved for another three seconds.
TEST(noted_order, min_age_of_ended_order_is_its_age_at_last_tick)
{
    EXPECT_EQ(min_age({4, boot_time(106s), true}, tick, 2s), 4s);
    EXPECT_EQ(min_age({4, boot_time(111s), true}, tick, 2s), 0s);
}

TEST(noted_order, min_age_of_unended_order_is_zero)
{
    EXPECT_EQ(min_age({4, boot_time(101s), false}, tick, 2s), 0s);
}

TEST(noted_order, min_age_under_earlier_epoch_counts_from_takeover)
{
    // The earlier holder's clock is not comparable with the tick's.
    EXPECT_EQ(min_age({3, boot_time(9000s), true}, tick, 2s), 8s);
    EXPECT_EQ(min_age({2, boot_time(1s), false}, tick, 2s), 8s);
    EXPECT_EQ(min_age({2, boot_time(1s), false}, tick, 20s), 0s);
}

TEST(noted_order, min_age_without_matching_tick_is_zero)
{
    EXPECT_EQ(min_age({4, boot_time(1s), true}, std::nullopt, 2s), 0s);
    EXPECT_EQ(min_age({5, boot_time(1s), true}, tick, 2s), 0s);
}

// Guards against needless cool-downs: after a power loss of all nodes, the
// previous holder took the duty again and held back orders for hundreds of
// machines for three seconds, as if another node had sent the earlier ones.
TEST(noted_order, own_order_needs_no_cooldown)
{
    const noted_order order{4, boot_time(111s), false, "n1"};
    EXPECT_EQ(cooldown_left(order, tick, 2s, 3s, "n1"), 0s);
    EXPECT_EQ(cooldown_left(order, tick, 2s, 3s, "n2"), 3s);
    EXPECT_EQ(
        cooldown_left({4, boot_time(106s), true, "n1"}, tick, 2s, 3s, "n2"),
        0s);
}

TEST(noted_order, order_without_holder_needs_cooldown)
{
    const auto order = decode_noted_order("4 111000 1");
    ASSERT_TRUE(order);
    EXPECT_EQ(order->holder, "");
    EXPECT_EQ(cooldown_left(*order, tick, 2s, 3s, "n1"), 3s);
    EXPECT_EQ(cooldown_left(*order, tick, 2s, 3s, ""), 3s);
}

TEST(noted_order, decode_returns_encoded_record)
{
    const auto order =
        decode_noted_order(encode(noted_order{7, boot_time(5s), true, "n 1"}));
    ASSERT_TRUE(order);
    EXPECT_EQ(order->epoch, 7U);
    EXPECT_EQ(order->at, boot_time(5s));
    EXPECT_TRUE(order->ended);
    EXPECT_EQ(order->holder, "n 1");
    const auto back = decode_duty_tick(encode(tick));
    ASSERT_TRUE(back);
    EXPECT_EQ(back->epoch, 4U);
    EXPECT_EQ(back->taken, tick.taken);
    EXPECT_EQ(back->now, tick.now);
}

RC_GTEST_PROP(
    noted_order, decode_accepts_arbitrary_text, (const std::string& text))
{
    decode_noted_order(text);
    decode_duty_tick(text);
    RC_ASSERT(!decode_noted_order("x" + text));
}

} // namespace dandeliontack
