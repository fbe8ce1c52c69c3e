#include <dandeliontack/withdrawn_submissions.hpp>

#include <gtest/gtest.h>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;

constexpr auto retention = 180s;
constexpr std::size_t most = 3;
constexpr boot_time begin{1h};

} // namespace

// Guards against a flood of cancels that fills the memory, and against room
// that is never free again.
TEST(withdrawn_submissions, are_kept_for_a_time_and_up_to_a_number)
{
    withdrawn_submissions withdrawn(retention, most);
    for (std::uint64_t id = 1; id <= most; ++id)
        EXPECT_TRUE(withdrawn.add(id, "acme", begin));
    EXPECT_FALSE(withdrawn.add(9, "acme", begin));
    // A repeated cancel needs no room, and is kept from then on.
    EXPECT_TRUE(withdrawn.add(1, "acme", begin + 100s));
    EXPECT_EQ(withdrawn.take_records(begin + 100s).size(), most);
    EXPECT_EQ(withdrawn.take_records(begin + 200s).size(), most - 1);
    EXPECT_TRUE(withdrawn.contains(1, "acme"));
    EXPECT_FALSE(withdrawn.contains(2, "acme"));
    EXPECT_TRUE(withdrawn.add(9, "acme", begin + 200s));
}

// Guards against an account that keeps others from submitting.
TEST(withdrawn_submissions, concern_one_account)
{
    withdrawn_submissions withdrawn(retention, most);
    withdrawn.add(1, "acme", begin);
    EXPECT_TRUE(withdrawn.contains(1, "acme"));
    EXPECT_FALSE(withdrawn.contains(1, "other"));
    EXPECT_FALSE(withdrawn.contains(1, ""));
}

// Guards against a successor that accepts what was cancelled under its
// predecessor.
TEST(withdrawn_submissions, are_known_to_the_next_owner)
{
    withdrawn_submissions withdrawn(retention, most);
    withdrawn.add(0x1234, "acme", begin);
    withdrawn.add(0xfedcba9876543210, "", begin);
    withdrawn_submissions next(retention, most);
    for (const auto& record : withdrawn.take_records(begin))
        EXPECT_TRUE(next.restore(record, begin));
    EXPECT_FALSE(withdrawn.has_records());
    EXPECT_TRUE(next.contains(0x1234, "acme"));
    EXPECT_TRUE(next.contains(0xfedcba9876543210, ""));
    EXPECT_FALSE(next.contains(0x1234, ""));
    for (const auto* key :
         {"s/0000000000001234", "w/", "w/0000000000001234",
          "w/0000000000001234.", "w/0000000000001234.x", "w/123.4"})
        EXPECT_FALSE(next.restore({key, "1", 0}, begin)) << key;
}

} // namespace dandeliontack
