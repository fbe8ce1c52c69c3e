// Leadership passes on when the leader is killed or frozen, and what a frozen
// leader still does is void everywhere.

#include "harness/control_group.hpp"

#include <gtest/gtest.h>

#include <csignal>

namespace
{

using namespace dandeliontack;
using namespace dandeliontack::harness;

std::size_t count_leaders(const cluster& system)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(system.controls, [](const auto& item) {
            return status_of(item.second).leads;
        }));
}

TEST(agreement_takeover, one_process_alone_leads)
{
    cluster system;
    add_controls(system, 1);
    EXPECT_EQ(wait_for_leader(system), "c1");
}

TEST(agreement_takeover, a_killed_leader_is_replaced_and_removed)
{
    cluster system;
    add_controls(system, 3);
    const auto first = wait_for_leader(system);
    ASSERT_TRUE(first);
    EXPECT_EQ(count_leaders(system), 1U);
    system.publish(
        system.controls.at(*first).admin, "[pool registry]\nhosts = w1\n");

    system.controls.at(*first).process.send_signal(SIGKILL);
    const std::vector<std::string> gone{*first};
    const auto second = wait_for_leader(system, gone);
    ASSERT_TRUE(second);
    const auto& control = system.controls.at(*second);
    EXPECT_EQ(status_of(control).term, 2U);
    EXPECT_TRUE(eventually([&] { return status_of(control).nodes == 2; }));
    system.publish(control.admin, "[pool registry]\nhosts = w2\n");
    for (const auto& [name, each] : system.controls)
    {
        if (name == *first)
            continue;
        EXPECT_TRUE(pool_in_force(each, "registry", 2)) << name;
    }
    EXPECT_TRUE(states_agree(system, gone));
}

TEST(agreement_takeover, a_leader_that_stops_in_order_is_replaced_at_once)
{
    cluster system;
    add_controls(
        system, 2,
        "[leadership]\nlease = 100s\ntakeover = 200s\nmember_timeout = 300s\n"
        "takeover_step = 10ms\n");
    const auto first = wait_for_leader(system);
    ASSERT_TRUE(first);
    system.controls.at(*first).process.send_signal(SIGTERM);
    EXPECT_TRUE(wait_for_leader(system, {*first}));
}

TEST(agreement_takeover, a_thawed_leader_no_longer_leads_and_joins_again)
{
    cluster system;
    add_controls(system, 3);
    const auto first = wait_for_leader(system);
    ASSERT_TRUE(first);
    const auto& frozen = system.controls.at(*first);
    frozen.process.send_signal(SIGSTOP);
    const auto second = wait_for_leader(system, {*first});
    ASSERT_TRUE(second);
    const auto& control = system.controls.at(*second);
    EXPECT_TRUE(eventually([&] { return status_of(control).nodes == 2; }));
    system.publish(control.admin, "[pool registry]\nhosts = w1\n");

    frozen.process.send_signal(SIGCONT);
    // Nothing but the removal can have brought this status, so by its first
    // answer the process must know that its lease is over.
    EXPECT_FALSE(status_of(frozen).leads);
    EXPECT_TRUE(eventually([&] { return status_of(frozen).nodes == 3; }));
    EXPECT_TRUE(pool_in_force(frozen, "registry", 1));
    EXPECT_TRUE(states_agree(system));
    EXPECT_EQ(count_leaders(system), 1U);
}

std::size_t count_held(const cluster& system)
{
    return std::stoul(get(system.platform_address, "/fault").body());
}

TEST(agreement_takeover, a_late_record_of_a_frozen_leader_is_void_everywhere)
{
    cluster system;
    // The leader writes under its term often, since it writes snapshots.
    add_controls(system, 3, fast_leadership + "[snapshots]\nrecords = 20\n");
    const auto first = wait_for_leader(system);
    ASSERT_TRUE(first);
    const auto& frozen = system.controls.at(*first);
    system.set_fault("mode=hold&writer=" + status_of(frozen).incarnation);
    ASSERT_TRUE(eventually([&] { return count_held(system) == 1; }));
    frozen.process.send_signal(SIGSTOP);
    const auto second = wait_for_leader(system, {*first});
    ASSERT_TRUE(second);
    const auto& control = system.controls.at(*second);
    EXPECT_EQ(status_of(control).fenced, 0U);

    system.set_fault("mode=release");
    EXPECT_TRUE(eventually([&] { return status_of(control).fenced > 0; }));
    frozen.process.send_signal(SIGCONT);
    EXPECT_TRUE(eventually([&] { return status_of(frozen).fenced > 0; }));
    EXPECT_TRUE(eventually([&] { return status_of(frozen).nodes == 3; }));
    EXPECT_TRUE(states_agree(system));
}

} // namespace
