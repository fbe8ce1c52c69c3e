#include <dandeliontack/host_departure.hpp>

#include <gtest/gtest.h>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;

} // namespace

TEST(host_departure, is_read_as_written)
{
    const auto read = decode_host_departure(encode(host_departure{
        "i-7f3a91c2", owner_moment{7, boot_time(90'123ms)}, 40ms}));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->host, "i-7f3a91c2");
    EXPECT_EQ(read->known_before, (owner_moment{7, boot_time(90'123ms)}));
    EXPECT_EQ(read->age, 40ms);
}

// Nodes of the version before send the id alone.
TEST(host_departure, of_an_earlier_version_names_no_moment)
{
    const auto read = decode_host_departure("i-7f3a91c2");
    ASSERT_TRUE(read);
    EXPECT_EQ(read->host, "i-7f3a91c2");
    EXPECT_FALSE(read->known_before);
}

TEST(host_departure, of_another_form_is_refused)
{
    for (const auto* text :
         {"", " 1 2 3", "a 1", "a 1 2", "a 1 2 x", "a x 1 2", "a 1 2 3 4",
          "a 1 2 -3", "a -1 2 3"})
        EXPECT_FALSE(decode_host_departure(text)) << text;
}

} // namespace dandeliontack
