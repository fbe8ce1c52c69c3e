#include "job_driver.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace
{

using namespace dandeliontack;
using namespace dandeliontack::job_driver;

constexpr job_size host_size{16, 16000, 2};
constexpr job_size wide_quota{1000, 1000000, 100};

job_config make_job(
    const std::string& name, std::uint64_t processors = 1,
    job_class priority = job_class::normal, const std::string& team = "t")
{
    job_config config;
    config.name = name;
    config.team = team;
    config.pool = "p";
    config.priority = priority;
    config.processors = processors;
    config.memory_mb = 100;
    config.kind = "kind";
    return config;
}

driver make_driver(std::size_t hosts, std::uint64_t budget_hosts = 0)
{
    driver d;
    add_pool(d, "p", hosts, host_size, budget_hosts);
    add_team(d, "t", wide_quota);
    return d;
}

bool run_until_settled(driver& d, std::size_t most_steps)
{
    for (std::size_t i = 0; i < most_steps && !d.settled(); ++i)
        d.step(milliseconds(200));
    return d.settled();
}

std::size_t rejections(const effects& todo)
{
    return find_effect<record_rejected>(todo) ? 1 : 0;
}

void place_and_fail(driver& d, const std::string& job, const std::string& host)
{
    d.append(job_event{job_placed{job, host, {1, 100, 0}}});
    d.append(job_event{job_failed{job, d.s.jobs.jobs.at(job).lease}});
}

TEST(jobs, an_accepted_job_waits_runs_and_finishes)
{
    auto d = make_driver(1);
    add_job(d, make_job("a"));
    EXPECT_EQ(phase_of(d.s, "a"), job_phase::waiting);
    d.step(milliseconds(200));
    EXPECT_EQ(phase_of(d.s, "a"), job_phase::placed);
    d.step(milliseconds(200));
    EXPECT_EQ(phase_of(d.s, "a"), job_phase::running);
    EXPECT_TRUE(run_until_settled(d, 50));
    EXPECT_EQ(phase_of(d.s, "a"), job_phase::finished);
    EXPECT_TRUE(d.s.jobs.held_on_host.empty());
}

TEST(jobs, a_record_under_an_old_lease_changes_nothing)
{
    auto d = make_driver(2);
    add_job(d, make_job("a"));
    d.step(milliseconds(200));
    const auto old = d.s.jobs.jobs.at("a").lease;
    d.append(job_event{job_checkpointed{"a", old}});
    d.step(milliseconds(200));
    const auto before = d.s.jobs;
    EXPECT_EQ(rejections(d.append(job_event{job_finished{"a", old}})), 1U);
    EXPECT_EQ(rejections(d.append(job_event{job_failed{"a", old}})), 1U);
    EXPECT_EQ(d.s.jobs, before);
}

TEST(jobs, a_placement_is_void_where_it_does_not_hold)
{
    auto d = make_driver(1);
    add_team(d, "small", {8, 1000, 0});
    add_job(d, make_job("a"));
    add_job(d, make_job("b"));
    add_job(d, make_job("c", 1, job_class::normal, "small"));
    const auto place = [&](const std::string& job, std::uint64_t processors,
                           const std::string& host = "p-0") {
        return rejections(
            d.append(job_event{job_placed{job, host, {processors, 100, 0}}}));
    };
    EXPECT_EQ(place("nobody", 1), 1U);
    EXPECT_EQ(place("a", 1, "elsewhere"), 1U);
    EXPECT_EQ(place("a", 0), 1U);
    EXPECT_EQ(place("a", 17), 1U);
    EXPECT_EQ(place("c", 9), 1U);
    EXPECT_EQ(place("a", 9), 0U);
    // Another leader's placement of the same job, and one without room now.
    EXPECT_EQ(place("a", 1), 1U);
    EXPECT_EQ(place("b", 8), 1U);
    d.publish("b", true);
    EXPECT_EQ(place("b", 1), 1U);
    const auto lease = d.s.jobs.jobs.at("a").lease;
    d.append(job_event{job_started{"a", lease}});
    const auto resize = [&](std::uint64_t processors) {
        return rejections(
            d.append(job_event{job_resized{"a", lease, {processors, 100, 0}}}));
    };
    EXPECT_EQ(resize(17), 1U);
    EXPECT_EQ(resize(16), 0U);
}

TEST(jobs, a_suspicion_is_void_where_it_does_not_hold)
{
    auto d = make_driver(2, 1);
    const auto fail = [&](const std::string& job, const std::string& host) {
        place_and_fail(d, job, host);
    };
    for (const auto* job : {"a", "b", "c"})
        add_job(d, make_job(job));
    const auto suspect = [&](const std::string& host) {
        return rejections(d.append(job_event{host_suspected{host}}));
    };
    fail("a", "p-0");
    fail("b", "p-0");
    EXPECT_EQ(suspect("p-0"), 1U);
    fail("c", "p-0");
    fail("a", "p-1");
    EXPECT_EQ(suspect("p-0"), 0U);
    EXPECT_EQ(suspect("p-0"), 1U);
    fail("b", "p-1");
    fail("c", "p-1");
    // The budget keeps the last host.
    EXPECT_EQ(suspect("p-1"), 1U);
}

TEST(jobs, the_hash_covers_leases_and_estimates)
{
    auto d = make_driver(1);
    add_job(d, make_job("a"));
    d.step(milliseconds(200));
    auto other = d.s;
    ++other.jobs.jobs.at("a").lease;
    EXPECT_NE(hash_of(other), hash_of(d.s));
    other = d.s;
    other.jobs.kinds["kind"].peaks.push_back({1, 1, 1});
    EXPECT_NE(hash_of(other), hash_of(d.s));
}

TEST(jobs, a_host_that_is_gone_ends_the_lease_and_only_then)
{
    auto d = make_driver(2);
    add_job(d, make_job("a"));
    d.step(milliseconds(200));
    const auto run = d.s.jobs.jobs.at("a");
    const job_event lost = job_lost{"a", run.lease};
    EXPECT_EQ(rejections(d.append(lost)), 1U);
    d.append(fleet_event{host_observed{run.host, listing::gone}});
    EXPECT_EQ(rejections(d.append(lost)), 0U);
    EXPECT_EQ(phase_of(d.s, "a"), job_phase::waiting);
}

// A pool full of long jobs of a class; returns the delay of an urgent one.
milliseconds urgent_delay(job_class others)
{
    auto d = make_driver(3);
    for (int i = 0; i < 6; ++i)
        add_job(
            d, make_job("long" + std::to_string(i), 8, others),
            std::chrono::hours(1));
    for (int i = 0; i < 5; ++i)
        d.step(milliseconds(200));
    const auto accepted = d.now;
    add_job(d, make_job("now", 12, job_class::urgent));
    for (int i = 0; i < 50 && !d.started.contains("now"); ++i)
        d.step(milliseconds(200));
    return d.started.contains("now") ? d.started.at("now") - accepted
                                     : milliseconds::max();
}

TEST(jobs, urgent_work_starts_by_checkpointing_others)
{
    constexpr milliseconds bound(2600);
    EXPECT_LE(urgent_delay(job_class::deferrable), bound);
    EXPECT_LE(urgent_delay(job_class::normal), bound);
}

TEST(jobs, urgent_work_takes_deferrable_jobs_before_normal_ones)
{
    auto d = make_driver(1);
    add_job(d, make_job("n", 8), std::chrono::hours(1));
    add_job(d, make_job("d", 8, job_class::deferrable), std::chrono::hours(1));
    d.step(milliseconds(200));
    d.step(milliseconds(200));
    add_job(d, make_job("now", 8, job_class::urgent));
    d.step(milliseconds(200));
    EXPECT_EQ(phase_of(d.s, "n"), job_phase::running);
    EXPECT_EQ(phase_of(d.s, "d"), job_phase::checkpointing);
}

TEST(jobs, urgent_work_makes_room_in_its_own_teams_quota)
{
    auto d = make_driver(2);
    add_team(d, "small", {8, 1000, 0});
    add_job(
        d, make_job("d", 8, job_class::deferrable, "small"),
        std::chrono::hours(1));
    d.step(milliseconds(200));
    add_job(d, make_job("now", 8, job_class::urgent, "small"));
    for (int i = 0; i < 13; ++i)
        d.step(milliseconds(200));
    EXPECT_TRUE(d.started.contains("now"));
}

TEST(jobs, what_can_never_run_is_reported_at_once_and_blocks_nobody)
{
    auto d = make_driver(1);
    add_team(d, "small", {4, 1000, 0});
    add_job(d, make_job("huge", 17));
    add_job(d, make_job("greedy", 5, job_class::normal, "small"));
    add_job(d, make_job("a"));
    d.step(milliseconds(200));
    d.step(milliseconds(200));
    EXPECT_EQ(phase_of(d.s, "huge"), job_phase::unrunnable);
    EXPECT_EQ(phase_of(d.s, "greedy"), job_phase::unrunnable);
    EXPECT_EQ(phase_of(d.s, "a"), job_phase::running);
    // A larger quota is reason enough to try again.
    d.publish(team_published{"driver", 1, {"small", 8, 1000, 0}});
    d.step(milliseconds(200));
    d.step(milliseconds(200));
    EXPECT_NE(phase_of(d.s, "greedy"), job_phase::unrunnable);
}

TEST(jobs, a_large_job_is_not_passed_by_small_ones_for_ever)
{
    auto d = make_driver(1);
    for (int i = 0; i < 4; ++i)
        add_job(d, make_job("first" + std::to_string(i), 4), seconds(2 + i));
    d.step(milliseconds(200));
    auto large = make_job("large", 16);
    large.kind = "large";
    add_job(d, large);
    for (int i = 0; i < 200 && !d.started.contains("large"); ++i)
    {
        if (i % 2 == 0)
            add_job(d, make_job("small" + std::to_string(i), 4), seconds(3));
        d.step(milliseconds(200));
    }
    EXPECT_TRUE(d.started.contains("large"));
}

TEST(jobs, deferrable_work_is_not_passed_by_normal_work_for_ever)
{
    auto d = make_driver(1);
    add_job(d, make_job("d", 16, job_class::deferrable));
    for (int i = 0; i < 5000 && !d.started.contains("d"); ++i)
    {
        const auto name = "n" + std::to_string(i);
        add_job(d, make_job(name, 16), milliseconds(200));
        if (i % 8 == 0)
            d.step(milliseconds(200));
        else
            d.publish(name, true);
    }
    EXPECT_TRUE(d.started.contains("d"));
}

TEST(jobs, a_team_with_many_jobs_leaves_room_to_others)
{
    auto d = make_driver(1);
    add_team(d, "u", wide_quota);
    for (int i = 0; i < 100; ++i)
        add_job(d, make_job("many" + std::to_string(i), 4), seconds(2));
    add_job(d, make_job("one", 4, job_class::normal, "u"));
    d.step(milliseconds(200));
    EXPECT_EQ(phase_of(d.s, "one"), job_phase::placed);
}

TEST(jobs, estimates_are_learned_by_kind_with_a_margin)
{
    auto d = make_driver(2);
    for (int i = 0; i < 4; ++i)
    {
        const auto name = "a" + std::to_string(i);
        d.truth[name] = {{4, 800, 0}, seconds(2)};
        add_job(d, make_job(name, 12));
    }
    ASSERT_TRUE(run_until_settled(d, 100));
    EXPECT_EQ(estimated_size(d.s, make_job("b", 12)), (job_size{5, 900, 0}));
}

TEST(jobs, an_accelerator_that_was_idle_is_still_asked_for)
{
    auto d = make_driver(2);
    auto config = make_job("b");
    config.accelerators = 1;
    for (int i = 0; i < 4; ++i)
    {
        const auto name = "a" + std::to_string(i);
        d.truth[name] = {{1, 100, 0}, seconds(2)};
        add_job(d, make_job(name));
    }
    ASSERT_TRUE(run_until_settled(d, 100));
    EXPECT_EQ(estimated_size(d.s, config).accelerators, 1U);
}

TEST(jobs, over_its_size_a_job_is_throttled_checkpointed_and_stopped)
{
    auto d = make_driver(1);
    add_job(d, make_job("other", 15), std::chrono::hours(1));
    d.truth["a"] = {{1, 20000, 0}, std::chrono::hours(1)};
    add_job(d, make_job("a", 1));
    std::vector<job_action> seen;
    for (int i = 0; i < 60; ++i)
        d.step(milliseconds(100));
    for (const auto& e : d.history)
        if (const auto* job = std::get_if<job_event>(&e.body))
            if (const auto* asked = std::get_if<job_action_requested>(job))
                seen.push_back(asked->action);
    EXPECT_EQ(
        seen, (std::vector{job_action::throttle, job_action::checkpoint}));
    // It outgrows every host, which is reported.
    EXPECT_EQ(phase_of(d.s, "a"), job_phase::unrunnable);
}

TEST(jobs, a_checkpoint_that_never_comes_ends_in_a_stop)
{
    auto d = make_driver(1);
    add_job(d, make_job("a"));
    d.step(milliseconds(200));
    const auto lease = d.s.jobs.jobs.at("a").lease;
    d.append(
        job_event{job_action_requested{"a", lease, job_action::checkpoint}});
    d.now += milliseconds(1201);
    for (const auto& proposal : d.plan())
        d.append(proposal);
    EXPECT_EQ(phase_of(d.s, "a"), job_phase::stopping);
}

TEST(jobs, a_job_that_fails_on_several_hosts_is_reported)
{
    auto d = make_driver(4);
    d.truth["bad"] = {{1, 1, 0}, seconds(1), true};
    add_job(d, make_job("bad"));
    add_job(d, make_job("good"));
    EXPECT_TRUE(run_until_settled(d, 100));
    EXPECT_EQ(phase_of(d.s, "bad"), job_phase::unrunnable);
    EXPECT_EQ(phase_of(d.s, "good"), job_phase::finished);
    // The failures were its own: they say nothing about the hosts.
    EXPECT_TRUE(std::ranges::all_of(d.s.jobs.failures, [](auto& item) {
        return item.second.jobs.empty() && !item.second.suspected;
    }));
}

// Found by the property test: with two of four hosts closed, a job that fails
// everywhere never met a third and went on for ever.
TEST(jobs, a_failing_job_is_reported_where_few_hosts_take_jobs)
{
    auto d = make_driver(4);
    for (const auto* host : {"p-0", "p-1"})
        d.append(fleet_event{
            host_observed{host, listing::leaving, "dc", "rack", 16, 16000, 2}});
    d.truth["bad"] = {{1, 1, 0}, seconds(1), true};
    add_job(d, make_job("bad"));
    EXPECT_TRUE(run_until_settled(d, 100));
    EXPECT_EQ(phase_of(d.s, "bad"), job_phase::unrunnable);
}

TEST(jobs, a_host_on_which_different_jobs_fail_is_suspected_within_budget)
{
    auto d = make_driver(3, 2);
    d.bad_hosts = {"p-0", "p-1"};
    for (int i = 0; i < 30; ++i)
        add_job(d, make_job("a" + std::to_string(i), 4), seconds(1));
    EXPECT_TRUE(run_until_settled(d, 500));
    const auto suspected = std::ranges::count_if(
        d.s.jobs.failures, [](auto& item) { return item.second.suspected; });
    EXPECT_EQ(suspected, 1);
    EXPECT_TRUE(std::ranges::all_of(d.s.config.jobs, [&](auto& item) {
        return phase_of(d.s, item.first) == job_phase::finished;
    }));
}

TEST(jobs, a_job_that_failed_on_suspected_hosts_only_waits_again)
{
    auto d = make_driver(4);
    const std::vector<std::string> hosts{"p-0", "p-1", "p-2"};
    add_job(d, make_job("a"));
    for (const auto& host : hosts)
        place_and_fail(d, "a", host);
    EXPECT_EQ(phase_of(d.s, "a"), job_phase::unrunnable);
    for (const auto& host : hosts)
    {
        for (const auto* suffix : {"x", "y", "z"})
        {
            add_job(d, make_job(host + suffix));
            place_and_fail(d, host + suffix, host);
        }
        d.append(job_event{host_suspected{host}});
    }
    EXPECT_EQ(phase_of(d.s, "a"), job_phase::waiting);
}

TEST(jobs, a_reported_job_that_is_published_anew_waits_again)
{
    auto d = make_driver(3);
    auto config = add_job(d, make_job("a"));
    for (const auto* host : {"p-0", "p-1", "p-2"})
        place_and_fail(d, "a", host);
    EXPECT_EQ(phase_of(d.s, "a"), job_phase::unrunnable);
    d.publish(job_published{"driver", 1, config});
    EXPECT_EQ(phase_of(d.s, "a"), job_phase::waiting);
    d.step(milliseconds(200));
    EXPECT_EQ(phase_of(d.s, "a"), job_phase::placed);
    EXPECT_TRUE(d.s.jobs.jobs.at("a").failed_on.empty());
}

TEST(jobs, jobs_leave_a_leaving_host_by_checkpoint)
{
    auto d = make_driver(2);
    add_job(d, make_job("a"), std::chrono::hours(1));
    d.step(milliseconds(200));
    d.step(milliseconds(200));
    const auto host = d.s.jobs.jobs.at("a").host;
    d.append(fleet_event{
        host_observed{host, listing::leaving, "dc", "rack", 16, 16000, 2}});
    d.step(milliseconds(200));
    EXPECT_EQ(phase_of(d.s, "a"), job_phase::checkpointing);
    for (int i = 0; i < 10; ++i)
        d.step(milliseconds(200));
    EXPECT_EQ(phase_of(d.s, "a"), job_phase::running);
    EXPECT_NE(d.s.jobs.jobs.at("a").host, host);
}

TEST(jobs, a_job_that_never_starts_is_stopped)
{
    auto d = make_driver(1);
    add_job(d, make_job("a"));
    d.step(milliseconds(200));
    d.now += milliseconds(10001);
    for (const auto& proposal : d.plan())
        d.append(proposal);
    EXPECT_EQ(phase_of(d.s, "a"), job_phase::stopping);
}

TEST(jobs, a_report_beyond_all_bounds_overflows_nothing)
{
    auto d = make_driver(1);
    const auto config = add_job(d, make_job("a"));
    d.step(milliseconds(200));
    const auto most = ~std::uint64_t{0};
    d.append(job_event{
        job_reported{"a", d.s.jobs.jobs.at("a").lease, {most, most, most}}});
    EXPECT_FALSE(fits(estimated_size(d.s, config), host_size));
    EXPECT_LT(d.s.jobs.jobs.at("a").usage.memory_mb, most);
}

TEST(jobs, a_wave_of_cancellations_is_bounded_work_a_step)
{
    auto d = make_driver(30);
    for (int i = 0; i < 400; ++i)
        add_job(d, make_job("a" + std::to_string(i)), std::chrono::hours(1));
    d.step(milliseconds(200));
    d.step(milliseconds(200));
    for (int i = 0; i < 400; ++i)
        d.publish("a" + std::to_string(i), true);
    d.step(milliseconds(200));
    EXPECT_EQ(d.last_proposals, 128U);
    EXPECT_TRUE(run_until_settled(d, 10));
    for (int i = 0; i < 400; ++i)
        add_job(d, make_job("huge" + std::to_string(i), 17));
    d.step(milliseconds(200));
    EXPECT_EQ(d.last_proposals, 128U);
}

TEST(jobs, findings_on_teams_and_jobs_that_run)
{
    auto d = make_driver(1);
    add_job(d, make_job("a", 4));
    d.step(milliseconds(200));
    d.publish(team_published{"driver", 1, {"t", 3, 100000, 0}});
    EXPECT_EQ(d.s.config.teams.at("t").revision, 1U);
    auto moved = make_job("a", 4);
    moved.team = "u";
    add_team(d, "u", wide_quota);
    d.publish(job_published{"driver", 1, moved});
    EXPECT_EQ(d.s.config.jobs.at("a").revision, 1U);
    EXPECT_EQ(d.s.order.rejections.size(), 2U);
}

} // namespace
