#include <dandeliontack/demand_memory.hpp>

#include <algorithm>

namespace dandeliontack
{

namespace
{

// Without arrivals the rates decay to a known share. An owner that reports less
// than this part of it has not counted the arrivals of a previous owner; the
// rest allows for the time between its answer and `now`.
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
        // The callers of this time wait or will return, so the rates hold.
        known->second.counted = now;
        known->second.demand.idle.clear();
        demands.push_back(known->second.demand);
    }
}

} // namespace dandeliontack
