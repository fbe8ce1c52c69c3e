#include <dandeliontack/answer_times.hpp>

#include <gtest/gtest.h>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;

answer_times after(int answers, std::chrono::milliseconds took)
{
    answer_times times{answer_times::bounds{}};
    for (int i = 0; i < answers; ++i)
        times.observe(took);
    return times;
}

} // namespace

// Pattern of load: three in ten answers of a fast store are lost. An append
// that is repeated after a fixed second would wait longer than an owner's
// right of 1.8 s whenever two in a row are lost.
TEST(answer_times, repeats_soon_while_answers_are_fast)
{
    const auto times = after(20, 4ms);
    EXPECT_EQ(times.timeout(0), 200ms);
    EXPECT_LE(times.timeout(0) + times.timeout(1) + times.timeout(2), 1800ms);
}

TEST(answer_times, waits_longer_with_each_repeat_up_to_the_most)
{
    const auto times = after(20, 4ms);
    EXPECT_EQ(times.timeout(1), 400ms);
    EXPECT_EQ(times.timeout(9), 1000ms);
    EXPECT_EQ(times.timeout(1000), 1000ms);
}

// Pattern of load: a store that turns fifty times as slow. Its answers must
// not be given up for ever.
TEST(answer_times, follows_answers_that_turn_slow)
{
    auto times = after(20, 4ms);
    EXPECT_GT(times.timeout(1), 210ms);
    times.observe(210ms);
    EXPECT_GT(times.timeout(0), 210ms);
    for (int i = 0; i < 50; ++i)
        times.observe(4ms);
    EXPECT_EQ(times.timeout(0), 200ms);
}

TEST(answer_times, waits_the_least_before_the_first_answer)
{
    EXPECT_EQ(after(0, 0ms).timeout(0), 200ms);
}

} // namespace dandeliontack
