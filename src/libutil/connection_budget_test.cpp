#include <dandeliontack/connection_budget.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace
{

using namespace dandeliontack;

TEST(connection_budget, a_crowd_on_one_address_leaves_the_others_their_part)
{
    const auto budget = std::make_shared<connection_budget>(10);
    connection_part flooded(budget, 2);
    connection_part other(budget, 3);
    std::size_t taken = 0;
    while (flooded.take())
        ++taken;
    EXPECT_EQ(taken, 7U);
    for (int i = 0; i < 3; ++i)
        EXPECT_TRUE(other.take());
    EXPECT_FALSE(other.take());
    flooded.give_back();
    EXPECT_TRUE(other.take());
}

RC_GTEST_PROP(connection_budget, all_parts_keep_within_the_budget, ())
{
    constexpr std::size_t most = 20;
    const auto budget = std::make_shared<connection_budget>(most);
    std::vector<std::unique_ptr<connection_part>> parts;
    for (const std::size_t guaranteed : {5U, 3U, 30U})
        parts.push_back(std::make_unique<connection_part>(budget, guaranteed));
    const auto steps = *rc::gen::container<std::vector<std::pair<int, bool>>>(
        rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::arbitrary<bool>()));
    for (const auto& [which, takes] : steps)
    {
        auto& part = *parts.at(static_cast<std::size_t>(which));
        if (takes)
            part.take();
        else if (part.taken() > 0)
            part.give_back();
        std::size_t sum = 0;
        for (const auto& one : parts)
            sum += one->taken();
        RC_ASSERT(sum <= most);
    }
}

} // namespace
