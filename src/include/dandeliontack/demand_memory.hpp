#pragma once

#include <dandeliontack/boot_clock.hpp>
#include <dandeliontack/pool_demand.hpp>

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace dandeliontack
{

/// Keeps the demand of a cell's pools in view while their owners change. Load
/// pattern: the owner of a pool is lost in the pool's load peak. Until it has a
/// successor nobody counts the submissions, whose callers come back, and the
/// successor counts from zero; machines would leave the pool, or not be
/// ordered, in the middle of the peak.
class demand_memory
{
public:
    /// Completes the demands that owners reported at `now`: arrival rates that
    /// a new owner has not seen, and the last demand, without idle hosts, of
    /// each pool of `pools` whose owner did not answer. A demand is kept for
    /// `retention`.
    void complete(
        std::vector<pool_demand>& demands, const std::set<std::string>& pools,
        boot_time now);

    /// The default timeout of a caller's request, within which rejected callers
    /// return. A takeover takes less.
    static constexpr std::chrono::milliseconds retention{3000};

private:
    struct memory
    {
        /// As completed last, with arrival rates at `counted`.
        pool_demand demand;
        boot_time reported;
        boot_time counted;
        /// Arrivals that only previous owners counted, at `lost_at`.
        arrival_levels lost;
        boot_time lost_at;
    };

    std::map<std::string, memory> pools_;
};

} // namespace dandeliontack
