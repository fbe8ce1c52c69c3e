// Compares ways of sharing the slots of one service's workers among entry
// hosts, under bursts of five times the mean demand. Discrete events, fixed
// seeds; the queues and shares are those of the request path.

#include <dandeliontack/request_queue.hpp>
#include <dandeliontack/slot_share.hpp>

#include <benchmark/benchmark.h>

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace
{

using namespace dandeliontack;
using std::chrono::microseconds;
using time_point = request_queue::time_point;

constexpr std::uint64_t slots = 8;
constexpr std::uint64_t connections = 64;
constexpr auto mean_run = microseconds(20'000);
constexpr auto patience = microseconds(500'000);
constexpr auto phase = microseconds(4'000'000);
constexpr unsigned phases = 8;
constexpr std::size_t queue_limit = 128;
// Five times the mean is half as much again as the pool holds.
constexpr double burst_load = 1.5;
constexpr double quiet_load = burst_load / 5 / 20;
// How long an entry host leaves a worker alone that refused it.
constexpr auto refusal_pause = microseconds(5'000);

struct site
{
    std::size_t entries = 9;
    std::size_t workers = 10;
    microseconds one_way{};
};

constexpr site dakar{9, 12, microseconds(1'500)};
constexpr site pacific_northwest{9, 8, microseconds(1'000)};

struct job
{
    std::size_t entry = 0;
    microseconds arrival{};
    microseconds run{};
    bool passed_on = false;
};

struct simulation;

// How an entry host chooses a worker, and what it does without one.
struct sharing
{
    std::uint64_t (*limit)(const simulation&, std::size_t e, std::size_t w);
    bool at_random = false;
    bool passes_on = false;
    bool worker_refuses = false;
};

enum class step
{
    arrive,
    reach_worker,
    end_run,
    answer,
    refusal,
    retry
};

struct event
{
    microseconds at{};
    std::uint64_t order = 0;
    step what = step::arrive;
    std::size_t job = 0;
    std::size_t worker = 0;

    bool operator>(const event& other) const
    {
        return std::pair(at, order) > std::pair(other.at, other.order);
    }
};

struct simulation
{
    simulation(const site& where, const sharing& how, std::uint64_t seed)
        : at(where),
          by(how),
          random(seed),
          queues(where.entries, request_queue(queue_limit)),
          under_way(where.entries, std::vector<std::uint64_t>(where.workers)),
          closed_until(where.entries, std::vector<microseconds>(where.workers)),
          running(where.workers),
          asked(where.entries),
          served(where.entries)
    {}

    void run();
    void make_jobs();
    void handle(const event& e);
    void arrive(std::size_t id);
    void reach_worker(std::size_t id, std::size_t worker);
    void enqueue(std::size_t id);
    void dispatch(std::size_t entry);
    std::size_t choose(std::size_t entry);
    void add(microseconds delay, step what, std::size_t id, std::size_t worker);
    static bool in_burst(microseconds when);

    site at;
    sharing by;
    std::mt19937_64 random;
    std::vector<job> jobs;
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    std::vector<request_queue> queues;
    std::vector<std::vector<std::uint64_t>> under_way;
    std::vector<std::vector<microseconds>> closed_until;
    std::vector<std::uint64_t> running;
    std::vector<double> asked;
    std::vector<double> served;
    microseconds now{};
    std::uint64_t order = 0;
    microseconds useful_in_bursts{};
    std::uint64_t in_time = 0;
    std::uint64_t violations = 0;
};

bool simulation::in_burst(microseconds when)
{
    return when / phase % 2 == 0 && when < phase * phases;
}

void simulation::add(
    microseconds delay, step what, std::size_t id, std::size_t worker)
{
    events.push({now + delay, ++order, what, id, worker});
}

double exponential(std::mt19937_64& random)
{
    constexpr double whole = 18446744073709551616.0;
    return -std::log((static_cast<double>(random()) + 1) / whole);
}

microseconds scaled(microseconds mean, double factor)
{
    return microseconds(
        static_cast<std::int64_t>(static_cast<double>(mean.count()) * factor));
}

void simulation::make_jobs()
{
    const auto at_full = mean_run / (slots * at.workers);
    microseconds when{};
    while (when < phase * phases)
    {
        const auto load = in_burst(when) ? burst_load : quiet_load;
        when += scaled(at_full, exponential(random) / load);
        jobs.push_back(
            {random() % at.entries, when,
             scaled(mean_run, exponential(random))});
        now = when;
        add(microseconds(0), step::arrive, jobs.size() - 1, 0);
    }
}

void simulation::run()
{
    make_jobs();
    while (!events.empty())
    {
        const auto next = events.top();
        events.pop();
        now = next.at;
        handle(next);
    }
}

void simulation::handle(const event& e)
{
    auto& j = jobs[e.job];
    switch (e.what)
    {
    case step::arrive:
        arrive(e.job);
        break;
    case step::reach_worker:
        reach_worker(e.job, e.worker);
        break;
    case step::end_run:
        --running[e.worker];
        add(at.one_way, step::answer, e.job, e.worker);
        break;
    case step::answer:
        --under_way[j.entry][e.worker];
        if (now <= j.arrival + patience)
        {
            ++in_time;
            ++served[j.entry];
            if (in_burst(now))
                useful_in_bursts += j.run;
        }
        dispatch(j.entry);
        break;
    case step::refusal:
        --under_way[j.entry][e.worker];
        closed_until[j.entry][e.worker] = now + refusal_pause;
        enqueue(e.job);
        add(refusal_pause, step::retry, e.job, e.worker);
        dispatch(j.entry);
        break;
    case step::retry:
        dispatch(j.entry);
        break;
    }
}

void simulation::arrive(std::size_t id)
{
    auto& j = jobs[id];
    if (!j.passed_on)
        ++asked[j.entry];
    const bool busy = !queues[j.entry].empty() || choose(j.entry) == at.workers;
    if (by.passes_on && busy && !j.passed_on)
    {
        j.passed_on = true;
        j.entry = random() % at.entries;
        add(at.one_way, step::arrive, id, 0);
        return;
    }
    enqueue(id);
    dispatch(j.entry);
}

void simulation::reach_worker(std::size_t id, std::size_t worker)
{
    if (by.worker_refuses && running[worker] >= slots)
    {
        add(at.one_way, step::refusal, id, worker);
        return;
    }
    if (++running[worker] > slots)
        ++violations;
    add(jobs[id].run, step::end_run, id, worker);
}

void simulation::enqueue(std::size_t id)
{
    const auto& j = jobs[id];
    const auto mean_interval = mean_run * at.entries / (slots * at.workers);
    queues[j.entry].push(
        id, request_class::normal, time_point(j.arrival + patience),
        time_point(now + mean_run), mean_interval);
}

std::size_t simulation::choose(std::size_t entry)
{
    std::vector<std::size_t> open;
    for (std::size_t w = 0; w < at.workers; ++w)
        if (under_way[entry][w] < by.limit(*this, entry, w) &&
            closed_until[entry][w] <= now)
            open.push_back(w);
    if (open.empty())
        return at.workers;
    const auto first = random() % open.size();
    if (by.at_random)
        return open[first];
    std::ranges::rotate(
        open, open.begin() + static_cast<std::ptrdiff_t>(first));
    return *std::ranges::min_element(
        open, {}, [&](std::size_t w) { return under_way[entry][w]; });
}

void simulation::dispatch(std::size_t entry)
{
    while (!queues[entry].empty())
    {
        const auto worker = choose(entry);
        if (worker == at.workers)
            return;
        const auto id = queues[entry].pop().value();
        ++under_way[entry][worker];
        add(at.one_way, step::reach_worker, id, worker);
    }
}

std::uint64_t
static_limit(const simulation& s, std::size_t entry, std::size_t worker)
{
    return slot_share(
        slots, s.at.entries, entry, "worker-" + std::to_string(worker));
}

std::uint64_t
home_limit(const simulation& s, std::size_t entry, std::size_t worker)
{
    return worker % s.at.entries == entry ? slots : 0;
}

// Whatever the connections allow; the worker refuses what it has no slot for.
std::uint64_t connection_limit(const simulation& s, std::size_t, std::size_t)
{
    return connections / s.at.entries;
}

constexpr sharing random_static{static_limit, true, false};
constexpr sharing least_busy_static{static_limit, false, false};
constexpr sharing home_with_overflow{home_limit, false, true};
constexpr sharing refused_by_worker{connection_limit, false, false, true};

// Jain's index of the share answered in time, over entry hosts.
double fairness(const simulation& s)
{
    double sum = 0;
    double squares = 0;
    for (std::size_t e = 0; e < s.at.entries; ++e)
    {
        const auto share = s.served[e] / s.asked[e];
        sum += share;
        squares += share * share;
    }
    return sum * sum / (static_cast<double>(s.at.entries) * squares);
}

void compare(benchmark::State& state, const site& where, const sharing& how)
{
    constexpr std::uint64_t seeds = 5;
    double goodput = 0;
    double in_time = 0;
    double fair = 0;
    double violations = 0;
    for (auto _ : state)
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        {
            simulation s(where, how, seed);
            s.run();
            const auto capacity = phase * (phases / 2) * slots * where.workers;
            goodput += static_cast<double>(s.useful_in_bursts.count()) /
                       static_cast<double>(capacity.count()) / seeds;
            in_time += static_cast<double>(s.in_time) /
                       static_cast<double>(s.jobs.size()) / seeds;
            fair += fairness(s) / seeds;
            violations += static_cast<double>(s.violations);
        }
    state.counters["goodput"] = goodput;
    state.counters["in_time"] = in_time;
    state.counters["fairness"] = fair;
    state.counters["violations"] = violations;
}

BENCHMARK_CAPTURE(compare, dakar_random_static, dakar, random_static)
    ->Iterations(1);
BENCHMARK_CAPTURE(compare, dakar_least_busy_static, dakar, least_busy_static)
    ->Iterations(1);
BENCHMARK_CAPTURE(compare, dakar_home_with_overflow, dakar, home_with_overflow)
    ->Iterations(1);
BENCHMARK_CAPTURE(compare, dakar_refused_by_worker, dakar, refused_by_worker)
    ->Iterations(1);
BENCHMARK_CAPTURE(
    compare, northwest_random_static, pacific_northwest, random_static)
    ->Iterations(1);
BENCHMARK_CAPTURE(
    compare, northwest_least_busy_static, pacific_northwest, least_busy_static)
    ->Iterations(1);
BENCHMARK_CAPTURE(
    compare, northwest_home_with_overflow, pacific_northwest,
    home_with_overflow)
    ->Iterations(1);
BENCHMARK_CAPTURE(
    compare, northwest_refused_by_worker, pacific_northwest, refused_by_worker)
    ->Iterations(1);

} // namespace
