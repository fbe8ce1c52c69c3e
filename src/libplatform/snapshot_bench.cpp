// The reducer, and snapshots at the size of both institutions together.

#include <dandeliontack/record_codec.hpp>
#include <dandeliontack/reducer.hpp>
#include <dandeliontack/snapshot_loader.hpp>

#include <benchmark/benchmark.h>

namespace
{

using namespace dandeliontack;

constexpr int hosts = 540;
constexpr int pools = 90;
constexpr int teams = 230;
constexpr int tail_records = 20'000;

event system_event(std::uint64_t offset, event_body body)
{
    event e;
    e.origin = {log_stream::system, offset, {1, 1}, offset + 1, 0};
    e.body = std::move(body);
    return e;
}

state make_state()
{
    state s;
    for (int i = 0; i < hosts; ++i)
    {
        host_record host;
        host.data_centre = "dc-" + std::to_string(i % 7);
        host.rack = "rack-" + std::to_string(i / 4);
        host.processors = 64;
        host.memory_mb = 262'144;
        s.fleet.hosts.emplace("host-" + std::to_string(i), host);
    }
    for (int i = 0; i < pools; ++i)
    {
        pool_config pool;
        pool.name = "pool-" + std::to_string(i);
        for (int h = i; h < hosts; h += pools)
            pool.hosts.push_back("host-" + std::to_string(h));
        s.config.pools.emplace(pool.name, in_force<pool_config>{pool, 1, 0});
    }
    for (int i = 0; i < teams; ++i)
    {
        team_config team;
        team.name = "team-" + std::to_string(i);
        s.config.teams.emplace(team.name, in_force<team_config>{team, 1, 0});
    }
    s.membership.nodes[{1, 1}] = {};
    return s;
}

void reduce_heartbeats(benchmark::State& run)
{
    auto s = make_state();
    std::uint64_t offset = 0;
    for (auto _ : run)
    {
        const auto e =
            system_event(offset++, membership_event{node_heartbeat{}});
        s = reduce(std::move(s), e).next;
    }
    run.SetItemsProcessed(run.iterations());
}
BENCHMARK(reduce_heartbeats);

void reduce_publications(benchmark::State& run)
{
    auto s = make_state();
    std::uint64_t offset = 0;
    for (auto _ : run)
    {
        auto config = s.config.pools.at("pool-7");
        event e = system_event(
            offset++, config_event{pool_published{
                          "bench", config.revision, config.config}});
        e.origin.stream = log_stream::operators;
        s = reduce(std::move(s), e).next;
    }
    run.SetItemsProcessed(run.iterations());
}
BENCHMARK(reduce_publications);

void hash_state(benchmark::State& run)
{
    const auto s = make_state();
    for (auto _ : run)
        benchmark::DoNotOptimize(hash_of(s));
}
BENCHMARK(hash_state)->Unit(benchmark::kMicrosecond);

void write_snapshot(benchmark::State& run)
{
    const auto s = make_state();
    for (auto _ : run)
        benchmark::DoNotOptimize(make_snapshot(s));
    run.counters["bytes"] = static_cast<double>(encode_state(s).size());
}
BENCHMARK(write_snapshot)->Unit(benchmark::kMicrosecond);

// A snapshot and the records up to the next one, decoded, checked and applied.
void bootstrap(benchmark::State& run)
{
    log_batch batch;
    auto chunks = make_snapshot(make_state());
    for (auto& chunk : chunks)
        batch.records.push_back(encode_record(
            system_event(batch.records.size(), order_event{std::move(chunk)})));
    for (int i = 0; i < tail_records; ++i)
        batch.records.push_back(encode_record(system_event(
            batch.records.size(), membership_event{node_heartbeat{}})));
    batch.end = batch.records.size();
    for (auto _ : run)
    {
        snapshot_loader loader;
        loader.take(batch);
        auto start = loader.finish();
        for (const auto& e : start.tail)
            start.loaded = reduce(std::move(start.loaded), e).next;
        benchmark::DoNotOptimize(start.loaded);
    }
}
BENCHMARK(bootstrap)->Unit(benchmark::kMillisecond);

} // namespace
