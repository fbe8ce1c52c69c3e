#include <dandeliontack/reducer.hpp>
#include <dandeliontack/snapshot.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace
{

using namespace dandeliontack;

std::uint64_t any_number()
{
    return *rc::gen::inRange<std::uint64_t>(0, 1U << 30U);
}

std::string any_name()
{
    return *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
}

incarnation any_node()
{
    return {any_number(), any_number()};
}

std::size_t any_count()
{
    return *rc::gen::inRange<std::size_t>(0, 4);
}

template <class Config>
in_force<Config> in_force_with(Config config)
{
    return {std::move(config), any_number(), any_number()};
}

config_state any_config()
{
    config_state s;
    for (auto i = any_count(); i > 0; --i)
    {
        pool_config pool;
        pool.name = any_name();
        pool.hosts = {any_name(), any_name()};
        pool.budget_hosts = any_number();
        pool.staleness_bound = std::chrono::milliseconds(any_number());
        pool.when_stale = stale_policy::refuse;
        s.pools.insert_or_assign(pool.name, in_force_with(pool));
        service_config service;
        service.key = {any_name(), any_number()};
        service.pool = any_name();
        s.services.insert_or_assign(service.key, in_force_with(service));
        job_config job;
        job.name = any_name();
        job.team = any_name();
        job.processors = any_number();
        s.jobs.insert_or_assign(job.name, in_force_with(job));
        wave_config wave;
        wave.name = any_name();
        s.waves.insert_or_assign(wave.name, in_force_with(wave));
        team_config team;
        team.name = any_name();
        s.teams.insert_or_assign(team.name, in_force_with(team));
    }
    return s;
}

order_state any_order()
{
    order_state s;
    s.system_end = any_number();
    s.operators_end = any_number();
    s.records = any_number();
    s.snapshot_end = any_number();
    s.progress = {any_node(), any_number(), any_number()};
    for (auto i = any_count(); i > 0; --i)
    {
        s.writers.insert_or_assign(
            any_node(), order_state::writer_mark{any_number(), any_number()});
        s.rejections.push_back(
            {log_stream::operators,
             any_number(),
             any_node(),
             {{any_name(), 3, any_name(), any_name()}}});
    }
    return s;
}

std::chrono::sys_time<std::chrono::milliseconds> any_time()
{
    return std::chrono::sys_time<std::chrono::milliseconds>(
        std::chrono::milliseconds(any_number()));
}

job_size any_size()
{
    return {any_number(), any_number(), any_number()};
}

host_record any_host()
{
    host_record host;
    host.listed = listing::leaving;
    host.rack = any_name();
    host.data_centre = any_name();
    host.processors = any_number();
    host.memory_mb = any_number();
    host.accelerators = any_number();
    host.observed = true;
    host.pool = any_name();
    host.phase = host_phase::rebooting;
    host.purpose = disruption::move;
    host.wave = any_name();
    host.to_pool = any_name();
    host.since = any_time();
    host.offset = any_number();
    host.term = any_number();
    host.seen_away = true;
    host.departure_bound = std::chrono::milliseconds(any_number());
    return host;
}

fleet_state any_fleet()
{
    fleet_state s;
    for (auto i = any_count(); i > 0; --i)
    {
        s.hosts.insert_or_assign(any_name(), any_host());
        s.waves.insert_or_assign(
            any_name(), wave_progress{
                            {any_name(), any_name()},
                            {any_name()},
                            any_number(),
                            any_number(),
                            true});
        s.departures_applied.insert_or_assign(any_node(), any_number());
    }
    return s;
}

job_record any_job()
{
    job_record job;
    job.phase = job_phase::running;
    job.revision = any_number();
    job.reason = unrunnable_reason::fails_on_hosts;
    job.team = any_name();
    job.kind = any_name();
    job.host = any_name();
    job.lease = any_number();
    job.held = any_size();
    job.usage = any_size();
    job.peak = any_size();
    job.throttled = true;
    job.checkpoints = any_number();
    job.acted = any_time();
    job.reported = any_time();
    job.failed_on = {any_name(), any_name()};
    job.failures = any_number();
    return job;
}

job_state any_jobs()
{
    job_state s;
    for (auto i = any_count(); i > 0; --i)
    {
        s.jobs.insert_or_assign(any_name(), any_job());
        s.kinds.insert_or_assign(
            any_name(), kind_usage{{any_size(), any_size()}});
        s.failures.insert_or_assign(
            any_name(), host_failures{{any_name()}, true});
        s.held_on_host.insert_or_assign(any_name(), any_size());
        s.held_by_team.insert_or_assign(any_name(), any_size());
    }
    return s;
}

state any_state()
{
    state s;
    s.order = any_order();
    s.config = any_config();
    for (auto i = any_count(); i > 0; --i)
    {
        const auto port = *rc::gen::inRange<std::uint16_t>(1, 9999);
        s.membership.nodes.insert_or_assign(
            any_node(),
            member{
                any_name(), any_name(),
                parse_endpoint("10.0.0.1:" + std::to_string(port)).value(),
                any_number(), any_number(), any_number()});
    }
    s.fleet = any_fleet();
    s.jobs = any_jobs();
    s.membership.term = {any_number(), any_node(), any_number()};
    s.membership.fenced = any_number();
    return s;
}

event chunk_event(std::uint64_t offset, snapshot_chunk chunk)
{
    event e;
    e.origin = {log_stream::system, offset, {1, 1}, offset + 1, 1};
    e.body = order_event{std::move(chunk)};
    return e;
}

std::optional<state> assemble(const std::vector<snapshot_chunk>& chunks)
{
    snapshot_assembler assembler;
    std::optional<state> whole;
    std::uint64_t offset = 0;
    for (const auto& chunk : chunks)
        if (auto s = assembler.push(chunk_event(offset++, chunk)))
            whole = std::move(s);
    return whole;
}

state sample_state()
{
    state s;
    for (int i = 0; i < 20; ++i)
        s.jobs.jobs.emplace("job-" + std::to_string(i), job_record{});
    return s;
}

RC_GTEST_PROP(snapshot, any_state_survives_the_round_trip, ())
{
    const auto s = any_state();
    const auto chunk_bytes = *rc::gen::inRange<std::size_t>(1, 400);
    const auto back = assemble(make_snapshot(s, chunk_bytes));
    RC_ASSERT(back.has_value());
    RC_ASSERT(*back == s);
    RC_ASSERT(hash_of(*back) == hash_of(s));
}

TEST(snapshot, one_with_a_part_missing_or_damaged_is_not_used)
{
    const auto whole = make_snapshot(sample_state(), 32);
    ASSERT_GT(whole.size(), 3U);
    EXPECT_TRUE(assemble(whole));
    for (std::size_t i = 0; i < whole.size(); ++i)
    {
        auto missing = whole;
        missing.erase(missing.begin() + static_cast<std::ptrdiff_t>(i));
        EXPECT_FALSE(assemble(missing)) << i;
        auto damaged = whole;
        damaged[i].data[0] ^= 1;
        EXPECT_FALSE(assemble(damaged)) << i;
    }
}

TEST(snapshot, a_resent_batch_does_no_harm)
{
    const auto whole = make_snapshot(sample_state(), 32);
    auto resent = whole;
    resent.insert(resent.begin(), whole.begin(), whole.begin() + 2);
    EXPECT_TRUE(assemble(resent));
}

TEST(snapshot, a_state_that_lost_a_field_is_not_used)
{
    auto chunks = make_snapshot(sample_state());
    ++chunks[0].state_hash;
    EXPECT_FALSE(assemble(chunks));
}

TEST(snapshot, the_reducer_notes_the_newest_whole_one)
{
    auto s = sample_state();
    s.membership.term = {1, {1, 1}, 0};
    s.order.system_end = 10;
    const auto chunks = make_snapshot(s, 32);
    std::uint64_t offset = 10;
    for (const auto& chunk : chunks)
    {
        EXPECT_EQ(s.order.snapshot_end, 0U);
        s = reduce(std::move(s), chunk_event(offset++, chunk)).next;
    }
    EXPECT_EQ(s.order.snapshot_end, 10U);
}

} // namespace
