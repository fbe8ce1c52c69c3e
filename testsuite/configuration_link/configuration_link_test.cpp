// Nodes behind a narrow link to the store, and configurations that take long on
// it. Bounds are in bytes that the link carries, never in time.

#include "harness/cluster.hpp"
#include "harness/counting_relay.hpp"

#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <charconv>
#include <vector>

namespace dandeliontack::harness
{

namespace
{

namespace http = boost::beast::http;
namespace json = boost::json;

constexpr std::uint64_t kilobyte = 1024;
// 2 Mbit/s.
constexpr std::uint64_t narrow_link_bytes_per_second = 250'000;
// One node's part of the store's 80 MB a second among 40 nodes.
constexpr unsigned node_read_mb_per_second = 2;
constexpr unsigned large_queues = 4'250;
constexpr unsigned medium_queues = 1'400;
// What the registry and the other topics need while a configuration is on its
// way.
constexpr std::uint64_t other_traffic_bytes = 192 * kilobyte;

json::object route(unsigned number)
{
    const auto text = std::to_string(number);
    return {
        {"name", "route-" + text},
        {"host", "reg" + text + ".example"},
        {"pathPrefix", "/checks-" + text + "/"},
        {"type", "unsafe"},
        {"timeoutMs", 3000},
        {"targetLatencyMs", 600},
        {"priority", 0},
        {"service", "pool"},
        {"maxAttempts", 3},
        {"stretch", 1.6},
        {"public", false}};
}

json::object configuration(std::uint64_t version, unsigned queues)
{
    json::array routes;
    for (unsigned i = 0; i < queues; ++i)
        routes.push_back(route(i));
    return {
        {"version", version},
        {"routes", std::move(routes)},
        {"services",
         json::array{
             {{"name", "pool"}, {"admissionCheck", true}, {"standby", false}}}},
        {"limits", json::object{}}};
}

// A value of a page of metrics; 0 if it is not there.
std::uint64_t metric(const endpoint& page, const std::string& name)
{
    const auto text = get(page, "/metrics").body();
    const auto line = "\n" + name + " ";
    const auto at = text.find(line);
    std::uint64_t found = 0;
    if (at != std::string::npos)
        std::from_chars(
            text.data() + at + line.size(), text.data() + text.size(), found);
    return found;
}

class configuration_link : public testing::Test
{
protected:
    configuration_link()
        : platform_(
              "testsuite/standins/fleet/standin-fleet", {},
              folder_.path() / "platform.err"),
          platform_address_(platform_.address_of("platform")),
          link_(platform_address_, narrow_link_bytes_per_second)
    {}

    // Starts a node that reads the store at this address; its metrics.
    endpoint start_node(const std::string& name, const endpoint& store)
    {
        const auto path = folder_.write(
            name + ".ini",
            "[node]\nname = " + name +
                "\ndata_centre = dc-1\n"
                "[listen]\ncallers = 127.0.0.1:0\nreadiness = 127.0.0.1:0\n"
                "metrics = 127.0.0.1:0\npeers = 127.0.0.1:0\n"
                "[store]\naddress = " +
                to_string(store) + "\nread_mb_per_second = " +
                std::to_string(node_read_mb_per_second) +
                "\n[machines]\naddress = " + to_string(platform_address_) +
                "\n[advice]\naddress = " + to_string(platform_address_) +
                "\n[bounds]\ngrace_seconds = 4\nconfig_ms = 3000\n");
        auto& node = nodes_.emplace_back(
            "src/tack-node/tack-node",
            std::vector<std::string>{"--settings", path},
            folder_.path() / (name + ".err"));
        return node.address_of("metrics");
    }

    void start_node()
    {
        metrics_ = start_node("n1", link_.address());
    }

    // Starts the node behind the link and three others, and waits until it has
    // read of them.
    void start_nodes()
    {
        start_node();
        std::vector<endpoint> others;
        for (const auto* name : {"n2", "n3", "n4"})
            others.push_back(start_node(name, platform_address_));
        ASSERT_TRUE(eventually([&] {
            return std::ranges::all_of(others, [](const endpoint& other) {
                return metric(other, "tack_configuration_version") > 0;
            });
        }));
        constexpr std::uint64_t several_reads = 20;
        const auto calls = [this] {
            return metric(metrics_, "tack_store_calls_total");
        };
        const auto before = calls();
        ASSERT_TRUE(
            eventually([&] { return calls() > before + several_reads; }));
    }

    void publish(const json::object& configuration)
    {
        EXPECT_EQ(
            post(
                platform_address_, "/configuration",
                json::serialize(configuration))
                .result(),
            http::status::ok);
    }

    // Puts a configuration into force; its size in bytes.
    std::uint64_t configure(std::uint64_t version, unsigned queues)
    {
        const auto published = configuration(version, queues);
        publish(published);
        return json::serialize(published).size();
    }

    // The version in force, which must never go back.
    std::uint64_t version()
    {
        const auto found = metric(metrics_, "tack_configuration_version");
        EXPECT_GE(found, newest_seen_);
        newest_seen_ = std::max(newest_seen_, found);
        return found;
    }

