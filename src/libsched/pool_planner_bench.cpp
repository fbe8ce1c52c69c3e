#include "simulated_pool.hpp"

#include <benchmark/benchmark.h>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t tasks_per_submission = 8;

// A planning round of a busy pool with more work that waits than it holds, one
// submission in five of large tasks.
void planning_round(benchmark::State& state)
{
    pool_terms terms;
    terms.look_ahead = state.range(2) != 0;
    test::simulated_pool pool(static_cast<std::size_t>(state.range(0)), terms);
    const auto waiting = static_cast<std::size_t>(state.range(1));
    auto fill = [&, number = 0]() mutable {
        while (pool.driver().engine.waiting_tasks() < waiting)
        {
            constexpr int sizes = 5;
            const bool large = number++ % sizes == 0;
            pool.submit(
                {large ? 13'000 : 3000, 1000, 0}, tasks_per_submission,
                800ms + 100ms * (number % sizes));
        }
    };
    constexpr int warm_up_rounds = 50;
    for (int i = 0; i < warm_up_rounds; ++i)
    {
        fill();
        pool.run();
    }
    for (auto _ : state)
    {
        state.PauseTiming();
        fill();
        pool.advance();
        state.ResumeTiming();
        pool.plan();
    }
}
BENCHMARK(planning_round)
    ->ArgNames({"hosts", "waiting", "look_ahead"})
    ->Args({350, 2000, 0})
    ->Args({350, 2000, 1})
    ->Iterations(100)
    ->Unit(benchmark::kMillisecond);

} // namespace

} // namespace dandeliontack
