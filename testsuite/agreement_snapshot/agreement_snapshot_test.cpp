// Fresh control processes start from a snapshot where the log was trimmed, and
// report a gap that no snapshot covers.

#include "harness/control_group.hpp"

#include <gtest/gtest.h>

#include <csignal>

namespace
{

using namespace dandeliontack;
using namespace dandeliontack::harness;

const std::string often = fast_leadership + "[snapshots]\nrecords = 20\n";

void publish_pools(cluster& system, const control_process& control)
{
    system.publish(control.admin, "[pool registry]\nhosts = w1\n");
    system.publish(control.admin, "[pool office]\nhosts = w2\n");
}

// Drops all records that the newest snapshot stands for.
void trim(const cluster& system, const control_process& control)
{
    const auto end = status_of(control).operators_end;
    const auto taken = status_of(control).system_end;
    ASSERT_TRUE(
        eventually([&] { return status_of(control).snapshot_end > taken; }));
    system.set_fault(
        "mode=trim&stream=system&before=" +
        std::to_string(status_of(control).snapshot_end));
    system.set_fault(
        "mode=trim&stream=operators&before=" + std::to_string(end));
}

TEST(agreement_snapshot, a_fresh_process_starts_from_it_after_a_trim)
{
    cluster system;
    add_controls(system, 2, often);
    const auto& old = system.controls.at("c1");
    publish_pools(system, old);
    trim(system, old);
    const auto& fresh = system.add_control("c3", often);
    EXPECT_TRUE(eventually([&] { return status_of(fresh).ready; }));
    EXPECT_TRUE(pool_in_force(fresh, "registry", 1));
    EXPECT_TRUE(pool_in_force(fresh, "office", 1));
    EXPECT_TRUE(states_agree(system));
}

TEST(agreement_snapshot, all_processes_are_replaced_at_once_after_a_trim)
{
    cluster system;
    add_controls(system, 2, often);
    publish_pools(system, system.controls.at("c1"));
    trim(system, system.controls.at("c1"));
    system.controls.clear();
    for (const auto* name : {"c3", "c4"})
        system.add_control(name, often);
    for (const auto& [name, each] : system.controls)
        EXPECT_TRUE(pool_in_force(each, "office", 1)) << name;
    EXPECT_TRUE(wait_for_leader(system));
    EXPECT_TRUE(states_agree(system));
}

TEST(agreement_snapshot, a_gap_is_reported_and_nothing_is_guessed)
{
    cluster system;
    add_controls(system, 1);
    const auto& old = system.controls.at("c1");
    publish_pools(system, old);
    system.set_fault("mode=trim&stream=system&before=3");
    const auto& fresh = system.add_control("c2", fast_leadership);
    EXPECT_TRUE(eventually([&] { return !status_of(fresh).gap.empty(); }));
    EXPECT_FALSE(status_of(fresh).ready);
    EXPECT_EQ(status_of(fresh).system_end, 0U);
    // The one that has applied those records goes on.
    system.publish(old.admin, "[pool registry]\nhosts = w3\n");
}

} // namespace
