// Accepted changes stay in force through outages of the log, races between
// operators, and the replacement of every control process.

#include "harness/control_group.hpp"
#include "log.pb.h"
#include <dandeliontack/record_codec.hpp>

#include <gtest/gtest.h>

#include <csignal>
#include <set>
#include <thread>

namespace
{

using namespace dandeliontack;
using namespace dandeliontack::harness;

std::string pool_text(int number)
{
    return "[pool registry]\nhosts = w" + std::to_string(number) + "\n";
}

TEST(agreement_outage, changes_come_into_force_after_the_log_is_back)
{
    cluster system;
    add_controls(system, 3);
    ASSERT_TRUE(wait_for_leader(system));
    const auto& control = system.controls.at("c1");
    system.publish(control.admin, pool_text(1));
    for (const auto* mode : {"down", "cut"})
    {
        system.set_fault(std::string("mode=") + mode);
        const auto file = system.folder.write("late.ini", pool_text(2));
        program_result result;
        std::thread publisher([&] {
            result = system.tackctl(
                control.admin, {"--timeout=30s", "publish", file});
        });
        // Nobody leads while no heartbeat can be confirmed.
        EXPECT_TRUE(eventually([&] {
            return std::ranges::none_of(system.controls, [](const auto& item) {
                return status_of(item.second).leads;
            });
        }));
        for (const auto& [name, each] : system.controls)
            EXPECT_TRUE(pool_in_force(
                each, "registry", std::string(mode) == "down" ? 1 : 2))
                << name;
        system.set_fault("mode=none");
        publisher.join();
        EXPECT_EQ(result.exit_code, 0) << result.output << result.errors;
        EXPECT_TRUE(wait_for_leader(system));
    }
    for (const auto& [name, each] : system.controls)
        EXPECT_TRUE(pool_in_force(each, "registry", 3)) << name;
    EXPECT_TRUE(states_agree(system));
}

// Appends one change of a pool as an operator of its own.
void append_change(const cluster& system, std::uint64_t writer, int host)
{
    pool_config config;
    config.name = "registry";
    config.hosts = {"w" + std::to_string(host)};
    event e;
    e.origin.writer = {1, writer};
    e.origin.sequence = 1;
    e.body = config_event{pool_published{"racer", 1, config}};
    wire::log_append_request request;
    request.add_records(encode_record(e));
    post(
        system.platform_address, "/streams/operators/records",
        request.SerializeAsString());
}

// What a control process says became of the operator's change, as JSON text.
std::string outcome_on(const control_process& control, std::uint64_t writer)
{
    const auto target =
        "/v1/outcome?writer=" + to_string(incarnation{1, writer}) +
        "&sequence=1";
    std::string outcome;
    eventually([&] {
        outcome = get(control.admin, target).body();
        return outcome.find("pending") == std::string::npos;
    });
    return outcome;
}

TEST(agreement_outage, of_two_racing_operators_one_wins_on_every_node)
{
    cluster system;
    add_controls(system, 3);
    system.publish(system.controls.at("c1").admin, pool_text(1));
    std::thread second([&] { append_change(system, 2, 2); });
    append_change(system, 3, 3);
    second.join();
    std::set<std::string> outcomes;
    for (const auto& [name, each] : system.controls)
    {
        const auto a = outcome_on(each, 2);
        const auto b = outcome_on(each, 3);
        const bool a_won = a.find("accepted") != std::string::npos;
        const auto& loser = a_won ? b : a;
        EXPECT_NE(
            loser.find("based on revision 1, but revision 2 is in force"),
            std::string::npos)
            << name << ": " << a << b;
        EXPECT_TRUE(pool_in_force(each, "registry", 2)) << name;
        outcomes.insert(a + b);
    }
    EXPECT_EQ(outcomes.size(), 1U);
    EXPECT_TRUE(states_agree(system));
}

TEST(agreement_outage, changes_outlive_the_replacement_of_every_process)
{
    cluster system;
    add_controls(system, 3);
    for (int round = 1; round <= 3; ++round)
    {
        const auto old = "c" + std::to_string(round);
        const auto fresh = "c" + std::to_string(round + 3);
        system.add_control(fresh, fast_leadership);
        system.publish(system.controls.at(old).admin, pool_text(round));
        system.controls.at(old).process.send_signal(
            round == 2 ? SIGKILL : SIGTERM);
        ASSERT_TRUE(system.controls.at(old).process.wait_exit(
            std::chrono::seconds(10)));
        system.controls.erase(old);
        for (const auto& [name, each] : system.controls)
            EXPECT_TRUE(pool_in_force(
                each, "registry", static_cast<std::uint64_t>(round)))
                << name;
    }
    EXPECT_TRUE(wait_for_leader(system));
    EXPECT_TRUE(states_agree(system));
    EXPECT_TRUE(eventually(
        [&] { return status_of(system.controls.at("c4")).nodes == 3; }));
}

} // namespace
