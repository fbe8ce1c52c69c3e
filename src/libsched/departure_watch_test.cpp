#include "pool_driver.hpp"
#include <dandeliontack/departure_watch.hpp>

#include <gtest/gtest.h>

namespace dandeliontack::test
{

namespace
{

listed_machine machine(const std::string& name, const std::string& host)
{
    listed_machine out;
    out.name = name;
    out.pool = "pool";
    out.state = host.empty() ? machine_state::down : machine_state::up;
    out.host = host;
    return out;
}

} // namespace

TEST(departure_watch, host_on_a_machine_that_is_down_has_ended)
{
    departure_watch watch;
    watch.observe({machine("a", "h1"), machine("b", "h2")});
    watch.observe({machine("a", ""), machine("b", "h2")});
    EXPECT_TRUE(watch.departed().empty());
    watch.observe({machine("a", ""), machine("b", "h2")});
    ASSERT_EQ(watch.departed().size(), 1U);
    EXPECT_EQ(watch.departed().front().host, "h1");
    EXPECT_EQ(watch.departed().front().pool, "pool");
}

TEST(departure_watch, host_missing_from_a_single_list_has_not_ended)
{
    departure_watch watch;
    for (int i = 0; i < 3; ++i)
    {
        watch.observe({machine("a", "h1")});
        watch.observe({});
        EXPECT_TRUE(watch.departed().empty());
    }
}

TEST(departure_watch, is_reported_until_its_owner_knows)
{
    departure_watch watch;
    watch.observe({machine("a", "h1")});
    for (int i = 0; i < 4; ++i)
        watch.observe({machine("a", "h2")});
    EXPECT_EQ(watch.departed().size(), 1U);
    watch.forget("h1");
    EXPECT_TRUE(watch.departed().empty());
}

TEST(departure_watch, host_of_a_pool_without_an_owner_is_forgotten)
{
    departure_watch watch;
    watch.observe({machine("a", "h1")});
    for (std::uint32_t i = 0; i < departure_watch::lists_to_forget; ++i)
        watch.observe({});
    EXPECT_EQ(watch.departed().size(), 1U);
    watch.observe({});
    EXPECT_TRUE(watch.departed().empty());
}

TEST(departure_watch, host_that_is_listed_again_has_to_be_missed_anew)
{
    departure_watch watch;
    watch.observe({machine("a", "h1")});
    for (int i = 0; i < 2; ++i)
    {
        watch.observe({});
        EXPECT_TRUE(watch.is_unconfirmed());
        watch.observe({machine("a", "h1")});
        EXPECT_FALSE(watch.is_unconfirmed());
    }
    EXPECT_TRUE(watch.departed().empty());
}

// A successor knows hosts from records that no list may name any more.
TEST(departure_watch, expected_host_that_is_never_listed_has_ended)
{
    departure_watch watch;
    watch.expect(machine("", "h1"));
    watch.observe({machine("b", "h2")});
    EXPECT_TRUE(watch.departed().empty());
    watch.observe({machine("b", "h2")});
    ASSERT_EQ(watch.departed().size(), 1U);
    EXPECT_EQ(watch.departed().front().host, "h1");
}

// Load pattern: a rack falls silent in a load peak. The tasks of its hosts
// start elsewhere within two lists and one planning round; without the watch
// they would wait until the last lease of 5 s has expired.
TEST(departure_watch, tasks_of_a_silent_rack_start_elsewhere_at_once)
{
    constexpr auto list_interval = 150ms;
    pool_driver t;
    t.connect_hosts({"h1", "h2"});
    t.submit(pool_driver::make_submission(20));
    t.answer_starts(t.tick());
    const auto on_rack = t.engine.hosts().at("h1").runs.size();
    ASSERT_GT(on_rack, 0U);
    departure_watch watch;
    watch.observe({machine("a", "h1"), machine("b", "h2")});
    const auto crashed = t.now.steady;
    t.list_hosts({"h1", "h2", "h3", "h4"});
    t.store();
    t.hold("h3");
    t.hold("h4");
    std::size_t restarted = 0;
    while (restarted < on_rack && t.now.steady - crashed < 6s)
    {
        t.advance(list_interval);
        for (const auto* up : {"h3", "h4"})
            t.hold(up);
        watch.observe({machine("a", ""), machine("b", "h2")});
        for (const auto& gone : watch.departed())
        {
            t.apply(pool_event::host_incarnation_ended{
                gone.host, t.now.steady, t.now.steady});
            watch.forget(gone.host);
        }
        const auto starts =
            pool_driver::effects_of<pool_effect::start>(t.tick());
        restarted += static_cast<std::size_t>(std::ranges::count_if(
            starts, [](const auto& order) { return order.run > 1; }));
    }
    EXPECT_EQ(restarted, on_rack);
    EXPECT_LE(
        t.now.steady - crashed,
        list_interval * departure_watch::lists_to_confirm);
}

} // namespace dandeliontack::test
