// Memory of an engine, and bytes that it stores, for each task of a large
// submission whose ends come in as a host with 640 runs at a time lists them.

#include <dandeliontack/append_split.hpp>
#include <dandeliontack/shard_records.hpp>

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>

namespace
{

using namespace dandeliontack;
using namespace std::chrono_literals;

constexpr std::size_t record_bytes = 256 * 1024;
constexpr std::int64_t runs_at_once = 640;

std::size_t allocated_bytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

submission_record submission(std::uint32_t tasks)
{
    constexpr std::uint32_t most_per_step = 10'000;
    submission_record out;
    out.id = 1;
    out.terms.route = "route";
    out.terms.pool = "pool";
    for (; tasks > 0; tasks -= std::min(tasks, most_per_step))
    {
        step_spec step;
        step.count = std::min(tasks, most_per_step);
        step.need = {1, 1, 0};
        step.estimate = 50ms;
        out.spec.steps.push_back(step);
    }
    return out;
}

class shard
{
public:
    shard()
    {
        engine_.begin(now_);
        host_entry host;
        host.id = "a";
        host.born = 1ms;
        host.pool = "pool";
        host.capacity = {runs_at_once, runs_at_once, 0};
        engine_.apply(pool_event::hosts_listed{{host}}, now_);
        store();
        hold({});
    }

    void submit(submission_record record)
    {
        engine_.apply(pool_event::submitted{std::move(record)}, now_);
        store();
    }

    // Runs what fits the host, once.
    void run()
    {
        now_.steady += 10ms;
        std::vector<ended_row> ended;
        for (const auto& effect : engine_.apply(pool_event::tick{}, now_))
            if (const auto* order = std::get_if<pool_effect::start>(&effect))
                ended.push_back(
                    {++ends_, order->task, order->run, run_outcome::done, {}});
        hold(std::move(ended));
        store();
    }

    bool is_busy() const
    {
        return engine_.active() > 0;
    }

    std::size_t bytes = 0;
    std::size_t largest = 0;

private:
    void hold(std::vector<ended_row> ended)
    {
        host_report report;
        report.clock = now_.steady.time_since_epoch();
        report.ended = std::move(ended);
        engine_.apply(
            pool_event::host_reported{"a", 1ms, now_.steady, std::move(report)},
            now_);
        engine_.extend_lease("a", now_);
    }

    void store()
    {
        const auto changes = engine_.take_changes();
        for (const auto& record : records_of(engine_, changes, record_bytes))
        {
            bytes += stored_size(record);
            largest = std::max(largest, stored_size(record));
        }
        engine_.apply(pool_event::batch_stored{changes.batch}, now_);
    }

    pool_engine engine_{pool_terms{}, 1};
    moment now_{boot_time(1h), wall_time(1h)};
    std::uint64_t ends_ = 0;
};

void large_submission(benchmark::State& state)
{
    const auto tasks = static_cast<std::uint32_t>(state.range(0));
    std::size_t bytes = 0;
    std::size_t largest = 0;
    std::size_t memory = 0;
    for (auto _ : state)
    {
        shard owner;
        const auto before = allocated_bytes();
        owner.submit(submission(tasks));
        owner.run();
        memory = allocated_bytes() - before;
        while (owner.is_busy())
            owner.run();
        bytes = owner.bytes;
        largest = owner.largest;
    }
    const auto per_task = [&](std::size_t sum) {
        return static_cast<double>(sum) / tasks;
    };
    state.counters["memory_per_task"] = per_task(memory);
    state.counters["stored_per_task"] = per_task(bytes);
    state.counters["largest_record"] = static_cast<double>(largest);
}

BENCHMARK(large_submission)
    ->Arg(27'000)
    ->Arg(100'000)
    ->Unit(benchmark::kMillisecond)
    ->Iterations(1);

} // namespace
