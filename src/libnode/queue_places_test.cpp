// Tests the search for a submission in all shards that may hold it, and the
// forms in which nodes tell each other about these shards.

#include <dandeliontack/queue_places.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dandeliontack
{

// Guards against a search that ends before a shard that an owner has named was
// asked, or that was asked under an older configuration only.
TEST(place_search, goes_on_until_all_are_asked_under_the_newest_version)
{
    place_search search(3);
    search.add(7);
    search.add(9);
    EXPECT_EQ(search.unasked(), (std::vector<shard_id>{7, 9}));
    search.mark_asked({7, 9});
    EXPECT_TRUE(search.unasked().empty());
    search.add(8);
    EXPECT_EQ(search.unasked(), std::vector<shard_id>{8});
    search.hear_of(2);
    search.raise_version();
    EXPECT_EQ(search.unasked(), std::vector<shard_id>{8});
    search.hear_of(4);
    EXPECT_EQ(search.unasked(), std::vector<shard_id>{8});
    search.raise_version();
    EXPECT_EQ(search.unasked(), (std::vector<shard_id>{7, 8, 9}));
    EXPECT_EQ(search.asked(), (asked_shards{4, {}}));
}

// Guards against shards or versions that are lost or changed on their way to
// another node.
RC_GTEST_PROP(queue_places, decoded_as_encoded, ())
{
    queue_places places{*rc::gen::arbitrary<std::uint64_t>(), {}};
    for (const auto shard : *rc::gen::arbitrary<std::vector<shard_id>>())
    {
        queue_place place{shard, {}};
        if (*rc::gen::arbitrary<bool>())
            place.owner = owner_record{"n1", "127.0.0.1:1", {1, 2}, 3, false};
        places.places.push_back(place);
    }
    const auto decoded = decode_queue_places(encode(places));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(*decoded == places);
    const asked_shards asked{
        places.version, *rc::gen::arbitrary<std::set<shard_id>>()};
    const auto decoded_asked = decode_asked_shards(encode(asked));
    RC_ASSERT(decoded_asked.has_value());
    RC_ASSERT(*decoded_asked == asked);
}

// Guards against taking a malformed list for one of fewer shards.
TEST(queue_places, malformed_text_is_refused)
{
    for (const auto* text :
         {"", " ", "x", "1 x", "1  2", "-1", "1 99999999999", "1,2", "1 2x"})
        EXPECT_FALSE(decode_asked_shards(text)) << text;
    EXPECT_FALSE(decode_queue_places("\xff\xff"));
}

} // namespace dandeliontack
