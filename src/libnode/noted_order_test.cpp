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

// Found by the bench on trouble-1 of belfry-ops-grown: after each handover no
// machine that had moved in the last ten seconds was moved for three more.
TEST(noted_order, is_as_old_as_the_last_tick_of_its_holder_shows)
{
    EXPECT_EQ(least_age({4, boot_time(106s), true}, tick, 2s), 4s);
    EXPECT_EQ(least_age({4, boot_time(111s), true}, tick, 2s), 0s);
}

TEST(noted_order, may_be_sent_anew_as_long_as_it_has_not_ended)
{
    EXPECT_EQ(least_age({4, boot_time(101s), false}, tick, 2s), 0s);
}

TEST(noted_order, of_an_earlier_holder_is_older_than_the_last_ones_term)
{
    // The clock of the earlier holder is another one.
    EXPECT_EQ(least_age({3, boot_time(9000s), true}, tick, 2s), 8s);
    EXPECT_EQ(least_age({2, boot_time(1s), false}, tick, 2s), 8s);
    EXPECT_EQ(least_age({2, boot_time(1s), false}, tick, 20s), 0s);
}

TEST(noted_order, may_be_new_where_nothing_shows_its_age)
{
    EXPECT_EQ(least_age({4, boot_time(1s), true}, std::nullopt, 2s), 0s);
    EXPECT_EQ(least_age({5, boot_time(1s), true}, tick, 2s), 0s);
}

// Found by the bench on trouble-1 of teranga-jobs-large: after a loss of all
// power the node that had held the duty took it again, and let hundreds of
// machines rest for three seconds of a turn as if another had ordered them.
TEST(noted_order, of_the_same_node_lets_no_machine_rest)
{
    const noted_order order{4, boot_time(111s), false, "n1"};
    EXPECT_EQ(rest_after(order, tick, 2s, 3s, "n1"), 0s);
    EXPECT_EQ(rest_after(order, tick, 2s, 3s, "n2"), 3s);
    EXPECT_EQ(
        rest_after({4, boot_time(106s), true, "n1"}, tick, 2s, 3s, "n2"), 0s);
}

TEST(noted_order, of_an_unnamed_holder_is_of_another_node)
{
    const auto order = decode_noted_order("4 111000 1");
    ASSERT_TRUE(order);
    EXPECT_EQ(order->holder, "");
    EXPECT_EQ(rest_after(*order, tick, 2s, 3s, "n1"), 3s);
    EXPECT_EQ(rest_after(*order, tick, 2s, 3s, ""), 3s);
}

TEST(noted_order, is_read_back_as_written)
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

RC_GTEST_PROP(noted_order, never_fails_on_any_text, (const std::string& text))
{
    decode_noted_order(text);
    decode_duty_tick(text);
    RC_ASSERT(!decode_noted_order("x" + text));
}

} // namespace dandeliontack
