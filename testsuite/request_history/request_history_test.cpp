// The history checker finds each kind of breach and nothing else.

#include "harness/request_history.hpp"

#include <gtest/gtest.h>

namespace
{

using namespace dandeliontack::harness;

constexpr history_rules planned{};

std::vector<std::string> check(const caller_record& r, unsigned runs)
{
    return check_history({r}, {{r.token, runs}}, planned);
}

TEST(request_history, true_histories_pass)
{
    using list = std::vector<std::string>;
    EXPECT_EQ(
        check({"1-2", true, copy_end::answered, "w1 /r/1-2 "}, 2), list{});
    EXPECT_EQ(
        check({"1-2", false, copy_end::answered, "w1 /r/1-2 1-2"}, 1), list{});
    EXPECT_EQ(check({"1-2", false, copy_end::not_run, ""}, 0), list{});
    EXPECT_EQ(check({"1-2", false, copy_end::unknown, ""}, 1), list{});
    EXPECT_EQ(check({"1-2", false, copy_end::unreached, ""}, 0), list{});
}

TEST(request_history, each_breach_is_found)
{
    // The answer to another request, a truncated one, one without a run.
    EXPECT_EQ(
        check({"1-2", true, copy_end::answered, "w1 /r/1-3 "}, 1).size(), 1U);
    EXPECT_EQ(
        check({"1-2", false, copy_end::answered, "w1 /r/1-2 1-"}, 1).size(),
        1U);
    EXPECT_EQ(
        check({"1-2", true, copy_end::answered, "w1 /r/1-2 "}, 0).size(), 1U);
    EXPECT_EQ(
        check({"1-2", false, copy_end::answered, "w1 /r/1-2 1-2"}, 2).size(),
        1U);
    EXPECT_EQ(check({"1-2", true, copy_end::not_run, ""}, 1).size(), 1U);
    EXPECT_EQ(check({"1-2", true, copy_end::cut, ""}, 1).size(), 1U);
}

} // namespace