    // How many configurations the node has got from others, by outcome.
    std::uint64_t from_nodes(const std::string& outcome)
    {
        return metric(
            metrics_,
            "tack_configurations_received_total{source=\"node\",outcome=\"" +
                outcome + "\"}");
    }

    // Whether the version comes into force before the link has carried so many
    // bytes more.
    bool reaches(std::uint64_t wanted, std::uint64_t bytes)
    {
        const auto before = link_.bytes();
        const auto carried = [&] { return link_.bytes() - before; };
        eventually(
            [&] { return version() >= wanted || carried() > bytes; },
            std::chrono::seconds(60));
        return version() >= wanted && carried() <= bytes;
    }

    temporary_folder folder_;
    child_process platform_;
    endpoint platform_address_;
    counting_relay link_;
    std::vector<child_process> nodes_;
    endpoint metrics_;
    std::uint64_t newest_seen_ = 0;
};

} // namespace

// Guards against a configuration that never arrives over a narrow link: its
// bytes took longer than the time of a call, and each retry began with the
// first one.
TEST_F(configuration_link, large_configuration_arrives_without_repeats)
{
    configure(1, 1);
    start_node();
    ASSERT_TRUE(reaches(1, kilobyte * kilobyte));
    const auto bytes = configure(2, large_queues);
    EXPECT_TRUE(reaches(2, bytes * 3 / 2 + other_traffic_bytes));
}

// Guards against reading a version again once it is in force: beside the next
// version there was no room for the second copy.
TEST_F(configuration_link, each_version_of_a_series_is_read_once)
{
    configure(1, 1);
    start_node();
    ASSERT_TRUE(reaches(1, kilobyte * kilobyte));
    const auto before = link_.bytes();
    std::uint64_t bytes = 0;
    for (std::uint64_t next = 2; next <= 4; ++next)
    {
        bytes += configure(next, medium_queues);
        ASSERT_TRUE(reaches(next, 8 * bytes));
    }
    // What follows the last one counts too.
    configure(5, 1);
    ASSERT_TRUE(reaches(5, 8 * bytes));
    EXPECT_LE(link_.bytes() - before, bytes * 3 / 2 + 2 * other_traffic_bytes);
}

// Guards against a node that stays on an old version after a cut: it read all
// versions that it had missed, which did not fit the time of a call.
TEST_F(configuration_link, versions_missed_in_a_cut_do_not_hold_up_the_newest)
{
    configure(1, 1);
    start_node();
    ASSERT_TRUE(reaches(1, kilobyte * kilobyte));
    link_.set_cut(true);
    std::uint64_t bytes = 0;
    for (std::uint64_t next = 2; next <= 5; ++next)
        bytes = configure(next, medium_queues);
    link_.set_cut(false);
    // The one that was on its way, the newest one in base64, and half of one
    // for the calls that the cut broke off.
    EXPECT_TRUE(reaches(5, 3 * bytes + other_traffic_bytes));
}

// Guards against a node that learns of no version while it can't reach the
// store, though others can: only deployments with client accounts were asked.
TEST_F(configuration_link, other_nodes_tell_what_the_store_can_not)
{
    configure(1, 1);
    start_nodes();
    link_.set_cut(true);
    configure(2, large_queues);
    EXPECT_TRUE(eventually([&] { return version() == 2; }));
    // The version that was read last holds back what comes later but is older.
    link_.set_cut(false);
    configure(3, 1);
    EXPECT_TRUE(eventually([&] { return version() == 3; }));
}

// Guards against several copies of a configuration on a narrow link: each of
// three nodes sent a whole one, and the node asked again before they arrived.
TEST_F(configuration_link, one_node_sends_a_configuration_once)
{
    auto with_accounts = configuration(1, 1);
    with_accounts["tenants"] =
        json::array{{{"name", "acme"}, {"apiKeys", {"k1"}}, {"weight", 1}}};
    publish(with_accounts);
    start_nodes();
    link_.set_cut(true);
    auto larger = configuration(2, large_queues);
    larger["tenants"] = with_accounts["tenants"];
    publish(larger);
    ASSERT_TRUE(eventually([&] { return version() == 2; }));
    EXPECT_EQ(from_nodes("in force"), 1U);
    EXPECT_EQ(from_nodes("not newer"), 0U);
}

// Guards against a start that never ends: the first list of the newest records
// has the same time as any other call.
TEST_F(configuration_link, large_configuration_is_read_at_the_start)
{
    const auto bytes = configure(7, large_queues);
    start_node();
    EXPECT_TRUE(reaches(7, bytes * 2 + other_traffic_bytes));
}

// Guards against a start that waits for the store alone: over a narrow link the
// list of the newest records takes many times as long as another node's copy.
TEST_F(configuration_link, other_nodes_tell_a_starting_process)
{
    const auto bytes = configure(7, large_queues);
    const auto other = start_node("n2", platform_address_);
    ASSERT_TRUE(eventually(
        [&] { return metric(other, "tack_configuration_version") == 7; }));
    start_node();
    // Not the whole list, which has the records in base64.
    EXPECT_TRUE(reaches(7, bytes));
    EXPECT_EQ(from_nodes("in force"), 1U);
}

} // namespace dandeliontack::harness
