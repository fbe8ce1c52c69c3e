// Three weeks of a site under its demand and failures, for our wave policy and
// for the baselines, over the same seeds. Each line is one strategy.

#include "fleet_driver.hpp"

#include <benchmark/benchmark.h>

#include <array>
#include <random>
#include <span>

namespace
{

using namespace dandeliontack;
using namespace std::chrono_literals;
using driver::fleet_driver;

constexpr event_time begin{
    std::chrono::sys_days(std::chrono::year(2027) / 2 / 8)};
constexpr auto tick = 1min;
constexpr auto run_length = std::chrono::days(21);
constexpr std::uint64_t rack_size = 4;
constexpr double failures_a_day = 3;
constexpr auto host_repair = 4h;
constexpr auto rack_repair = 2h;
constexpr std::array seeds{11U, 12U, 13U, 14U, 15U};

struct site
{
    const char* name;
    /// Hosts that each guarded pool promises at its peak.
    std::vector<std::uint64_t> pools;
    std::uint64_t spare_hosts = 0;
    std::uint64_t spare_promise = 0;
    double weight_buffer = 1;
    double weight_rollout = 1;
};

struct strategy
{
    const char* name;
    wave_policy_kind policy;
    /// Hosts that each pool has above its promise.
    std::uint64_t static_spare = 0;
    std::uint64_t reserve = 0;
    bool borrows = false;
    bool reserve_rack = false;
};

const std::array sites{
    site{"dakar", {8, 9, 10, 11, 12}, 12, 4, 8, 1},
    site{"northwest", {8, 9, 10, 11, 12}, 12, 4, 1, 8},
    site{"letter", std::vector<std::uint64_t>(89, 6), 12, 4, 1, 1}};

const std::array strategies{
    strategy{"ours", wave_policy_kind::widening, 0, 1, true, true},
    strategy{"ours_no_rack", wave_policy_kind::widening, 0, 1, true},
    strategy{"ours_static", wave_policy_kind::widening, 1, 1, true, true},
    strategy{"one_at_a_time", wave_policy_kind::one_at_a_time, 1},
    strategy{"fixed_tenth", wave_policy_kind::fixed_tenth, 1},
    strategy{"one_at_a_time_rack", wave_policy_kind::one_at_a_time, rack_size},
    strategy{"fixed_tenth_rack", wave_policy_kind::fixed_tenth, rack_size}};

struct figures
{
    /// Host-hours above the promise at peak, in guarded pools.
    double held = 0;
    /// Host-hours that the spare pool may lend.
    double lendable = 0;
    double rollout_hours = 0;
    double moves = 0;
    double planned_breach_minutes = 0;
    double failure_breach_minutes = 0;
    double waves_ended = 0;
    double void_proposals = 0;
};

std::string pool_name(std::size_t number)
{
    return "p" + std::to_string(number);
}

void add_pool(fleet_driver& fleet, pool_config pool, std::uint64_t hosts)
{
    for (std::uint64_t n = 0; n < hosts; ++n)
    {
        pool.hosts.push_back(pool.name + "-h" + std::to_string(n));
        const auto rack = pool.name + "-r" + std::to_string(n / rack_size);
        fleet.add_host(pool.hosts.back(), rack, "dc");
    }
    fleet.publish(pool);
}

void build(fleet_driver& fleet, const site& where, const strategy& how)
{
    for (std::size_t n = 0; n < where.pools.size(); ++n)
    {
        const auto peak = where.pools[n];
        pool_config pool;
        pool.name = pool_name(n);
        pool.budget_hosts = peak * 7 / 10;
        pool.budget_windows = {"18:00-02:00=" + std::to_string(peak)};
        pool.reserve_hosts = how.reserve;
        pool.reserve_rack = how.reserve_rack;
        add_pool(fleet, pool, peak + how.static_spare);
    }
    pool_config spare;
    spare.name = "spare";
    spare.budget_hosts = where.spare_promise;
    spare.spare = how.borrows;
    add_pool(fleet, spare, where.spare_hosts);
    fleet.step(tick);
}

wave_config make_wave(const site& where, const strategy& how)
{
    wave_config wave;
    wave.name = "kernel";
    for (std::size_t n = 0; n < where.pools.size(); ++n)
        wave.pools.push_back(pool_name(n));
    wave.policy = how.policy;
    wave.weight_buffer = where.weight_buffer;
    wave.weight_rollout = where.weight_rollout;
    wave.halt_after = 6;
    return wave;
}

// Hosts that would serve a pool but for a plan.
std::uint64_t
count_disrupted(const fleet_driver& fleet, const std::string& pool)
{
    return static_cast<std::uint64_t>(
        std::ranges::count_if(fleet.s.fleet.hosts, [&](const auto& item) {
            return item.second.pool == pool &&
                   item.second.purpose != disruption::none &&
                   !fleet.hosts.at(item.first).failed;
        }));
}

void measure(const fleet_driver& fleet, const site& where, figures& out)
{
    constexpr double tick_hours = 1.0 / 60;
    const auto pools = measure_pools(fleet.s.fleet);
    for (std::size_t n = 0; n < where.pools.size(); ++n)
    {
        const auto name = pool_name(n);
        const auto members = pools.at(name).members;
        if (members > where.pools[n])
            out.held +=
                static_cast<double>(members - where.pools[n]) * tick_hours;
        const auto promised = promised_hosts(
            fleet.s.config.pools.at(name).config, fleet.now, fleet.now);
        const auto capacity = fleet.capacity(name);
        if (capacity >= promised)
            continue;
        if (capacity + count_disrupted(fleet, name) >= promised)
            ++out.planned_breach_minutes;
        else
            ++out.failure_breach_minutes;
    }
}

// Fails hosts at random, and one rack of a guarded pool in the wave.
class failure_source
{
public:
    failure_source(unsigned seed, event_time wave_begin)
        : random_(seed),
          rack_at_(
              wave_begin + std::chrono::minutes(
                               std::uniform_int_distribution(5, 60)(random_)))
    {}

