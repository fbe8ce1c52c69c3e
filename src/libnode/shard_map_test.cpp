#include <dandeliontack/host_lease.hpp>
#include <dandeliontack/shard_map.hpp>

#include <gtest/gtest.h>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;

node_announcement node(const std::string& name, std::uint64_t number = 1)
{
    node_announcement out;
    out.name = name;
    out.address = "127.0.0.1:1";
    out.process_incarnation = {number, number};
    out.cpu_milli = 250;
    return out;
}

class shard_map_test : public testing::Test
{
protected:
    void announce(const node_announcement& announcement)
    {
        map.apply(
            {announcement_key(announcement.name), encode(announcement), 0},
            {now, wall});
    }

    void set_owner(
        shard_id shard, const node_announcement& by, std::uint64_t epoch,
        bool released = false)
    {
        map.apply(
            {owner_key(shard),
             encode(owner_record{
                 by.name, by.address, by.process_incarnation, epoch, released}),
             0},
            {now, wall});
    }

    // Advances the clock while the registry is read and these nodes announce
    // themselves.
    void advance(
        std::chrono::milliseconds time,
        const std::vector<node_announcement>& alive)
    {
        for (auto spent = 0ms; spent < time; spent += 250ms)
        {
            now += 250ms;
            for (const auto& announcement : alive)
                announce(announcement);
            map.mark_caught_up(now);
        }
    }

    std::vector<shard_id> claims(
        const std::set<shard_id>& wanted, const node_announcement& self,
        boot_time at, std::chrono::milliseconds append_delay = {},
        const std::set<shard_id>& held = {})
    {
        return map.shards_to_claim(wanted, {self, held, append_delay}, at);
    }

    shard_map map{takeover_timing{}};
    boot_time now{1h};
    wall_time wall{1000h};
    const node_announcement a = node("a");
    const node_announcement b = node("b");
};

} // namespace

TEST_F(shard_map_test, claims_nothing_during_startup_delay)
{
    announce(a);
    map.mark_caught_up(now);
    EXPECT_TRUE(claims({5}, a, now).empty());
    advance(1250ms, {a});
    EXPECT_EQ(claims({5}, a, now), std::vector<shard_id>{5});
}

TEST_F(shard_map_test, distributes_shards_evenly_over_equal_nodes)
{
    map.mark_caught_up(now);
    advance(1250ms, {a, b});
    const auto of_a = claims({1, 2, 3, 4}, a, now);
    const auto of_b = claims({1, 2, 3, 4}, b, now);
    EXPECT_EQ(of_a.size(), 2U);
    EXPECT_EQ(of_b.size(), 2U);
    EXPECT_NE(of_a, of_b);
}

TEST_F(shard_map_test, claims_shard_after_owner_times_out)
{
    map.mark_caught_up(now);
    advance(1250ms, {a, b});
    set_owner(5, b, 3);
    EXPECT_TRUE(claims({5}, a, now).empty());
    advance(takeover_timing{}.node_timeout - 50ms, {a});
    EXPECT_TRUE(claims({5}, a, now).empty());
    advance(500ms, {a});
    EXPECT_EQ(claims({5}, a, now), std::vector<shard_id>{5});
    EXPECT_EQ(map.last_epoch(5), 3U);
}

TEST_F(shard_map_test, claims_shard_at_once_after_owner_restart)
{
    map.mark_caught_up(now);
    advance(1250ms, {a, b});
    set_owner(5, b, 3);
    auto restarted = node("b", 2);
    announce(restarted);
    const auto by_a = claims({5}, a, now);
    const auto by_b = claims({5}, restarted, now);
    EXPECT_EQ(by_a.size() + by_b.size(), 1U);
}

// Regression test: a host loses the fencing token when it restarts. A
// previous owner that was still allowed to act could then start a task there
// that its successor had already started elsewhere. Found by the ownership
// property test.
TEST_F(shard_map_test, does_not_claim_while_owner_may_still_act)
{
    EXPECT_GT(takeover_timing{}.node_timeout, lease_terms{}.claim_validity);
    map.mark_caught_up(now);
    advance(1250ms, {a, b});
    set_owner(5, b, 3);
    // The owner's time to act is counted from sending its last announcement,
    // which is earlier than when it is read here.
    advance(lease_terms{}.claim_validity, {a});
    EXPECT_TRUE(claims({5}, a, now).empty());
}

