#include <dandeliontack/host_lease.hpp>
#include <dandeliontack/shard_map.hpp>

#include <gtest/gtest.h>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;

node_announcement node(const std::string& name, std::uint64_t life = 1)
{
    node_announcement out;
    out.name = name;
    out.address = "127.0.0.1:1";
    out.life = {life, life};
    out.cpu_milli = 250;
    return out;
}

class shard_map_test : public testing::Test
{
protected:
    void announce(const node_announcement& said)
    {
        map.take({announcement_key(said.name), encode(said), 0}, {now, wall});
    }

    void
    own(shard_id shard, const node_announcement& by, std::uint64_t epoch,
        bool released = false)
    {
        map.take(
            {owner_key(shard),
             encode(
                 owner_record{by.name, by.address, by.life, epoch, released}),
             0},
            {now, wall});
    }

    // Time passes while the registry is read and these nodes announce.
    void pass(
        std::chrono::milliseconds time,
        const std::vector<node_announcement>& alive)
    {
        for (auto spent = 0ms; spent < time; spent += 250ms)
        {
            now += 250ms;
            for (const auto& said : alive)
                announce(said);
            map.confirmed(now);
        }
    }

    std::vector<shard_id> claims(
        const std::set<shard_id>& wanted, const node_announcement& self,
        boot_time at, std::chrono::milliseconds append_delay = {},
        const std::set<shard_id>& held = {})
    {
        return map.to_claim(wanted, {self, held, append_delay}, at);
    }

    shard_map map{takeover_terms{}};
    boot_time now{1h};
    wall_time wall{1000h};
    const node_announcement a = node("a");
    const node_announcement b = node("b");
};

} // namespace

TEST_F(shard_map_test, waits_for_other_nodes_at_the_start)
{
    announce(a);
    map.confirmed(now);
    EXPECT_TRUE(claims({5}, a, now).empty());
    pass(1250ms, {a});
    EXPECT_EQ(claims({5}, a, now), std::vector<shard_id>{5});
}

TEST_F(shard_map_test, spreads_shards_over_nodes)
{
    map.confirmed(now);
    pass(1250ms, {a, b});
    const auto of_a = claims({1, 2, 3, 4}, a, now);
    const auto of_b = claims({1, 2, 3, 4}, b, now);
    EXPECT_EQ(of_a.size(), 2U);
    EXPECT_EQ(of_b.size(), 2U);
    EXPECT_NE(of_a, of_b);
}

TEST_F(shard_map_test, claims_the_shard_of_a_silent_owner)
{
    map.confirmed(now);
    pass(1250ms, {a, b});
    own(5, b, 3);
    EXPECT_TRUE(claims({5}, a, now).empty());
    pass(takeover_terms{}.silence - 50ms, {a});
    EXPECT_TRUE(claims({5}, a, now).empty());
    pass(500ms, {a});
    EXPECT_EQ(claims({5}, a, now), std::vector<shard_id>{5});
    EXPECT_EQ(map.last_epoch(5), 3U);
}

TEST_F(shard_map_test, claims_at_once_where_the_owner_started_anew)
{
    map.confirmed(now);
    pass(1250ms, {a, b});
    own(5, b, 3);
    auto reborn = node("b", 2);
    announce(reborn);
    const auto by_a = claims({5}, a, now);
    const auto by_b = claims({5}, reborn, now);
    EXPECT_EQ(by_a.size() + by_b.size(), 1U);
}

// Found by the property of ownership: a host that started anew has forgotten
// the fencing token, and a past owner with its right could start a task there
// that its successor had started elsewhere.
TEST_F(shard_map_test, takes_nobody_for_lost_who_may_still_give_orders)
{
    EXPECT_GT(takeover_terms{}.silence, lease_terms{}.right);
    map.confirmed(now);
    pass(1250ms, {a, b});
    own(5, b, 3);
    // The last announcement was sent before it is seen.
    pass(lease_terms{}.right, {a});
    EXPECT_TRUE(claims({5}, a, now).empty());
}

// Nobody's announcements are seen while the registry can't be read.
TEST_F(shard_map_test, takes_nobody_for_lost_after_the_store_was_away)
{
    map.confirmed(now);
    pass(1250ms, {a, b});
    own(5, b, 3);
    now += 9s;
    EXPECT_TRUE(claims({5}, a, now).empty());
    announce(a);
    map.confirmed(now);
    EXPECT_TRUE(claims({5}, a, now).empty());
    pass(500ms, {a, b});
    EXPECT_TRUE(claims({5}, a, now).empty());
}

TEST_F(shard_map_test, ignores_an_older_owner_that_arrives_late)
{
    own(5, a, 4);
    own(5, b, 3);
    EXPECT_EQ(map.owner(5)->node, "a");
    own(5, a, 4, true);
    EXPECT_FALSE(map.owner(5));
    EXPECT_FALSE(map.take({owner_key(5), "\xff\xff", 0}, {now, wall}));
}

// Found by the bench on belfry-ops, scale-1: while nodes are restarted one
// after the other, a shard went from one that was to be stopped to the next.
TEST_F(shard_map_test, gives_a_returned_shard_to_the_node_that_started_last)
{
    std::vector<node_announcement> nodes;
    for (const auto* name : {"a", "b", "c", "d"})
        nodes.push_back(node(name));
    for (std::size_t young = 0; young < nodes.size(); ++young)
    {
        auto all = nodes;
        for (std::size_t i = 0; i < all.size(); ++i)
            all[i].epoch = i == young ? 200 : 100;
        shard_map fresh{takeover_terms{}};
        map = fresh;
        map.confirmed(now);
        pass(1250ms, all);
        own(5, node("e"), 3, true);
        EXPECT_EQ(claims({5}, all[young], now), std::vector<shard_id>{5});
    }
}

