// A planned stop of each entry process in turn, under load, cuts nothing.

#include "harness/request_cluster.hpp"

#include <gtest/gtest.h>

#include <csignal>

namespace
{

using namespace dandeliontack::harness;

TEST(request_stop, a_rolling_restart_under_load_cuts_nothing)
{
    request_cluster system(
        3, "[stop]\nlinger = 500ms\n[tickets]\npeers = 127.0.0.1\n[upstreams]\n"
           "entry_processes = 4\n");
    for (const auto* name : {"e0", "e1", "e2"})
        system.start_entry(name);
    load callers(
        system.entries, {.callers = 12, .requests = 20'000, .seed = 5});
    for (const auto* name : {"e0", "e1", "e2"})
    {
        const auto before = callers.ended();
        ASSERT_TRUE(eventually([&] { return callers.ended() > before + 100; }));
        EXPECT_EQ(system.stop_entry(name), 0);
        system.start_entry(std::string(name) + "-again");
    }
    EXPECT_LT(callers.ended(), 12U * 20'000);
    callers.stop();
    const auto seen = callers.finish();
    const auto breaches = check_history(seen, system.runs(), {});
    EXPECT_EQ(breaches, std::vector<std::string>{});
    EXPECT_GT(count_of(seen, copy_end::answered), seen.size() / 2);
    // Nothing fails but copies whose issuer has stopped meanwhile.
    EXPECT_EQ(count_of(seen, copy_end::unreached), 0U);
}

TEST(request_stop, a_restart_of_control_under_load_cuts_nothing)
{
    request_cluster system(2, "");
    system.start_entry("e0");
    load callers(system.entries, {.callers = 8, .requests = 20'000, .seed = 6});
    const auto more = [&] {
        const auto before = callers.ended();
        return eventually([&] { return callers.ended() > before + 200; });
    };
    ASSERT_TRUE(more());
    auto& control = system.system.controls.at("control-1").process;
    control.send_signal(SIGTERM);
    EXPECT_EQ(control.wait_exit(std::chrono::seconds(60)), 0);
    EXPECT_TRUE(more());
    callers.stop();
    const auto seen = callers.finish();
    EXPECT_EQ(
        check_history(seen, system.runs(), {}), std::vector<std::string>{});
    EXPECT_EQ(count_of(seen, copy_end::answered), seen.size());
}

} // namespace
