#include <dandeliontack/stall_watch.hpp>

#include <gtest/gtest.h>

namespace dandeliontack
{

using namespace std::chrono_literals;

// Guards against taking a request that waited in its socket while the process
// was frozen for one that has just come.
TEST(stall_watch, what_is_read_after_a_stall_may_have_come_before)
{
    stall_watch watch;
    boot_time now{1h};
    EXPECT_EQ(watch.earliest_arrival(now), now);
    for (int i = 0; i < 5; ++i)
    {
        EXPECT_EQ(watch.beat(now), 0ms);
        EXPECT_EQ(watch.earliest_arrival(now), now);
        now += stall_watch::beat_interval;
    }
    const auto last = now - stall_watch::beat_interval;
    now += 4s;
    // Whether the beat or the read comes first.
    EXPECT_EQ(watch.earliest_arrival(now), last);
    EXPECT_EQ(watch.beat(now), now - last);
    EXPECT_EQ(watch.earliest_arrival(now), last);
    for (int i = 0; i < 3; ++i)
    {
        now += stall_watch::beat_interval;
        EXPECT_EQ(watch.beat(now), 0ms);
    }
    EXPECT_EQ(watch.earliest_arrival(now), now);
}

} // namespace dandeliontack