// No node's announcements are seen while the registry can't be read, so none
// must time out for that.
TEST_F(shard_map_test, restarts_node_timeout_after_registry_read_gap)
{
    map.mark_caught_up(now);
    advance(1250ms, {a, b});
    set_owner(5, b, 3);
    now += 9s;
    EXPECT_TRUE(claims({5}, a, now).empty());
    announce(a);
    map.mark_caught_up(now);
    EXPECT_TRUE(claims({5}, a, now).empty());
    advance(500ms, {a, b});
    EXPECT_TRUE(claims({5}, a, now).empty());
}

// Guards against a node that has nobody left to ask: in a longer loss of the
// store all others count as failed, as it can't read their announcements.
TEST_F(shard_map_test, nodes_of_the_last_read_stay_known_without_the_store)
{
    advance(1s, {a, b});
    now += 1min;
    EXPECT_TRUE(map.alive_nodes(now).empty());
    const auto known = map.last_read_nodes();
    ASSERT_EQ(known.size(), 2U);
    EXPECT_EQ(known.front().name, "a");
    EXPECT_EQ(known.back().name, "b");
}

TEST_F(shard_map_test, ignores_owner_record_with_older_epoch)
{
    set_owner(5, a, 4);
    set_owner(5, b, 3);
    EXPECT_EQ(map.owner(5)->node, "a");
    set_owner(5, a, 4, true);
    EXPECT_FALSE(map.owner(5));
    EXPECT_FALSE(map.apply({owner_key(5), "\xff\xff", 0}, {now, wall}));
}

// Found on bench day scale-1 of belfry-ops: during a rolling restart a shard
// moved from one node that was about to be stopped to the next.
TEST_F(shard_map_test, assigns_released_shard_to_last_started_node)
{
    std::vector<node_announcement> nodes;
    for (const auto* name : {"a", "b", "c", "d"})
        nodes.push_back(node(name));
    for (std::size_t youngest = 0; youngest < nodes.size(); ++youngest)
    {
        auto all = nodes;
        for (std::size_t i = 0; i < all.size(); ++i)
            all[i].epoch = i == youngest ? 200 : 100;
        shard_map fresh{takeover_timing{}};
        map = fresh;
        map.mark_caught_up(now);
        advance(1250ms, all);
        set_owner(5, node("e"), 3, true);
        EXPECT_EQ(claims({5}, all[youngest], now), std::vector<shard_id>{5});
    }
}

// A node stores its announcement itself or through the holder of the fleet
// duty, so an older one may be stored after a newer one.
TEST_F(shard_map_test, ignores_announcement_older_than_the_known_one)
{
    auto announcement = node("b", 2);
    announcement.epoch = 20;
    announcement.sequence = 7;
    announce(announcement);
    auto past_life = node("b", 1);
    past_life.epoch = 10;
    past_life.sequence = 90;
    announce(past_life);
    auto late = announcement;
    late.sequence = 6;
    late.leaving = true;
    announce(late);
    map.mark_caught_up(now);
    ASSERT_EQ(map.alive_nodes(now).size(), 1U);
    EXPECT_EQ(map.alive_nodes(now).front(), announcement);
}

TEST_F(shard_map_test, extends_node_timeout_for_long_announcement_interval)
{
    auto infrequent = b;
    infrequent.interval = 2s;
    map.mark_caught_up(now);
    advance(1250ms, {a, infrequent});
    advance(takeover_timing{}.missed_intervals * 2s - 500ms, {a});
    EXPECT_EQ(map.alive_nodes(now).size(), 2U);
    advance(1000ms, {a});
    EXPECT_EQ(map.alive_nodes(now).size(), 1U);
}

// With a store that is fifty times slower, the second candidate must not claim
// a shard that the first one is about to announce.
TEST_F(shard_map_test, second_candidate_waits_longer_while_store_is_slow)
{
    map.mark_caught_up(now);
    advance(1250ms, {a, b});
    const auto of_a = claims({5}, a, now);
    const auto& second = of_a.empty() ? a : b;
    EXPECT_TRUE(claims({5}, second, now, 600ms).empty());
    advance(2500ms, {a, b});
    EXPECT_TRUE(claims({5}, second, now, 600ms).empty());
    advance(750ms, {a, b});
    EXPECT_EQ(claims({5}, second, now, 600ms), std::vector<shard_id>{5});
}

