#include "job_driver.hpp"

#include <benchmark/benchmark.h>

#include <random>

namespace
{

using namespace dandeliontack;
using namespace dandeliontack::job_driver;

// Uniform below `end`, alike on every machine.
std::uint64_t below(std::mt19937_64& random, std::uint64_t end)
{
    return random() % end;
}

job_config make_job(std::size_t number, std::size_t pools, std::size_t teams)
{
    job_config config;
    config.name = "j" + std::to_string(number);
    config.pool = "pool" + std::to_string(number % pools);
    config.team = "team" + std::to_string(number % teams);
    config.kind = "kind" + std::to_string(number % 50);
    return config;
}

// The fleet of the brief's letter: 540 workers with 1,080 accelerators in 90
// pools, 230 teams, and jobs for several times that.
driver make_letter_fleet(std::size_t jobs)
{
    constexpr std::size_t pools = 90;
    constexpr std::size_t teams = 230;
    std::mt19937_64 random(1);
    driver d;
    for (std::size_t i = 0; i < pools; ++i)
        add_pool(d, "pool" + std::to_string(i), 6, {64, 262144, 2}, 4);
    for (std::size_t i = 0; i < teams; ++i)
        add_team(d, "team" + std::to_string(i), {400, 2000000, 20});
    for (std::size_t i = 0; i < jobs; ++i)
    {
        auto config = make_job(i, pools, teams);
        config.priority = static_cast<job_class>(below(random, 3));
        config.processors = 4 + below(random, 20);
        config.memory_mb = 1024 * (1 + below(random, 60));
        config.accelerators = below(random, 8) == 0 ? 1 : 0;
        add_job(d, config, seconds(1 + below(random, 3600)));
    }
    return d;
}

// Plans once with all jobs waiting (steps 0) and with the fleet full.
void planning_round(benchmark::State& bench)
{
    auto d = make_letter_fleet(static_cast<std::size_t>(bench.range(0)));
    for (std::int64_t i = 0; i < bench.range(1); ++i)
        d.step(milliseconds(200));
    std::size_t proposals = 0;
    for (auto _ : bench)
        proposals = d.plan().size();
    bench.counters["proposals"] = static_cast<double>(proposals);
    bench.counters["running"] = static_cast<double>(
        std::ranges::count_if(d.s.jobs.jobs, [](const auto& item) {
            return holds_host(item.second.phase);
        }));
}
BENCHMARK(planning_round)
    ->ArgNames({"jobs", "steps"})
    ->Args({3000, 0})
    ->Args({6000, 0})
    ->Args({3000, 30})
    ->Args({6000, 30})
    ->Unit(benchmark::kMillisecond);

// Plans once for urgent jobs that arrive together at the full fleet.
void planning_urgent_round(benchmark::State& bench)
{
    constexpr std::size_t jobs = 6000;
    auto d = make_letter_fleet(jobs);
    for (int i = 0; i < 30; ++i)
        d.step(milliseconds(200));
    for (std::size_t i = 0; i < 500; ++i)
    {
        auto config = make_job(jobs + i, 90, 230);
        config.priority = job_class::urgent;
        config.processors = 16;
        add_job(d, config);
    }
    std::size_t proposals = 0;
    for (auto _ : bench)
        proposals = d.plan().size();
    bench.counters["proposals"] = static_cast<double>(proposals);
}
BENCHMARK(planning_urgent_round)->Unit(benchmark::kMillisecond);

struct outcome
{
    double utilisation = 0;
    double overcommitted = 0;
    double finished = 0;
    std::vector<milliseconds> urgent_delays;
};

// Adds what the hosts really do at this moment.
void measure(const driver& d, outcome& result)
{
    std::map<std::string, job_size> used;
    for (const auto& [name, job] : d.s.jobs.jobs)
        if (job.phase == job_phase::running)
            used[job.host] = used[job.host] + d.truth.at(name).size;
    double busy = 0;
    double over = 0;
    double whole = 0;
    for (const auto& [name, host] : d.s.fleet.hosts)
    {
        const auto capacity = capacity_of(host);
        whole += static_cast<double>(capacity.processors);
        busy += static_cast<double>(
            std::min(used[name].processors, capacity.processors));
        over += fits(used[name], capacity) ? 0 : 1;
    }
    result.utilisation += busy / whole;
    result.overcommitted += over / static_cast<double>(d.s.fleet.hosts.size());
}

constexpr std::size_t trial_pools = 5;
constexpr std::size_t trial_teams = 20;

// A job whose declared size is from half to four times the truth, which is
// alike within its kind but for an eighth.
void add_wrong_job(driver& d, std::mt19937_64& random, std::size_t number)
{
    auto config = make_job(number, trial_pools, trial_teams);
    const auto kind = below(random, 8);
    config.kind = "kind" + std::to_string(kind);
    const auto lot = below(random, 20);
    config.priority = lot == 0   ? job_class::urgent
                      : lot < 10 ? job_class::normal
                                 : job_class::deferrable;
    const job_size truth{
        2 + kind, (2 + kind) * 4000 * (16 + below(random, 2)) / 16, 0};
    const auto doubled_factor = std::uint64_t{1} << below(random, 4);
    config.processors =
        std::max<std::uint64_t>(1, truth.processors * doubled_factor / 2);
    config.memory_mb = truth.memory_mb * doubled_factor / 2;
    d.truth[config.name] = {truth, seconds(5 + below(random, 40))};
    add_job(d, config);
}

outcome run_trial(const placement_strategy& strategy, std::uint64_t seed)
{
    constexpr int steps = 1500;
    std::mt19937_64 random(seed);
    driver d(strategy);
    for (std::size_t i = 0; i < trial_pools; ++i)
        add_pool(d, "pool" + std::to_string(i), 10, {64, 262144, 0}, 7);
    for (std::size_t i = 0; i < trial_teams; ++i)
        add_team(d, "team" + std::to_string(i), {1000, 4000000, 0});
    std::map<std::string, milliseconds> urgent;
    outcome result;
    std::size_t number = 0;
    for (int i = 0; i < steps; ++i)
    {
        // More arrives than the fleet holds.
        for (int j = 0; j < 5; ++j, ++number)
        {
            add_wrong_job(d, random, number);
            const auto name = "j" + std::to_string(number);
            if (d.s.config.jobs.at(name).config.priority == job_class::urgent)
                urgent.emplace(name, d.now);
        }
        d.step(milliseconds(200));
        measure(d, result);
    }
    result.utilisation /= steps;
    result.overcommitted /= steps;
    for (const auto& item : d.s.config.jobs)
        if (phase_of(d.s, item.first) == job_phase::finished)
            ++result.finished;
    // What has not started yet counts with its delay so far.
    for (const auto& [name, accepted] : urgent)
        result.urgent_delays.push_back(
            (d.started.contains(name) ? d.started.at(name) : d.now) - accepted);
    std::ranges::sort(result.urgent_delays);
    return result;
}

void trial(benchmark::State& bench, const placement_strategy& strategy)
{
    outcome result;
    for (auto _ : bench)
        result =
            run_trial(strategy, static_cast<std::uint64_t>(bench.range(0)));
    const auto& delays = result.urgent_delays;
    const auto late = std::ranges::count_if(
        delays, [](auto delay) { return delay > milliseconds(2600); });
    bench.counters["utilisation"] = result.utilisation;
    bench.counters["overcommitted"] = result.overcommitted;
    bench.counters["finished"] = result.finished;
    bench.counters["urgent"] = static_cast<double>(delays.size());
    bench.counters["urgent_late"] = static_cast<double>(late);
    bench.counters["urgent_p50_ms"] =
        static_cast<double>(delays[delays.size() / 2].count());
    bench.counters["urgent_max_ms"] =
        static_cast<double>(delays.back().count());
}
BENCHMARK_CAPTURE(trial, learned, learned_placement)
    ->DenseRange(1, 3)
    ->Iterations(1)
    ->Unit(benchmark::kSecond);
BENCHMARK_CAPTURE(trial, first_fit, first_fit_placement)
    ->DenseRange(1, 3)
    ->Iterations(1)
    ->Unit(benchmark::kSecond);

} // namespace
