#include <dandeliontack/demand_memory.hpp>
#include <dandeliontack/fleet_balance.hpp>

#include <gtest/gtest.h>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;

constexpr boot_time start{1h};
constexpr auto round_time = 250ms;
// Host milliseconds of work that arrive in each millisecond of the peak.
constexpr double peak_hosts = 20;
const std::set<std::string> pools{"peak"};

pool_demand demand_of(const arrival_rate& rate, boot_time now)
{
    pool_demand demand;
    demand.pool = "peak";
    demand.arrivals = rate.levels(now);
    demand.idle = {"host"};
    return demand;
}

std::uint32_t wanted(std::vector<pool_demand> demands)
{
    std::vector<std::vector<pool_demand>> cells{std::move(demands)};
    forecast_arrivals(cells, 2000ms);
    return cells.front().empty()
               ? 0
               : fleet_balance({}).target_size(cells.front().front());
}

void add_peak(
    arrival_rate& rate, boot_time from, std::chrono::milliseconds length)
{
    for (auto t = 0ms; t < length; t += 10ms)
        rate.add(10 * peak_hosts, from + t);
}

} // namespace

TEST(demand_memory, leaves_the_demand_of_a_lasting_owner_as_it_is)
{
    arrival_rate rate;
    demand_memory memory;
    add_peak(rate, start, 3s);
    for (auto t = 0ms; t < 5s; t += round_time)
    {
        const auto now = start + 3s + t;
        std::vector<pool_demand> demands{demand_of(rate, now)};
        memory.complete(demands, pools, now);
        const auto counted = demand_of(rate, now).arrivals;
        EXPECT_NEAR(demands[0].arrivals.fast.rate, counted.fast.rate, 1e-6);
        EXPECT_NEAR(demands[0].arrivals.slow.rate, counted.slow.rate, 1e-6);
        EXPECT_EQ(demands[0].idle.size(), 1U);
    }
}

// Load pattern: the owner is lost in the peak, and its successor counts from
// zero 2 s later. Machines are wanted for the peak all the while.
TEST(demand_memory, machines_of_a_peak_are_wanted_while_its_owner_changes)
{
    constexpr auto without_owner = 2s;
    arrival_rate of_first;
    add_peak(of_first, start, 4s);
    demand_memory memory;
    auto now = start + 4s;
    std::vector<pool_demand> demands{demand_of(of_first, now)};
    memory.complete(demands, pools, now);
    const auto in_peak = wanted(demands);
    const auto counted = demands[0].arrivals;
    EXPECT_GE(in_peak, peak_hosts * 0.8);
    for (auto t = round_time; t < without_owner; t += round_time)
    {
        demands.clear();
        memory.complete(demands, pools, now + t);
        EXPECT_GE(wanted(demands), in_peak);
        EXPECT_TRUE(demands[0].idle.empty());
    }
    now += without_owner;
    arrival_rate of_second;
    add_peak(of_second, now, 2s);
    for (auto t = round_time; t < 2s; t += round_time)
    {
        arrival_rate so_far;
        add_peak(so_far, now, t);
        demands = {demand_of(so_far, now + t)};
        memory.complete(demands, pools, now + t);
        EXPECT_GE(demands[0].arrivals.slow.rate, counted.slow.rate * 0.8);
        EXPECT_LE(demands[0].arrivals.slow.rate, counted.slow.rate * 1.2);
    }
}

TEST(demand_memory, forgets_a_pool_without_an_owner_after_the_retention)
{
    arrival_rate rate;
    add_peak(rate, start, 2s);
    demand_memory memory;
    std::vector<pool_demand> demands{demand_of(rate, start + 2s)};
    memory.complete(demands, pools, start + 2s);
    demands.clear();
    memory.complete(
        demands, pools, start + 2s + demand_memory::retention + 1ms);
    EXPECT_TRUE(demands.empty());
}

} // namespace dandeliontack
