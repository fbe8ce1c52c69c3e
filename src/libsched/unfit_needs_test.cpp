#include "unfit_needs.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dandeliontack
{

namespace
{

resources any_need()
{
    constexpr int most = 20;
    return {
        *rc::gen::inRange(0, most), *rc::gen::inRange(0, most),
        *rc::gen::inRange(0, 3)};
}

} // namespace

TEST(unfit_needs, a_need_is_unfit_if_a_smaller_one_is)
{
    unfit_needs unfit;
    EXPECT_FALSE(unfit.contains({1000, 10, 0}));
    unfit.add({1000, 10, 0});
    EXPECT_TRUE(unfit.contains({1000, 10, 0}));
    EXPECT_TRUE(unfit.contains({2000, 10, 1}));
    EXPECT_FALSE(unfit.contains({2000, 9, 0}));
    EXPECT_FALSE(unfit.contains({999, 100, 0}));
}

RC_GTEST_PROP(unfit_needs, a_need_that_a_host_has_room_for_is_never_unfit, ())
{
    const auto free = any_need();
    unfit_needs unfit;
    const auto tried = *rc::gen::inRange(0, 30);
    for (int i = 0; i < tried; ++i)
        if (const auto need = any_need(); !fits(need, free))
            unfit.add(need);
    for (int i = 0; i < tried; ++i)
        if (const auto need = any_need(); fits(need, free))
            RC_ASSERT(!unfit.contains(need));
}

RC_GTEST_PROP(unfit_needs, what_was_added_stays_unfit, ())
{
    unfit_needs unfit;
    std::vector<resources> added(
        static_cast<std::size_t>(*rc::gen::inRange(0, 30)));
    for (auto& need : added)
    {
        need = any_need();
        unfit.add(need);
    }
    for (const auto& need : added)
        RC_ASSERT(unfit.contains(need));
}

} // namespace dandeliontack
