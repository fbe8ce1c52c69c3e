// A wave over a pool, with a host that does not come back from its reboot and
// one that fails on its own: the platform never has fewer hosts live than the
// pool promises, and callers are answered throughout.

#include "harness/cluster.hpp"

#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <csignal>
#include <set>

namespace
{

using namespace dandeliontack;
using namespace dandeliontack::harness;
namespace http = boost::beast::http;
namespace json = boost::json;

constexpr std::int64_t promised = 3;

constexpr const char* pool_configuration =
    "[pool registry]\nhosts = w1, w2, w3, w4, w5, w6\nbudget_hosts = 3\n"
    "reserve_hosts = 1\ndrain_time = 100ms\n"
    "[service citations]\npool = registry\n";
constexpr const char* wave_configuration =
    "[wave kernel]\npools = registry\nreturn_bound = 1s\n";

json::array commands(const cluster& system)
{
    const auto page = get(system.platform_address, "/commands");
    return json::parse(page.body()).as_array();
}

std::set<std::string> hosts_told(const cluster& system, const char* action)
{
    std::set<std::string> hosts;
    for (const auto& item : commands(system))
        if (item.at("action").as_string() == action)
            hosts.emplace(item.at("host").as_string());
    return hosts;
}

std::int64_t live_hosts(const cluster& system)
{
    const auto page = get_json(system.platform_address, "/hosts");
    const auto& hosts = page.at("hosts").as_array();
    return std::ranges::count_if(hosts, [](const json::value& host) {
        return host.at("state").as_string() == "live";
    });
}

// Calls the service until the condition holds; every call must be answered.
bool served_until(
    const entry_process& entry, const std::function<bool()>& condition)
{
    return eventually([&] {
        const auto response = get(entry.callers, "/services/citations/x");
        EXPECT_EQ(response.result(), http::status::ok);
        return condition();
    });
}

bool routes_host(const entry_process& entry, const std::string& host)
{
    const auto status = get_json(entry.admin, "/v1/status");
    return json::serialize(status.at("routes")).find(host) != std::string::npos;
}

TEST(fleet_wave, keeps_the_promise_while_hosts_fail)
{
    cluster system;
    for (const auto* const name : {"w1", "w2", "w4", "w5", "w6"})
        system.add_worker(name, {}, {{"rack", "r1"}});
    system.add_worker("w3", {}, {{"rack", "r1"}, {"returns", false}});
    auto& control = system.add_control("control-1");
    const auto& entry = system.add_entry("entry-1", control.grpc);
    system.publish(control.admin, pool_configuration);
    ASSERT_TRUE(routes_to(entry, "citations", 6));
    system.publish(control.admin, wave_configuration);

    ASSERT_TRUE(served_until(
        entry, [&] { return hosts_told(system, "reboot").contains("w3"); }));
    system.workers.at("w6").send_signal(SIGKILL);
    system.list_worker("w6", "gone");
    // Nobody can help a request that a failing host has taken.
    ASSERT_TRUE(eventually([&] { return !routes_host(entry, "w6"); }));
    ASSERT_TRUE(served_until(entry, [&] {
        return hosts_told(system, "restore").size() >= 2 &&
               live_hosts(system) == 4;
    }));
    system.add_worker("w6", {}, {{"rack", "r1"}});
    ASSERT_TRUE(served_until(entry, [&] {
        return hosts_told(system, "reboot").size() == 6 &&
               live_hosts(system) == 5;
    }));
    for (const auto& item : commands(system))
        EXPECT_GE(item.at("live").as_int64(), promised)
            << json::serialize(item);
}

TEST(fleet_wave, an_old_command_is_fenced)
{
    cluster system;
    system.add_worker("w1");
    const auto target = "/hosts/w1/commands";
    const auto send = [&](const char* body) {
        return post(system.platform_address, target, body).result();
    };
    constexpr const char* newer =
        R"({"action": "drain", "term": 2, "offset": 7})";
    EXPECT_EQ(send(newer), http::status::ok);
    EXPECT_EQ(send(newer), http::status::ok);
    EXPECT_EQ(
        send(R"({"action": "reboot", "term": 1, "offset": 9})"),
        http::status::conflict);
    EXPECT_EQ(commands(system).size(), 1U);
}

TEST(fleet_wave, two_overlapping_waves_share_one_budget)
{
    cluster system;
    for (const auto* const name : {"w1", "w2", "w3", "w4", "w5", "w6"})
        system.add_worker(name, {}, {{"rack", "r1"}});
    auto& control = system.add_control("control-1");
    const auto& entry = system.add_entry("entry-1", control.grpc);
    system.publish(control.admin, pool_configuration);
    ASSERT_TRUE(routes_to(entry, "citations", 6));
    system.publish(
        control.admin, "[wave kernel]\npools = registry\ncanary_hosts = 3\n"
                       "[wave firmware]\npools = registry\ncanary_hosts = 3\n");
    ASSERT_TRUE(served_until(entry, [&] {
        const auto all = commands(system);
        return live_hosts(system) == 6 &&
               std::ranges::count_if(all, [](const json::value& item) {
                   return item.at("action").as_string() == "reboot";
               }) == 12;
    }));
    for (const auto& item : commands(system))
        EXPECT_GE(item.at("live").as_int64(), promised)
            << json::serialize(item);
}

} // namespace
