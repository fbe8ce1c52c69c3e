// A host moves between pools while a control process is frozen whose entry
// process still routes to the host under its old pool: the host joins the new
// pool nowhere until that process has applied the departure.

#include "harness/cluster.hpp"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>

namespace
{

using namespace dandeliontack;
using namespace dandeliontack::harness;
namespace json = boost::json;

constexpr const char* before =
    "[pool a]\nhosts = w1, w2\nbudget_hosts = 1\ndrain_time = 100ms\n"
    "[pool b]\nhosts = w3\ndrain_time = 100ms\n"
    "[pool c]\nhosts = w4, w5\nbudget_hosts = 1\ndrain_time = 100ms\n"
    "[service first]\npool = a\n[service second]\npool = b\n";
constexpr const char* after =
    "[pool a]\nhosts = w1\nbudget_hosts = 1\ndrain_time = 100ms\n"
    "[pool b]\nhosts = w3, w2\ndrain_time = 100ms\n";

bool routes_host(
    const entry_process& entry, const std::string& service,
    const std::string& host)
{
    const auto status = get_json(entry.admin, "/v1/status");
    return std::ranges::any_of(
        status.at("routes").as_array(), [&](const json::value& route) {
            const auto upstreams = json::serialize(route.at("upstreams"));
            return route.at("service").as_string() == service &&
                   upstreams.find(host) != std::string::npos;
        });
}

bool was_told(const cluster& system, const char* host, const char* action)
{
    const auto page = get(system.platform_address, "/commands");
    const auto commands = json::parse(page.body());
    return std::ranges::any_of(
        commands.as_array(), [&](const json::value& item) {
            return item.at("host").as_string() == host &&
                   item.at("action").as_string() == action;
        });
}

// The control process that decides is the one with the least incarnation.
std::string follower_of(const cluster& system)
{
    const auto status =
        get_json(system.controls.at("control-1").admin, "/v1/status");
    const auto& nodes = status.at("nodes").as_array();
    return std::string(nodes.back().at("name").as_string());
}

TEST(fleet_move, waits_for_a_frozen_process_that_routes_by_the_old_pool)
{
    cluster system;
    for (const auto* const name : {"w1", "w2", "w3", "w4", "w5"})
        system.add_worker(name);
    for (const auto* const name : {"control-1", "control-2"})
        system.add_entry(
            std::string("entry-of-") + name, system.add_control(name).grpc);
    const auto& admin = system.controls.at("control-1").admin;
    ASSERT_TRUE(eventually([&] {
        return get_json(admin, "/v1/status").at("nodes").as_array().size() == 2;
    }));
    system.publish(admin, before);
    const auto follower = follower_of(system);
    const auto leader = follower == "control-1" ? "control-2" : "control-1";
    const auto& lagging = system.entries.at("entry-of-" + follower);
    const auto& current = system.entries.at(std::string("entry-of-") + leader);
    ASSERT_TRUE(routes_to(lagging, "first", 2));
    ASSERT_TRUE(routes_to(current, "first", 2));

    auto& frozen = system.controls.at(follower);
    frozen.process.send_signal(SIGSTOP);
    system.publish(system.controls.at(leader).admin, after);
    ASSERT_TRUE(eventually([&] { return was_told(system, "w2", "restore"); }));
    // By the time that a whole maintenance begun now is over, the host would
    // long have joined.
    system.publish(
        system.controls.at(leader).admin, "[wave kernel]\npools = c\n");
    ASSERT_TRUE(eventually([&] {
        EXPECT_TRUE(routes_host(lagging, "first", "w2"));
        EXPECT_FALSE(routes_host(current, "second", "w2"));
        return was_told(system, "w4", "restore") &&
               was_told(system, "w5", "restore");
    }));
    frozen.process.send_signal(SIGCONT);
    EXPECT_TRUE(routes_to(current, "second", 2));
    EXPECT_TRUE(routes_to(lagging, "second", 2));
    EXPECT_FALSE(routes_host(lagging, "first", "w2"));
}

} // namespace
