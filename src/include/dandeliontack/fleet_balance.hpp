#pragma once

#include <dandeliontack/boot_clock.hpp>
#include <dandeliontack/machine_list.hpp>
#include <dandeliontack/pool_demand.hpp>

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace dandeliontack
{

/// Parameters of the assignment of machines to pools.
struct balance_terms
{
    std::chrono::milliseconds horizon{demand_horizon};
    /// Late work is to be completed within this time. It keeps a reduced value
    /// until three times its objective, which is some seconds later.
    std::chrono::milliseconds late_horizon{6000};
    /// A surplus must persist this long before machines move to standby, so
    /// that the end of a single task does not trigger a move.
    std::chrono::milliseconds standby_delay{1200};
    /// A surplus of this duration marks the end of a load peak and not a gap
    /// between two submissions. The machines then move directly to pools with
    /// a deficit.
    std::chrono::milliseconds donor_delay{500};
    /// Overprovisioning factor for capacity that tasks of uneven sizes leave
    /// unused on a host.
    double fragmentation = 1.15;
    /// The minimum number of machines of a pool that has an owner.
    std::uint32_t least = 2;
    /// The maximum number of moves ordered in one round.
    std::size_t max_moves = 8;
};

/// The maximum number of moves per round that keeps within the platform's rate
/// limit for orders. A part of the rate is reserved for upkeep and for repeated
/// orders. `interval` is the shortest time between two rounds.
std::size_t max_moves_per_round(
    double orders_per_second, std::chrono::milliseconds interval);

struct machine_move
{
    listed_machine machine;
    std::string to_pool;
};

/// Decides which machines move between pools. Load pattern: pools have demand
/// peaks in turn, each several times the pool's mean for some seconds, and
/// almost no demand in between.
class fleet_balance
{
public:
    explicit fleet_balance(balance_terms terms);

    /// Returns the moves to order now. `standby` are the pools whose machines
    /// are switched off; machines in `pinned` don't move. Pools that aren't in
    /// `demands` neither give nor get machines.
    std::vector<machine_move> plan(
        const std::vector<pool_demand>& demands,
        const std::vector<listed_machine>& machines,
        const std::set<std::string>& standby,
        const std::set<std::string>& pinned, boot_time now);

    /// By the last plan: the number of busy hosts that pools with a surplus
    /// should evacuate for pools with a deficit.
    const lent_hosts& lent() const;

    /// Excludes moves from `from` to `to`, which the platform rejects.
    void forbid(const std::string& from, const std::string& to);

    /// The target number of machines of the pool.
    std::uint32_t target_size(const pool_demand& demand) const;

private:
    struct balance_round;

    std::uint32_t min_size(const pool_demand& demand) const;

    balance_round assess(
        const std::vector<pool_demand>& demands,
        const std::vector<listed_machine>& machines,
        const std::set<std::string>& standby,
        const std::set<std::string>& pinned) const;
    const listed_machine* take_machine(
        std::vector<const listed_machine*>& from, const std::string& to) const;
    void track_surplus(const balance_round& now, boot_time time);
    std::int64_t* find_donor(
        balance_round& now, std::chrono::milliseconds min_duration,
        boot_time time, std::string& name) const;
    void cover_deficits(balance_round& now, boot_time time) const;
    void plan_lending(const balance_round& now);
    void release_to_standby(
        balance_round& now, const std::string& standby, boot_time time);

    balance_terms terms_;
    lent_hosts lent_;
    std::map<std::string, boot_time> surplus_since_;
    std::set<std::pair<std::string, std::string>> forbidden_;
};

} // namespace dandeliontack
