#include "fleet_driver.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace
{

using namespace dandeliontack;
using namespace std::chrono_literals;
using driver::fleet_driver;

constexpr event_time noon{
    std::chrono::sys_days(std::chrono::year(2027) / 2 / 10) + 12h};

std::string host_name(const std::string& pool, std::uint64_t number)
{
    return pool + "-h" + std::to_string(number);
}

pool_config
make_pool(const std::string& name, std::uint64_t hosts, std::uint64_t budget)
{
    pool_config pool;
    pool.name = name;
    pool.budget_hosts = budget;
    for (std::uint64_t n = 0; n < hosts; ++n)
        pool.hosts.push_back(host_name(name, n));
    return pool;
}

void add_pool(fleet_driver& fleet, const pool_config& pool)
{
    std::uint64_t number = 0;
    for (const auto& name : pool.hosts)
        fleet.add_host(
            name, pool.name + "-r" + std::to_string(number++ / 4), "dc");
    fleet.publish(pool);
    fleet.step(1s);
}

wave_config make_wave(std::vector<std::string> pools)
{
    wave_config wave;
    wave.name = "kernel";
    wave.pools = std::move(pools);
    return wave;
}

const wave_progress& progress(const fleet_driver& fleet)
{
    return fleet.s.fleet.waves.at("kernel");
}

disruption_claimed maintain(const std::string& host)
{
    return {host, disruption::maintenance, "kernel", {}};
}

bool run_until(fleet_driver& fleet, const std::function<bool()>& condition)
{
    for (int step = 0; step < 20000 && !condition(); ++step)
        fleet.step(30s);
    return condition();
}

TEST(fleet, a_wave_maintains_every_host_once_and_ends)
{
    fleet_driver fleet(noon);
    add_pool(fleet, make_pool("a", 8, 6));
    fleet.publish(make_wave({"a"}));
    EXPECT_TRUE(run_until(fleet, [&] { return progress(fleet).ended; }));
    EXPECT_EQ(progress(fleet).done.size(), 8U);
    EXPECT_EQ(fleet.capacity("a"), 8U);
    EXPECT_EQ(fleet.rejected, 0U);
}

TEST(fleet, the_first_host_is_a_canary)
{
    fleet_driver fleet(noon);
    add_pool(fleet, make_pool("a", 8, 4));
    fleet.publish(make_wave({"a"}));
    fleet.step(1s);
    EXPECT_EQ(fleet.capacity("a"), 7U);
    EXPECT_TRUE(
        run_until(fleet, [&] { return progress(fleet).done.size() == 1; }));
    fleet.step(1s);
    EXPECT_EQ(fleet.capacity("a"), 6U);
}

TEST(fleet, a_claim_is_void_where_the_promise_would_not_hold)
{
    fleet_driver fleet(noon);
    add_pool(fleet, make_pool("a", 4, 3));
    auto wave = make_wave({"a"});
    fleet.publish(wave);
    EXPECT_TRUE(fleet.apply(fleet_event{maintain("a-h0")}));
    EXPECT_FALSE(fleet.apply(fleet_event{maintain("a-h1")}));
}

TEST(fleet, hosts_that_failed_or_were_never_seen_count_against_the_budget)
{
    fleet_driver fleet(noon);
    auto pool = make_pool("a", 4, 3);
    add_pool(fleet, pool);
    fleet.fail("a-h0", 1h);
    fleet.step(1s);
    EXPECT_FALSE(fleet.apply(fleet_event{
        disruption_claimed{"a-h1", disruption::quarantine, {}, {}}}));

    auto unknown = make_pool("b", 4, 3);
    fleet.publish(unknown);
    EXPECT_FALSE(fleet.apply(
        fleet_event{disruption_claimed{"a-h1", disruption::move, {}, "b"}}));
    for (const auto& [name, host] : fleet.s.fleet.hosts)
        EXPECT_TRUE(host.pool != "b" || !in_service(host));
}

TEST(fleet, a_budget_that_rises_while_a_host_would_be_away_voids_the_claim)
{
    fleet_driver fleet(noon);
    auto pool = make_pool("a", 4, 2);
    pool.budget_windows = {"2027-02-08/2027-03-09 12:10-02:00=100%"};
    add_pool(fleet, pool);
    fleet.publish(make_wave({"a"}));
    EXPECT_FALSE(fleet.apply(fleet_event{maintain("a-h0")}));
    fleet.now = noon + std::chrono::days(40);
    EXPECT_TRUE(fleet.apply(fleet_event{maintain("a-h0")}));
}

TEST(fleet, two_racks_are_not_open_at_once_unless_a_third_may_be_lost)
{
    fleet_driver tight(noon);
    add_pool(tight, make_pool("a", 12, 7));
    tight.publish(make_wave({"a"}));
    EXPECT_TRUE(tight.apply(fleet_event{maintain("a-h0")}));
    EXPECT_FALSE(tight.apply(fleet_event{maintain("a-h4")}));
    EXPECT_TRUE(tight.apply(fleet_event{maintain("a-h1")}));

    // 10 hosts stay in service, 6 with the largest rack lost.
    fleet_driver roomy(noon);
    add_pool(roomy, make_pool("a", 12, 6));
    roomy.publish(make_wave({"a"}));
    EXPECT_TRUE(roomy.apply(fleet_event{maintain("a-h0")}));
    EXPECT_TRUE(roomy.apply(fleet_event{maintain("a-h4")}));
}

TEST(fleet, a_wave_is_halted_by_failures_and_resumes_when_published_again)
{
    fleet_driver fleet(noon);
    add_pool(fleet, make_pool("a", 8, 4));
    for (auto& [name, host] : fleet.hosts)
        host.returns = false;
    fleet.publish(make_wave({"a"}));
    EXPECT_TRUE(
        run_until(fleet, [&] { return progress(fleet).halted_revision == 1; }));
    EXPECT_EQ(progress(fleet).failed.size(), 2U);
    const auto claimed = fleet.capacity("a");
    fleet.step(1h);
    EXPECT_EQ(fleet.capacity("a"), claimed);

    for (auto& [name, host] : fleet.hosts)
    {
        host.returns = true;
        host.away_until = fleet.now;
    }
    fleet.publish(make_wave({"a"}));
    EXPECT_TRUE(run_until(fleet, [&] { return progress(fleet).ended; }));
}

TEST(fleet, a_host_that_failed_before_its_turn_does_not_hold_up_the_wave)
{
    fleet_driver fleet(noon);
    add_pool(fleet, make_pool("a", 8, 4));
    fleet.fail("a-h7", std::chrono::days(365));
    fleet.step(1s);
    fleet.publish(make_wave({"a"}));
    EXPECT_TRUE(run_until(fleet, [&] { return progress(fleet).ended; }));
    EXPECT_EQ(progress(fleet).done.size(), 7U);
}

TEST(fleet, pause_holds_a_wave_and_abort_undoes_its_drains)
{
    fleet_driver fleet(noon);
    add_pool(fleet, make_pool("a", 8, 4));
    auto wave = make_wave({"a"});
    wave.canary_hosts = 3;
    fleet.publish(wave);
    fleet.step(1s);
    EXPECT_EQ(fleet.capacity("a"), 5U);
    wave.paused = true;
    fleet.publish(wave);
    EXPECT_TRUE(
        run_until(fleet, [&] { return progress(fleet).done.size() == 3; }));
    fleet.step(1h);
    EXPECT_EQ(fleet.capacity("a"), 8U);
    EXPECT_FALSE(fleet.apply(fleet_event{maintain("a-h7")}));

    wave.paused = false;
    fleet.publish(wave);
    fleet.step(1s);
    wave.aborted = true;
    fleet.publish(wave);
    EXPECT_TRUE(run_until(fleet, [&] { return progress(fleet).ended; }));
    EXPECT_EQ(progress(fleet).done.size(), 3U);
    EXPECT_EQ(fleet.capacity("a"), 8U);
}

TEST(fleet, a_moved_host_joins_only_after_its_departure_is_applied_everywhere)
{
    fleet_driver fleet(noon);
    auto a = make_pool("a", 4, 2);
    auto b = make_pool("b", 4, 2);
    add_pool(fleet, a);
    add_pool(fleet, b);
    fleet.acknowledges = false;
    a.hosts.pop_back();
    fleet.publish(a);
    b.hosts.push_back("a-h3");
    fleet.publish(b);
    EXPECT_EQ(fleet.s.fleet.hosts.at("a-h3").pool, "a");
    for (int step = 0; step < 20; ++step)
        fleet.step(1min);
    const auto& host = fleet.s.fleet.hosts.at("a-h3");
    EXPECT_EQ(host.pool, "");
    EXPECT_EQ(host.phase, host_phase::joining);
    EXPECT_FALSE(fleet.apply(fleet_event{
        host_advanced{"a-h3", host_phase::joining, host_phase::serving}}));
    fleet.acknowledges = true;
    fleet.step(1s);
    EXPECT_EQ(host.pool, "b");
    EXPECT_EQ(fleet.capacity("b"), 5U);
}

TEST(fleet, a_host_that_no_pool_names_any_more_leaves_within_the_budget)
{
    fleet_driver fleet(noon);
    auto pool = make_pool("a", 4, 4);
    add_pool(fleet, pool);
    pool.hosts.pop_back();
    fleet.publish(pool);
    fleet.step(1h);
    EXPECT_EQ(fleet.capacity("a"), 4U);
    pool.budget_hosts = 3;
    fleet.publish(pool);
    fleet.step(1min);
    fleet.step(1min);
    EXPECT_EQ(fleet.capacity("a"), 3U);
    EXPECT_EQ(fleet.s.fleet.hosts.at("a-h3").pool, "");
}

TEST(fleet, a_host_that_is_named_again_while_it_leaves_comes_back)
{
    fleet_driver fleet(noon);
    auto pool = make_pool("a", 4, 3);
    add_pool(fleet, pool);
    const auto whole = pool.hosts;
    pool.hosts.pop_back();
    fleet.publish(pool);
    fleet.step(1s);
    EXPECT_EQ(fleet.capacity("a"), 3U);
    pool.hosts = whole;
    fleet.publish(pool);
    EXPECT_TRUE(run_until(fleet, [&] { return fleet.capacity("a") == 4; }));
}

TEST(fleet, a_pool_that_refuses_when_stale_bounds_the_departure)
{
    fleet_driver fleet(noon);
    auto a = make_pool("a", 4, 2);
    a.when_stale = stale_policy::refuse;
    add_pool(fleet, a);
    add_pool(fleet, make_pool("b", 4, 2));
    fleet.acknowledges = false;
    ASSERT_TRUE(fleet.apply(
        fleet_event{disruption_claimed{"a-h3", disruption::move, {}, "b"}}));
    fleet.step(10s);
    EXPECT_EQ(fleet.s.fleet.hosts.at("a-h3").pool, "");
    fleet.step(2 * a.staleness_bound);
    EXPECT_EQ(fleet.s.fleet.hosts.at("a-h3").pool, "");
    fleet.step(1s);
    EXPECT_EQ(fleet.s.fleet.hosts.at("a-h3").pool, "b");
}

TEST(fleet, a_full_pool_borrows_for_its_wave_and_gives_back)
{
    fleet_driver fleet(noon);
    add_pool(fleet, make_pool("a", 4, 4));
    auto spare = make_pool("office", 8, 4);
    spare.spare = true;
    add_pool(fleet, spare);
    fleet.publish(make_wave({"a"}));
    EXPECT_TRUE(run_until(fleet, [&] { return progress(fleet).ended; }));
    EXPECT_EQ(progress(fleet).done.size(), 4U);
    EXPECT_TRUE(run_until(fleet, [&] {
        return fleet.capacity("office") == 8 && fleet.capacity("a") == 4;
    }));
}

TEST(fleet, a_wave_over_a_pool_unknown_or_without_room_is_rejected)
{
    fleet_driver fleet(noon);
    fleet.publish(make_wave({"a"}));
    EXPECT_TRUE(fleet.s.config.waves.empty());
    add_pool(fleet, make_pool("a", 4, 4));
    fleet.publish(make_wave({"a"}));
    EXPECT_TRUE(fleet.s.config.waves.empty());
    EXPECT_EQ(
        fleet.s.order.rejections.back().found.at(0).message,
        "pool a promises all its hosts and no other pool is spare");
}

TEST(fleet, a_pool_with_a_rack_reserve_holds_a_rack_back_in_a_wave)
{
    fleet_driver fleet(noon);
    auto pool = make_pool("a", 12, 8);
    pool.reserve_rack = true;
    add_pool(fleet, pool);
    fleet.publish(make_wave({"a"}));
    EXPECT_FALSE(fleet.apply(fleet_event{maintain("a-h0")}));
    pool.budget_hosts = 7;
    fleet.publish(pool);
    EXPECT_TRUE(fleet.apply(fleet_event{maintain("a-h0")}));
}

struct random_fleet
{
    fleet_driver fleet{noon};
    std::vector<std::string> pools;
    bool failures = false;
};

void publish_random_pools(random_fleet& out)
{
    const auto count = *rc::gen::inRange<std::uint64_t>(1, 4);
    for (std::uint64_t n = 0; n < count; ++n)
    {
        const auto size = *rc::gen::inRange<std::uint64_t>(1, 13);
        const auto budget = *rc::gen::inRange<std::uint64_t>(0, size);
        auto pool = make_pool("p" + std::to_string(n), size, budget);
        pool.reserve_rack = *rc::gen::arbitrary<bool>();
        pool.spare = *rc::gen::arbitrary<bool>();
        pool.reserve_hosts = *rc::gen::inRange<std::uint64_t>(0, 2);
        if (*rc::gen::arbitrary<bool>())
            pool.budget_windows = {"13:00-03:00=80%"};
        add_pool(out.fleet, pool);
        out.pools.push_back(pool.name);
    }
}

wave_config any_wave(const std::string& name, const random_fleet& of)
{
    auto wave = make_wave({*rc::gen::elementOf(of.pools)});
    wave.name = name;
    wave.policy = static_cast<wave_policy_kind>(*rc::gen::inRange(0, 3));
    wave.canary_hosts = *rc::gen::inRange<std::uint64_t>(1, 4);
    wave.paused = *rc::gen::inRange(0, 8) == 0;
    wave.aborted = *rc::gen::inRange(0, 8) == 0;
    return wave;
}

// Publishes a pool without its last host, as far as it promises fewer.
void shrink_pool(random_fleet& of)
{
    auto pool =
        of.fleet.s.config.pools.at(*rc::gen::elementOf(of.pools)).config;
    if (pool.hosts.empty())
        return;
    pool.hosts.pop_back();
    if (promised_hosts(pool, noon, noon + 24h) <= pool.hosts.size())
        of.fleet.publish(pool);
}

// A failure, an operator's act, or a proposal that races with the planner.
void disturb(random_fleet& of)
{
    auto& fleet = of.fleet;
    const auto& hosts = fleet.s.fleet.hosts;
    const auto at = *rc::gen::inRange<std::size_t>(0, hosts.size());
    const auto& name = std::next(hosts.begin(), static_cast<long>(at))->first;
    switch (*rc::gen::inRange(0, of.failures ? 7 : 5))
    {
    case 0:
        fleet.publish(any_wave("w1", of));
        break;
    case 1:
        fleet.publish(any_wave("w2", of));
        break;
    case 2:
        fleet.apply(fleet_event{disruption_claimed{
            name, disruption::move, {}, *rc::gen::elementOf(of.pools)}});
        break;
    case 3:
        fleet.apply(fleet_event{
            disruption_claimed{name, disruption::maintenance, "w1", {}}});
        break;
    case 4:
        shrink_pool(of);
        break;
    case 5:
        fleet.fail(name, 1h);
        break;
    default:
        fleet.hosts.at(name).returns = false;
        break;
    }
}

std::uint64_t promise_now(const fleet_driver& fleet, const std::string& pool)
{
    return promised_hosts(
        fleet.s.config.pools.at(pool).config, fleet.now, fleet.now);
}

RC_GTEST_PROP(fleet_property, without_failures_no_pool_is_below_promise, ())
{
    random_fleet random;
    publish_random_pools(random);
    std::map<std::string, std::uint64_t> held;
    for (const auto& pool : random.pools)
    {
        const auto& config = random.fleet.s.config.pools.at(pool).config;
        RC_PRE(promised_hosts(config, noon, noon + 24h) <= config.hosts.size());
    }
    for (int step = 0; step < 60; ++step)
    {
        if (*rc::gen::inRange(0, 3) == 0)
            disturb(random);
        random.fleet.step(3min);
        for (const auto& pool : random.pools)
            RC_ASSERT(
                random.fleet.capacity(pool) >= promise_now(random.fleet, pool));
    }
}

// Whether a disruption has begun in a pool that is now below its promise by
// what the log knows.
bool broke_promise(const state& before, const state& after, event_time now)
{
    return std::ranges::any_of(after.fleet.hosts, [&](const auto& item) {
        const auto& old = before.fleet.hosts.at(item.first);
        if (old.pool.empty() || old.purpose != disruption::none ||
            item.second.purpose == disruption::none || !in_service(old))
            return false;
        const auto serving =
            std::ranges::count_if(after.fleet.hosts, [&](const auto& other) {
                return other.second.pool == old.pool && other.second.observed &&
                       other.second.listed == listing::live &&
                       other.second.phase == host_phase::serving;
            });
        const auto& pool = after.config.pools.at(old.pool).config;
        return static_cast<std::uint64_t>(serving) <
               promised_hosts(pool, now, now);
    });
}

RC_GTEST_PROP(fleet_property, no_disruption_begins_below_promise, ())
{
    random_fleet random;
    random.failures = true;
    publish_random_pools(random);
    auto& fleet = random.fleet;
    for (int step = 0; step < 60; ++step)
    {
        const auto before = fleet.s;
        if (*rc::gen::inRange(0, 3) == 0)
            disturb(random);
        RC_ASSERT(!broke_promise(before, fleet.s, fleet.now));
        fleet.now += 3min;
        fleet.plan();
        const auto planned = fleet.s;
        fleet.plan();
        RC_ASSERT(!broke_promise(planned, fleet.s, fleet.now));
        fleet.step(1s);
    }
}

// Follows what a node that lags may still route to: a host must not be in two
// pools by any state of the last steps that was not acknowledged.
RC_GTEST_PROP(fleet_property, a_lagging_node_never_sees_a_host_in_two_pools, ())
{
    random_fleet random;
    random.failures = true;
    publish_random_pools(random);
    auto& fleet = random.fleet;
    fleet.acknowledges = false;
    // The lagging node's state, and the newest one.
    auto lagging = fleet.s.fleet.hosts;
    for (int step = 0; step < 60; ++step)
    {
        if (*rc::gen::inRange(0, 2) == 0)
            disturb(random);
        fleet.step(1min);
        if (*rc::gen::inRange(0, 4) == 0)
        {
            lagging = fleet.s.fleet.hosts;
            fleet.apply(
                fleet_event{departures_applied{fleet.s.order.system_end}});
        }
        for (const auto& [name, host] : fleet.s.fleet.hosts)
        {
            const auto& old = lagging.at(name);
            RC_ASSERT(
                host.pool.empty() || old.pool.empty() ||
                old.pool == host.pool || old.phase != host_phase::serving ||
                host.phase != host_phase::serving);
        }
    }
}

RC_GTEST_PROP(fleet_property, every_wave_ends_or_is_reported_held_up, ())
{
    random_fleet random;
    random.failures = true;
    publish_random_pools(random);
    for (int step = 0; step < 30; ++step)
    {
        if (*rc::gen::inRange(0, 2) == 0)
            disturb(random);
        random.fleet.step(3min);
    }
    auto& fleet = random.fleet;
    for (auto& [name, host] : fleet.hosts)
        host.returns = true;
    for (int step = 0; step < 3 * 24 * 20; ++step)
        fleet.step(3min);
    for (const auto& [name, wave] : fleet.s.config.waves)
    {
        const auto& last = fleet.s.fleet.waves.at(name);
        const bool reported = wave.config.paused ||
                              last.halted_revision == wave.revision ||
                              !waiting_pools(fleet.s, name, fleet.now).empty();
        RC_ASSERT(last.ended || reported);
    }
}

} // namespace
