#include "start_attempts.hpp"

#include <gtest/gtest.h>

namespace dandeliontack
{

TEST(start_attempts, answer_without_lost_attempt_is_final)
{
    const start_attempts attempts;
    EXPECT_EQ(attempts.resolve(start_answer::started), start_answer::started);
    EXPECT_EQ(attempts.resolve(start_answer::no_room), start_answer::no_room);
    EXPECT_EQ(attempts.resolve(start_answer::unknown), std::nullopt);
    EXPECT_EQ(attempts.final_answer(), start_answer::refused);
}

// Guards against two concurrent runs of a task: a host stopped answering after
// the first attempt, the start was withdrawn as if it had not been sent, and
// the host executed it three seconds later while another run was active.
TEST(start_attempts, unanswered_attempt_keeps_start_unresolved)
{
    start_attempts attempts;
    attempts.record_unanswered();
    EXPECT_EQ(attempts.final_answer(), start_answer::unknown);
    EXPECT_EQ(attempts.resolve(start_answer::no_room), std::nullopt);
    EXPECT_EQ(attempts.resolve(start_answer::refused), std::nullopt);
    EXPECT_EQ(attempts.resolve(start_answer::started), start_answer::started);
    EXPECT_EQ(
        attempts.resolve(start_answer::other_incarnation),
        start_answer::other_incarnation);
}

} // namespace dandeliontack
