#include "start_attempts.hpp"

#include <gtest/gtest.h>

namespace dandeliontack
{

TEST(start_attempts, settles_what_a_host_says_at_once)
{
    const start_attempts attempts;
    EXPECT_EQ(attempts.settle(start_answer::started), start_answer::started);
    EXPECT_EQ(attempts.settle(start_answer::no_room), start_answer::no_room);
    EXPECT_EQ(attempts.settle(start_answer::unknown), std::nullopt);
    EXPECT_EQ(attempts.give_up(), start_answer::refused);
}

// Found by the bench on hosts-and-freeze: a host fell silent after the first
// try, the start was withdrawn as if nothing had been sent, and was carried out
// three seconds later beside another run of its task.
TEST(start_attempts, withdraws_nothing_that_may_still_be_carried_out)
{
    start_attempts attempts;
    attempts.unanswered();
    EXPECT_EQ(attempts.give_up(), start_answer::unknown);
    EXPECT_EQ(attempts.settle(start_answer::no_room), std::nullopt);
    EXPECT_EQ(attempts.settle(start_answer::refused), std::nullopt);
    EXPECT_EQ(attempts.settle(start_answer::started), start_answer::started);
    EXPECT_EQ(
        attempts.settle(start_answer::other_life), start_answer::other_life);
}

} // namespace dandeliontack
