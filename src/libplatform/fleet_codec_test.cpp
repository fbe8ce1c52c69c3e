#include <dandeliontack/config_file.hpp>
#include <dandeliontack/config_kinds.hpp>
#include <dandeliontack/fleet_budget.hpp>
#include <dandeliontack/record_codec.hpp>

#include <gtest/gtest.h>

namespace
{

using namespace dandeliontack;
using namespace std::chrono_literals;

event_body coded(log_stream stream, event_body body)
{
    event e;
    e.origin = {stream, 5, {1, 2}, 3, 4};
    e.body = std::move(body);
    return decode_record(stream, 5, encode_record(e)).body;
}

const fleet_event& fleet_of(const event_body& body)
{
    return std::get<fleet_event>(body);
}

TEST(fleet_codec, each_record_comes_back_as_it_was)
{
    const auto claim = coded(
        log_stream::system, fleet_event{disruption_claimed{
                                "h1", disruption::move, "kernel", "spare"}});
    const auto& claimed = std::get<disruption_claimed>(fleet_of(claim));
    EXPECT_EQ(claimed.host, "h1");
    EXPECT_EQ(claimed.purpose, disruption::move);
    EXPECT_EQ(claimed.wave, "kernel");
    EXPECT_EQ(claimed.to_pool, "spare");
    const auto step = coded(
        log_stream::system,
        fleet_event{
            host_advanced{"h1", host_phase::drained, host_phase::rebooting}});
    const auto& advanced = std::get<host_advanced>(fleet_of(step));
    EXPECT_EQ(advanced.from, host_phase::drained);
    EXPECT_EQ(advanced.to, host_phase::rebooting);
    const auto applied =
        coded(log_stream::system, fleet_event{departures_applied{9}});
    EXPECT_EQ(std::get<departures_applied>(fleet_of(applied)).system_end, 9U);
    const auto ended =
        coded(log_stream::system, fleet_event{wave_ended{"kernel"}});
    EXPECT_EQ(std::get<wave_ended>(fleet_of(ended)).wave, "kernel");
}

TEST(fleet_codec, a_pool_and_a_wave_come_back_as_they_were)
{
    pool_config pool;
    pool.name = "a";
    pool.hosts = {"h1", "h2"};
    pool.budget_hosts = 1;
    pool.budget_share = 40;
    pool.budget_windows = {"18:00-02:00=2"};
    pool.reserve_hosts = 1;
    pool.reserve_rack = true;
    pool.spare = true;
    pool.drain_time = 7s;
    pool.borrow_time = 8s;
    const auto pool_back = coded(
        log_stream::operators, config_event{pool_published{"awa", 0, pool}});
    EXPECT_EQ(
        std::get<pool_published>(std::get<config_event>(pool_back)).config,
        pool);
    wave_config wave{"kernel", {"a"}, true, true, wave_policy_kind::fixed_tenth,
                     2,        3,     4s,   0.5,  6,
                     7};
    const auto wave_back = coded(
        log_stream::operators, config_event{wave_published{"awa", 0, wave}});
    EXPECT_EQ(
        std::get<wave_published>(std::get<config_event>(wave_back)).config,
        wave);
}

TEST(fleet_config, every_key_is_read)
{
    const auto parsed = parse_config_file(std::get<ini_document>(parse_ini(
        "c.ini",
        "[pool a]\nhosts = h1, h2\nbudget_share = 50\n"
        "budget_windows = 18:00-02:00=2, 2027-02-08/2027-03-09 17:30-23:00=80%"
        "\nreserve_hosts = 1\nreserve_rack = yes\nspare = yes\n"
        "drain_time = 30s\nborrow_time = 1h\n"
        "[wave kernel]\npools = a\npolicy = one-at-a-time\ncanary_hosts = 2\n"
        "halt_after = 3\nreturn_bound = 20m\nweight_rollout = 2.5\n")));
    const auto& events = std::get<std::vector<config_event>>(parsed);
    const auto& pool = std::get<pool_published>(events.at(0)).config;
    EXPECT_EQ(pool.budget_windows.size(), 2U);
    EXPECT_TRUE(pool.spare && pool.reserve_rack);
    EXPECT_EQ(pool.borrow_time, 1h);
    const auto& wave = std::get<wave_published>(events.at(1)).config;
    EXPECT_EQ(wave.policy, wave_policy_kind::one_at_a_time);
    EXPECT_EQ(wave.return_bound, 20min);
    EXPECT_EQ(wave.weight_rollout, 2.5);
}

TEST(fleet_config, all_findings_of_a_bad_pool_and_wave_come_together)
{
    pool_config pool;
    pool.name = "a";
    pool.hosts = {"h1"};
    pool.budget_share = 101;
    pool.budget_windows = {"18:00-02:00=2", "dusk=1", "18:00-25:00=1"};
    pool.drain_time = 0s;
    EXPECT_EQ(check(pool).size(), 5U);
    wave_config wave;
    wave.name = "kernel";
    wave.pools = {"a", "a"};
    wave.canary_hosts = 0;
    wave.halt_after = 0;
    wave.return_bound = 0s;
    wave.weight_moves = -1;
    EXPECT_EQ(check(wave).size(), 5U);
}

TEST(fleet_config, a_budget_window_wraps_at_midnight_and_keeps_to_its_days)
{
    pool_config pool;
    pool.hosts = {"h1", "h2", "h3", "h4"};
    pool.budget_hosts = 1;
    pool.budget_windows = {"2027-02-08/2027-02-09 18:00-02:00=75%"};
    const event_time day = std::chrono::sys_days(
        std::chrono::year(2027) / std::chrono::February / 8);
    const auto promise = [&](std::chrono::minutes at) {
        return promised_hosts(pool, day + at, day + at);
    };
    EXPECT_EQ(promise(17h + 59min), 1U);
    EXPECT_EQ(promise(18h), 3U);
    EXPECT_EQ(promise(25h + 59min), 3U);
    EXPECT_EQ(promise(26h), 1U);
    EXPECT_EQ(promise(49h), 3U);
    EXPECT_EQ(promise(66h), 1U);
    EXPECT_EQ(promised_hosts(pool, day + 17h, day + 18h), 3U);
}

} // namespace
