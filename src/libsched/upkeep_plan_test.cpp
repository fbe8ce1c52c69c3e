#include <dandeliontack/upkeep_plan.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace dandeliontack
{

namespace
{

listed_machine
machine(const std::string& name, machine_state state = machine_state::up)
{
    listed_machine out;
    out.name = name;
    out.pool = "pool";
    out.state = state;
    out.host = state == machine_state::up ? "host-" + name : "";
    return out;
}

wave_request wave(std::vector<std::string> names, std::uint32_t most)
{
    return {"1", std::move(names), std::chrono::seconds(20), most};
}

const auto all_evacuated = [](const std::string&) {
    return host_use_state::evacuated;
};
const auto all_busy = [](const std::string&) { return host_use_state::busy; };

} // namespace

TEST(upkeep_plan, busy_host_is_evacuated_before_upkeep_order)
{
    const auto step = plan_upkeep(
        wave({"a", "b", "c"}, 1), {},
        {machine("a"), machine("b"), machine("c")}, all_busy);
    EXPECT_TRUE(step.order.empty());
    EXPECT_EQ(step.evacuate.size(), 1U);
    EXPECT_FALSE(step.completed);
}

// Load pattern: a wave over a large part of a pool while its demand is high.
TEST(upkeep_plan, number_of_evacuated_hosts_follows_remaining_time)
{
    using std::chrono::seconds;
    std::vector<std::string> names;
    std::vector<listed_machine> machines;
    for (int i = 0; i < 20; ++i)
    {
        names.push_back(std::to_string(i));
        machines.push_back(machine(names.back()));
    }
    const wave_progress_view early{{}, {}, {}, seconds(60), seconds(4)};
    EXPECT_LE(
        plan_upkeep(wave(names, 10), early, machines, all_busy).evacuate.size(),
        3U);
    const wave_progress_view late{{}, {}, {}, seconds(8), seconds(4)};
    EXPECT_EQ(
        plan_upkeep(wave(names, 10), late, machines, all_busy).evacuate.size(),
        10U);
}

TEST(upkeep_plan, unused_machines_are_selected_first)
{
    const auto step = plan_upkeep(
        wave({"a", "b", "c"}, 2), {{}, {}, {}, std::chrono::seconds(60), {}},
        {machine("a"), machine("b", machine_state::down), machine("c")},
        [](const std::string& host) {
            return host == "host-c" ? host_use_state::idle
                                    : host_use_state::busy;
        });
    ASSERT_EQ(step.order.size(), 1U);
    EXPECT_EQ(step.order[0].name, "b");
    ASSERT_FALSE(step.evacuate.empty());
    EXPECT_EQ(step.evacuate[0].name, "c");
}

TEST(upkeep_plan, wave_completes_when_no_machine_is_down)
{
    const wave_progress_view progress{{"a", "b"}, {}, {}, {}, {}};
    EXPECT_FALSE(plan_upkeep(
                     wave({"a", "b"}, 2), progress,
                     {machine("a"), machine("b", machine_state::upkeep)},
                     all_evacuated)
                     .completed);
    EXPECT_TRUE(plan_upkeep(
                    wave({"a", "b", "gone"}, 2), progress,
                    {machine("a"), machine("b")}, all_evacuated)
                    .completed);
}

// Found on bench day trouble-3: an evacuated host that waited
// for its upkeep order accepted tasks again, and the upkeep ended a
// long-running task.
TEST(upkeep_plan, evacuated_host_stays_evacuated_until_order)
{
    const auto step = plan_upkeep(
        wave({"a", "b"}, 1), {},
        {machine("a", machine_state::upkeep), machine("b")}, all_evacuated);
    EXPECT_TRUE(step.order.empty());
    ASSERT_EQ(step.evacuate.size(), 1U);
    EXPECT_EQ(step.evacuate[0].name, "b");
}

// Found on bench day trouble-2: after a takeover, an order that
// had already been executed was repeated while tasks ran on the machine's new
// host.
TEST(upkeep_plan, busy_host_is_evacuated_before_repeated_order)
{
    const wave_progress_view progress{{}, {"a"}, {}, {}, {}};
    const auto step = plan_upkeep(
        wave({"a", "b"}, 2), progress, {machine("a"), machine("b")}, all_busy);
    EXPECT_TRUE(step.order.empty());
    ASSERT_FALSE(step.evacuate.empty());
    EXPECT_EQ(step.evacuate[0].name, "a");
}

// A machine list requested before the order was answered still shows the
// machine as up.
TEST(upkeep_plan, recently_begun_machine_counts_as_down)
{
    const wave_progress_view progress{{"a"}, {}, {"a"}, {}, {}};
    const auto step = plan_upkeep(
        wave({"a", "b"}, 1), progress, {machine("a"), machine("b")},
        all_evacuated);
    EXPECT_TRUE(step.order.empty());
    EXPECT_FALSE(step.completed);
}

TEST(upkeep_plan, moving_machine_is_neither_evacuated_nor_ordered)
{
    const auto step = plan_upkeep(
        wave({"a"}, 1), {}, {machine("a", machine_state::moving)},
        all_evacuated);
    EXPECT_TRUE(step.order.empty());
    EXPECT_TRUE(step.evacuate.empty());
    EXPECT_FALSE(step.completed);
}

TEST(upkeep_plan, unanswered_order_uses_two_slots)
{
    const wave_progress_view progress{{}, {"a"}, {}, {}, {}};
    const auto step = plan_upkeep(
        wave({"a", "b"}, 2), progress, {machine("a"), machine("b")},
        all_evacuated);
    ASSERT_EQ(step.order.size(), 1U);
    EXPECT_EQ(step.order[0].name, "a");
}

// Found on bench day trouble-3 of teranga-jobs-large: a single
// unanswered order blocked a wave of 528 machines, 212 at once, for six
// seconds.
TEST(upkeep_plan, free_slots_are_used_beside_unanswered_order)
{
    const wave_progress_view progress{{}, {"a"}, {}, {}, {}};
    const auto step = plan_upkeep(
        wave({"a", "b", "c", "d"}, 4), progress,
        {machine("a"), machine("b"), machine("c"), machine("d")},
        all_evacuated);
    // The repeated order, plus two new ones in the slots that remain.
    EXPECT_EQ(step.order.size(), 3U);
}

RC_GTEST_PROP(upkeep_plan, machines_down_never_exceed_wave_limit, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(1, 12);
    const auto most = *rc::gen::inRange<std::uint32_t>(1, 5);
    std::vector<std::string> names;
    std::vector<listed_machine> machines;
    wave_progress_view progress;
    std::size_t down = 0;
    for (std::size_t i = 0; i < count; ++i)
    {
        names.push_back(std::to_string(i));
        const auto state = *rc::gen::inRange(0, 4);
        machines.push_back(machine(
            names.back(),
            state == 0 ? machine_state::upkeep : machine_state::up));
        if (state <= 1)
            progress.begun.insert(names.back());
        if (state == 2)
            progress.unanswered.insert(names.back());
        down += state == 0 || state == 2 ? 1 : 0;
    }
    const auto step =
        plan_upkeep(wave(names, most), progress, machines, all_evacuated);
    const auto new_orders = static_cast<std::size_t>(
        std::ranges::count_if(step.order, [&](const listed_machine& m) {
            return !progress.unanswered.contains(m.name);
        }));
    RC_ASSERT(new_orders == 0 || down + new_orders <= most);
}

} // namespace dandeliontack
