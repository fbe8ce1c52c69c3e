#include <dandeliontack/demand_memory.hpp>

#include <algorithm>

namespace dandeliontack
{

namespace
{

// An owner's rates never fall below what is left of the last ones after decay.
// An owner that reports less than this share of that has not counted the
// arrivals of a previous owner. The margin covers the age of its answer.
constexpr double min_counted_share = 0.5;

} // namespace

void demand_memory::complete(
    std::vector<pool_demand>& demands, const std::set<std::string>& pools,
    boot_time now)
{
    auto missing = pools;
    for (auto& demand : demands)
    {
        missing.erase(demand.pool);
        auto& known = pools_[demand.pool];
        const auto expected =
            known.demand.arrivals.decayed(now - known.counted);
        auto lost = known.lost.decayed(now - known.lost_at);
        if (demand.arrivals.slow.rate + lost.slow.rate <
            expected.slow.rate * min_counted_share)
        {
            lost = expected;
            known.lost = expected;
            known.lost_at = now;
        }
        demand.arrivals += lost;
        known.demand = demand;
        known.reported = now;
        known.counted = now;
    }
    for (const auto& pool : missing)
    {
        const auto known = pools_.find(pool);
        if (known == pools_.end() || now - known->second.reported > retention)
            continue;
        // Rates don't decay without an owner: callers still arrive and wait.
        known->second.counted = now;
        known->second.demand.idle.clear();
        demands.push_back(known->second.demand);
    }
}

} // namespace dandeliontack