// Found on bench day scale-2 of belfry-ops-grown: an owner without access to
// the store kept announcing itself through the holder of the fleet duty, so its
// shard was unavailable until the partition healed.
TEST_F(shard_map_test, claims_shard_of_owner_that_lost_the_store)
{
    const takeover_timing timing;
    map.mark_caught_up(now);
    advance(1250ms, {a, b});
    set_owner(5, b, 3);
    store_health of_b{now, {}};
    EXPECT_FALSE(has_lost_store(of_b, now, timing));
    const auto cut = now;
    // Its calls to the store fail from now on, but other nodes can still store
    // its announcements.
    while (claims({5}, a, now).empty() && now - cut < 10s)
        advance(
            250ms, has_lost_store(of_b, now, timing) ? std::vector{a}
                                                     : std::vector{a, b});
    EXPECT_LE(now - cut, timing.store_timeout + timing.node_timeout + 500ms);
    // A node that can read but not append has lost the store as well.
    of_b = {now, {now - timing.store_timeout}};
    EXPECT_TRUE(has_lost_store(of_b, now, timing));
}

// An owner that can reach the holder of the fleet duty but not the store
// announces that it gave up its shards; others need not wait for its timeout.
TEST_F(shard_map_test, claims_at_once_from_node_announced_without_store)
{
    map.mark_caught_up(now);
    advance(1250ms, {a, b});
    set_owner(5, b, 3);
    auto without = b;
    without.sequence = 1;
    without.without_store = true;
    announce(without);
    EXPECT_EQ(claims({5}, a, now), std::vector<shard_id>{5});
    EXPECT_EQ(map.alive_nodes(now).size(), 1U);
}

// The registry still names the node as the owner, as it could not store the
// release.
TEST_F(shard_map_test, reclaims_shard_that_it_gave_up_itself)
{
    map.mark_caught_up(now);
    advance(1250ms, {b});
    set_owner(5, b, 3);
    EXPECT_TRUE(claims({5}, b, now, {}, {5}).empty());
    EXPECT_EQ(claims({5}, b, now), std::vector<shard_id>{5});
}

TEST_F(shard_map_test, second_candidate_claims_after_stagger)
{
    map.mark_caught_up(now);
    advance(1250ms, {a, b});
    const auto of_a = claims({5}, a, now);
    const auto& second = of_a.empty() ? a : b;
    EXPECT_TRUE(claims({5}, second, now).empty());
    advance(750ms, {a, b});
    EXPECT_EQ(claims({5}, second, now), std::vector<shard_id>{5});
}

// Found on bench day trouble-3 of teranga-jobs-large: after all nodes had
// been killed, a machine that had been removed half a minute before was
// assigned shards and the fleet duty until its node timeout.
TEST_F(shard_map_test, assigns_nothing_to_node_with_outdated_announcement)
{
    auto gone = node("0");
    gone.cpu_milli = 4000;
    gone.at = wall - 30s;
    auto alive = a;
    alive.at = wall - 1s;
    announce(gone);
    announce(alive);
    map.mark_caught_up(now);
    advance(500ms, {alive});
    EXPECT_EQ(claims({1, 2, 3}, alive, now).size(), 3U);
}

TEST_F(
    shard_map_test, node_is_alive_after_second_announcement_despite_slow_clock)
{
    auto slow_clock = b;
    slow_clock.at = wall - 30s;
    announce(slow_clock);
    announce(a);
    map.mark_caught_up(now);
    EXPECT_EQ(map.alive_nodes(now).size(), 1U);
    announce(slow_clock);
    EXPECT_EQ(map.alive_nodes(now).size(), 2U);
}

// Load pattern: an owner loses the store in its pool's load peak, and tells the
// others that it has given the shard up. The shard is claimed at once, and not
// only when the owner's announcements have stopped for `node_timeout`.
TEST_F(shard_map_test, claims_shard_as_soon_as_its_owner_gives_it_up)
{
    map.mark_caught_up(now);
    advance(1250ms, {a, b});
    set_owner(5, b, 3);
    EXPECT_TRUE(claims({5}, a, now).empty());
    set_owner(5, b, 3, true);
    EXPECT_EQ(claims({5}, a, now), std::vector<shard_id>{5});
    EXPECT_EQ(map.last_epoch(5), 3U);
}