    void strike(fleet_driver& fleet, const site& where)
    {
        constexpr double ticks_a_day = 24 * 60;
        std::uniform_real_distribution<double> chance;
        if (chance(random_) < failures_a_day / ticks_a_day)
        {
            const auto at = chance(random_);
            const auto host = std::next(
                fleet.hosts.begin(),
                static_cast<long>(
                    at * static_cast<double>(fleet.hosts.size())));
            fleet.fail(host->first, host_repair);
        }
        if (fleet.now < rack_at_ || struck_)
            return;
        struck_ = true;
        const auto pool = static_cast<std::size_t>(
            chance(random_) * static_cast<double>(where.pools.size()));
        for (const auto& [name, host] : fleet.hosts)
            if (host.listed.rack == pool_name(pool) + "-r0")
                fleet.fail(name, rack_repair);
    }

private:
    std::mt19937 random_;
    event_time rack_at_;
    bool struck_ = false;
};

std::uint64_t count_moving(const state& s)
{
    return static_cast<std::uint64_t>(
        std::ranges::count_if(s.fleet.hosts, [&](const auto& item) {
            return item.second.purpose == disruption::move &&
                   item.second.phase == host_phase::leaving;
        }));
}

figures
run(const site& where, const strategy& how, unsigned seed,
    std::chrono::minutes length)
{
    fleet_driver fleet(begin);
    build(fleet, where, how);
    std::mt19937 random(seed);
    const auto wave_begin = begin + 24h + std::chrono::hours(random() % 24);
    failure_source failures(seed, wave_begin);
    figures out;
    bool published = false;
    while (fleet.now < begin + length)
    {
        if (!published && fleet.now >= wave_begin)
        {
            published = true;
            fleet.publish(make_wave(where, how));
        }
        failures.strike(fleet, where);
        fleet.step(tick);
        out.moves += static_cast<double>(count_moving(fleet.s));
        measure(fleet, where, out);
        const auto wave = fleet.s.fleet.waves.find("kernel");
        if (published && !wave->second.ended)
            out.rollout_hours += 1.0 / 60;
    }
    out.waves_ended = fleet.s.fleet.waves.at("kernel").ended ? 1 : 0;
    out.void_proposals = static_cast<double>(fleet.rejected);
    if (how.borrows)
        out.lendable =
            static_cast<double>(where.spare_hosts - where.spare_promise) *
            std::chrono::duration<double, std::ratio<3600>>(length).count();
    return out;
}

void simulate(
    benchmark::State& bench, const site& where, const strategy& how,
    std::span<const unsigned> used_seeds, std::chrono::minutes length)
{
    figures sum;
    const std::array members{
        std::pair{"held_host_h", &figures::held},
        std::pair{"lendable_host_h", &figures::lendable},
        std::pair{"rollout_h", &figures::rollout_hours},
        std::pair{"moves", &figures::moves},
        std::pair{"planned_breach_min", &figures::planned_breach_minutes},
        std::pair{"failure_breach_min", &figures::failure_breach_minutes},
        std::pair{"waves_ended", &figures::waves_ended},
        std::pair{"void_proposals", &figures::void_proposals}};
    for (auto _ : bench)
        for (const auto seed : used_seeds)
        {
            const auto one = run(where, how, seed, length);
            for (const auto& [name, member] : members)
                sum.*member += one.*member;
        }
    for (const auto& [name, member] : members)
        bench.counters[name] =
            sum.*member / static_cast<double>(used_seeds.size());
}

// A planning round at the letter's size, in the middle of a wave.
void planning_round(benchmark::State& bench)
{
    const auto& where = sites.at(2);
    const auto& how = strategies.at(0);
    fleet_driver fleet(begin + 9h);
    build(fleet, where, how);
    fleet.publish(make_wave(where, how));
    for (int n = 0; n < 20; ++n)
        fleet.step(tick);
    const auto listed = fleet.list();
    const planning_input input{fleet.now, listed};
    for (auto _ : bench)
        benchmark::DoNotOptimize(plan_fleet(fleet.s, input));
    bench.counters["hosts"] = static_cast<double>(fleet.hosts.size());
    bench.counters["pools"] = static_cast<double>(fleet.s.config.pools.size());
}
BENCHMARK(planning_round)->Unit(benchmark::kMillisecond);

// Registers every site with every strategy.
const bool registered = [] {
    for (const auto& where : sites)
        for (const auto& how : strategies)
        {
            const auto name =
                std::string(where.name) + "/" + std::string(how.name);
            const bool large = where.pools.size() > 10;
            const std::chrono::minutes length =
                large ? std::chrono::days(3) : run_length;
            const std::span<const unsigned> all(seeds);
            const auto used = large ? all.first(1) : all;
            benchmark::RegisterBenchmark(
                name.c_str(),
                [&where, &how, used, length](benchmark::State& bench) {
                    simulate(bench, where, how, used, length);
                })
                ->Iterations(1)
                ->Unit(benchmark::kMillisecond);
        }
    return true;
}();

} // namespace