// Announcements reach the registry on two ways, of which one may be late.
TEST_F(shard_map_test, believes_no_announcement_older_than_the_last)
{
    auto said = node("b", 2);
    said.epoch = 20;
    said.beat = 7;
    announce(said);
    auto past_life = node("b", 1);
    past_life.epoch = 10;
    past_life.beat = 90;
    announce(past_life);
    auto late = said;
    late.beat = 6;
    late.leaving = true;
    announce(late);
    map.confirmed(now);
    ASSERT_EQ(map.alive_nodes(now).size(), 1U);
    EXPECT_EQ(map.alive_nodes(now).front(), said);
}

TEST_F(shard_map_test, waits_for_nodes_that_announce_themselves_seldom)
{
    auto seldom = b;
    seldom.interval = 2s;
    map.confirmed(now);
    pass(1250ms, {a, seldom});
    pass(takeover_terms{}.silent_intervals * 2s - 500ms, {a});
    EXPECT_EQ(map.alive_nodes(now).size(), 2U);
    pass(1000ms, {a});
    EXPECT_EQ(map.alive_nodes(now).size(), 1U);
}

// Pattern of load: a store fifty times as slow. The next in line must not
// claim what the first is about to announce.
TEST_F(shard_map_test, steps_in_later_while_the_store_is_slow)
{
    map.confirmed(now);
    pass(1250ms, {a, b});
    const auto of_a = claims({5}, a, now);
    const auto& second = of_a.empty() ? a : b;
    EXPECT_TRUE(claims({5}, second, now, 600ms).empty());
    pass(2500ms, {a, b});
    EXPECT_TRUE(claims({5}, second, now, 600ms).empty());
    pass(750ms, {a, b});
    EXPECT_EQ(claims({5}, second, now, 600ms), std::vector<shard_id>{5});
}

// Found by the bench on scale-2 of belfry-ops-grown: an owner that was cut off
// from the store went on announcing itself through the holder of the fleet
// duty, and its shard served nobody until the cut healed.
TEST_F(shard_map_test, loses_an_owner_that_can_not_use_the_store)
{
    const takeover_terms terms;
    map.confirmed(now);
    pass(1250ms, {a, b});
    own(5, b, 3);
    store_use of_b{now, {}};
    EXPECT_FALSE(is_cut_off(of_b, now, terms));
    const auto cut = now;
    // Its calls fail from now on, but others would store its announcements.
    while (claims({5}, a, now).empty() && now - cut < 10s)
        pass(
            250ms,
            is_cut_off(of_b, now, terms) ? std::vector{a} : std::vector{a, b});
    EXPECT_LE(now - cut, terms.cut_off + terms.silence + 500ms);
    // One that reads but can't append is cut off as well.
    of_b = {now, {now - terms.cut_off}};
    EXPECT_TRUE(is_cut_off(of_b, now, terms));
}

// An owner that is cut off from the store, and not from the holder of the
// fleet duty, gives up at once instead of being missed.
TEST_F(shard_map_test, claims_at_once_what_a_node_without_the_store_gave_up)
{
    map.confirmed(now);
    pass(1250ms, {a, b});
    own(5, b, 3);
    auto without = b;
    without.beat = 1;
    without.without_store = true;
    announce(without);
    EXPECT_EQ(claims({5}, a, now), std::vector<shard_id>{5});
    EXPECT_EQ(map.alive_nodes(now).size(), 1U);
}

// The registry still names it, as nobody could store anything else.
TEST_F(shard_map_test, claims_anew_what_it_gave_up_itself)
{
    map.confirmed(now);
    pass(1250ms, {b});
    own(5, b, 3);
    EXPECT_TRUE(claims({5}, b, now, {}, {5}).empty());
    EXPECT_EQ(claims({5}, b, now), std::vector<shard_id>{5});
}

TEST_F(shard_map_test, lets_the_next_in_line_step_in)
{
    map.confirmed(now);
    pass(1250ms, {a, b});
    const auto of_a = claims({5}, a, now);
    const auto& second = of_a.empty() ? a : b;
    EXPECT_TRUE(claims({5}, second, now).empty());
    pass(750ms, {a, b});
    EXPECT_EQ(claims({5}, second, now), std::vector<shard_id>{5});
}

// Found by the bench on trouble-3 of teranga-jobs-large: after the kill of all
// nodes a machine that had been removed half a minute before was given shards,
// and the fleet duty, for as long as it takes to notice a node's silence.
TEST_F(shard_map_test, gives_nothing_to_a_node_that_left_before_the_restart)
{
    auto gone = node("0");
    gone.cpu_milli = 4000;
    gone.at = wall - 30s;
    auto alive = a;
    alive.at = wall - 1s;
    announce(gone);
    announce(alive);
    map.confirmed(now);
    pass(500ms, {alive});
    EXPECT_EQ(claims({1, 2, 3}, alive, now).size(), 3U);
}

TEST_F(shard_map_test, counts_on_a_node_again_that_announces_itself)
{
    auto slow_clock = b;
    slow_clock.at = wall - 30s;
    announce(slow_clock);
    announce(a);
    map.confirmed(now);
    EXPECT_EQ(map.alive_nodes(now).size(), 1U);
    announce(slow_clock);
    EXPECT_EQ(map.alive_nodes(now).size(), 2U);
}

} // namespace dandeliontack