// The node that gave it up has the least load then, and still counts as alive.
TEST_F(shard_map_test, node_that_released_a_shard_is_its_last_candidate)
{
    map.mark_caught_up(now);
    advance(1250ms, {a, b});
    set_owner(1, a, 1);
    set_owner(2, a, 1);
    set_owner(5, b, 3);
    set_owner(5, b, 3, true);
    EXPECT_EQ(claims({1, 2, 5}, a, now, {}, {1, 2}), std::vector<shard_id>{5});
    EXPECT_TRUE(claims({1, 2, 5}, b, now).empty());
    advance(takeover_timing{}.stagger, {a, b});
    EXPECT_EQ(claims({1, 2, 5}, b, now), std::vector<shard_id>{5});
}

// The registry may still hold the owner's record when its release is known.
TEST_F(shard_map_test, release_outlasts_an_older_record_of_the_same_epoch)
{
    map.mark_caught_up(now);
    advance(1250ms, {a, b});
    set_owner(5, b, 3, true);
    set_owner(5, b, 3);
    EXPECT_FALSE(map.owner(5));
    set_owner(5, a, 4);
    ASSERT_TRUE(map.owner(5));
    EXPECT_EQ(map.owner(5)->epoch, 4U);
}

class shard_balance_test : public shard_map_test
{
protected:
    shard_balance_test()
    {
        takeover_timing timing;
        timing.balance_after = 2000ms;
        map = shard_map(timing);
    }

    bool hands_over(const node_announcement& self)
    {
        return map.should_hand_over({1, 2, 3}, {self, {}, {}}, now);
    }

    // Node `a` owns two shards, `b` one and `c` none.
    void distribute()
    {
        set_owner(1, a, 1);
        set_owner(2, a, 1);
        set_owner(3, b, 1);
    }

    node_announcement a = node("a", 1);
    node_announcement b = node("b", 2);
    node_announcement c = node("c", 3);
};

TEST_F(shard_balance_test, owner_of_two_hands_one_to_a_node_that_came_back)
{
    advance(3000ms, {a, b});
    distribute();
    EXPECT_FALSE(hands_over(a));
    advance(1000ms, {a, b, c});
    EXPECT_FALSE(hands_over(a)) << "it has just come back";
    advance(2000ms, {a, b, c});
    EXPECT_TRUE(hands_over(a));
    EXPECT_FALSE(hands_over(b)) << "the load would only move";
}

TEST_F(shard_balance_test, restart_and_lost_store_begin_the_wait_anew)
{
    advance(3000ms, {a, b, c});
    distribute();
    ASSERT_TRUE(hands_over(a));
    auto restarted = node("c", 4);
    restarted.epoch = 4;
    advance(1000ms, {a, b, restarted});
    EXPECT_FALSE(hands_over(a));
    advance(2000ms, {a, b, restarted});
    EXPECT_TRUE(hands_over(a));
    restarted.without_store = true;
    advance(500ms, {a, b, restarted});
    EXPECT_FALSE(hands_over(a));
    restarted.without_store = false;
    advance(1000ms, {a, b, restarted});
    EXPECT_FALSE(hands_over(a));
}

TEST_F(shard_balance_test, nothing_moves_to_a_node_with_less_cpu)
{
    c.cpu_milli = 120;
    advance(3000ms, {a, b, c});
    distribute();
    EXPECT_FALSE(hands_over(a));
}

TEST_F(shard_balance_test, nothing_moves_while_a_shard_has_no_owner)
{
    advance(3000ms, {a, b, c});
    distribute();
    set_owner(3, b, 1, true);
    EXPECT_FALSE(hands_over(a));
}

TEST_F(shard_balance_test, without_the_setting_nothing_moves)
{
    map = shard_map(takeover_timing{});
    advance(3000ms, {a, b, c});
    distribute();
    EXPECT_FALSE(hands_over(a));
}

} // namespace dandeliontack
