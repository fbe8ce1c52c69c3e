// Entry processes serve on without their control process, and follow it again
// when it is back.

#include "harness/cluster.hpp"

#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <csignal>

namespace
{

using namespace dandeliontack;
using namespace dandeliontack::harness;
namespace http = boost::beast::http;

constexpr const char* configuration =
    "[pool registry]\nhosts = w1\n[service citations]\npool = registry\n";

TEST(control_killed, requests_are_still_served)
{
    cluster system;
    system.add_worker("w1");
    auto& control = system.add_control("control-1");
    const auto& entry = system.add_entry("entry-1", control.grpc);
    system.publish(control.admin, configuration);
    ASSERT_TRUE(routes_to(entry, "citations", 1));

    control.process.send_signal(SIGKILL);
    ASSERT_TRUE(control.process.wait_exit(std::chrono::seconds(10)));
    for (int i = 0; i < 20; ++i)
    {
        const auto path = "/x" + std::to_string(i);
        const auto response = get(entry.callers, "/services/citations" + path);
        EXPECT_EQ(response.result(), http::status::ok);
        EXPECT_EQ(response.body(), "w1 " + path + " ");
    }
}

TEST(control_killed, a_restarted_control_process_replays_to_the_same_hash)
{
    cluster system;
    auto& first = system.add_control("control-1");
    system.publish(first.admin, configuration);
    const auto hash = [](const endpoint& admin) {
        const auto status = get_json(admin, "/v1/status");
        return std::pair(
            status.at("system_end").to_number<std::uint64_t>(),
            std::string(status.at("state_hash").as_string()));
    };
    const auto& second = system.add_control("control-2");
    // Its own joining is the last record that both must have applied.
    ASSERT_TRUE(eventually([&] {
        const auto status = get_json(first.admin, "/v1/status");
        return status.at("nodes").as_array().size() == 2;
    }));
    EXPECT_TRUE(
        eventually([&] { return hash(first.admin) == hash(second.admin); }));
}

} // namespace
