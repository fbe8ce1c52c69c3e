#include <dandeliontack/configuration_relay.hpp>
#include <dandeliontack/deflated_text.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;

constexpr boot_time started(30min);

std::vector<node_announcement> nodes(std::size_t count)
{
    std::vector<node_announcement> out(count);
    for (std::size_t i = 0; i < count; ++i)
        out[i].name = "node-" + std::to_string(i);
    return out;
}

} // namespace

// Guards against a process that starts while it can't read the store, or not in
// time, and asks nobody: callers got 503 for all queues until it could.
TEST(configuration_relay, a_process_without_a_configuration_asks)
{
    configuration_relay relay(relay_terms_of(3000ms), started);
    const auto asks_at = started + relay.terms().stale_after;
    EXPECT_FALSE(relay.is_stale(asks_at - 1ms));
    EXPECT_TRUE(relay.is_stale(asks_at));
}

// Guards against going back at a restart: a node that has missed what the
// process before had in force can't know.
TEST(configuration_relay, a_process_starts_with_no_version_read_before_it)
{
    const auto others = nodes(2);
    configuration_relay relay({}, started);
    EXPECT_FALSE(relay.choose({{others[0], 9, started - 1ms}}));
    const auto chosen =
        relay.choose({{others[0], 9, started - 1ms}, {others[1], 8, started}});
    ASSERT_TRUE(chosen);
    EXPECT_EQ(chosen->version, 8U);
    relay.keep(8, "eight");
    EXPECT_TRUE(relay.choose({{others[0], 9, started - 1ms}}));
}

// Guards against a queue that may or may not exist by now: only another node
// that has no newer version can tell.
TEST(configuration_relay, another_node_confirms_a_version)
{
    const auto other = nodes(1).front();
    configuration_relay relay(relay_terms_of(3000ms), started);
    relay.keep(5, "five");
    const auto now = started + 1h;
    relay.mark_confirmed({other, 6, now});
    EXPECT_TRUE(relay.is_overdue(now));
    relay.mark_confirmed({other, 5, now - 2999ms});
    EXPECT_FALSE(relay.is_overdue(now));
    EXPECT_TRUE(relay.is_overdue(now + 1ms));
    EXPECT_TRUE(relay.is_stale(now)) << "its own reads have stopped";
    relay.mark_confirmed({other, 4, now - 1h});
    EXPECT_EQ(relay.age(now), 2999ms);
}

TEST(configuration_relay, reads_to_the_end_keep_it_from_asking)
{
    configuration_relay relay(relay_terms_of(3000ms), started);
    relay.keep(5, "five");
    const boot_time read(1h);
    relay.mark_read(read);
    EXPECT_FALSE(relay.is_stale(read + relay.terms().stale_after - 1ms));
    EXPECT_TRUE(relay.is_stale(read + relay.terms().stale_after));
}

// Half of the bound is left for the answers and for a second round.
TEST(configuration_relay, asks_well_within_the_bound_of_configurations)
{
    for (const auto bound : {3000ms, 4000ms, 10'000ms})
    {
        const auto terms = relay_terms_of(bound);
        EXPECT_LE(terms.stale_after + terms.interval, bound * 3 / 5);
    }
}

std::optional<std::string> told(configuration_relay& relay, std::uint64_t known)
{
    constexpr std::size_t most_bytes = 1024;
    const auto* bytes = relay.deflated_newer_than(known);
    return bytes ? inflate(*bytes, most_bytes) : std::nullopt;
}

// Guards against going back: versions arrive from the store and from nodes in
// any order, and nodes that know less ask for them at any time.
RC_GTEST_PROP(
    configuration_relay, only_a_newer_configuration_is_kept_and_told, ())
{
    configuration_relay relay({}, started);
    std::uint64_t newest = 0;
    const auto arrivals = *rc::gen::container<std::vector<std::uint64_t>>(
        rc::gen::inRange<std::uint64_t>(1, 20));
    for (const auto version : arrivals)
    {
        relay.keep(version, "version " + std::to_string(version));
        newest = std::max(newest, version);
        RC_ASSERT(relay.version() == newest);
        const auto known = *rc::gen::inRange<std::uint64_t>(0, 21);
        const auto answer = told(relay, known);
        RC_ASSERT(answer.has_value() == (newest > known));
        RC_ASSERT(!answer || *answer == "version " + std::to_string(newest));
    }
}

// Guards against fetching what is known already, and several copies of what is
// not: three whole configurations at once did not fit a narrow link in time.
TEST(configuration_relay, one_node_with_the_newest_version_is_chosen)
{
    const auto others = nodes(4);
    configuration_relay relay({}, started);
    relay.keep(7, "seven");
    EXPECT_FALSE(relay.choose({}));
    EXPECT_FALSE(
        relay.choose({{others[0], 6, started}, {others[1], 7, started}}));
    const auto chosen = relay.choose(
        {{others[0], 8, started},
         {others[1], 9, started},
         {others[2], 9, started},
         {others[3], 3, started}});
    ASSERT_TRUE(chosen);
    EXPECT_EQ(chosen->node.name, "node-1");
}

// Load pattern: the store turns a third of the nodes away, so some of those
// that are asked know no more.
TEST(configuration_relay, rounds_reach_every_node_in_turn)
{
    configuration_relay relay({1200ms, 400ms, 3}, started);
    std::set<std::string> asked;
    for (int round = 0; round < 4; ++round)
        for (const auto& node : relay.next_peers(nodes(10)))
            asked.insert(node.name);
    EXPECT_EQ(asked.size(), 10U);
    EXPECT_TRUE(relay.next_peers({}).empty());
    EXPECT_EQ(relay.next_peers(nodes(2)).size(), 2U);
}

} // namespace dandeliontack
