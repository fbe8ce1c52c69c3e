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

/// How machines follow demand.
struct balance_terms
{
    std::chrono::milliseconds horizon{demand_horizon};
    /// Work that is late already is to be done within this: what it earns ends
    /// at three times its objective, some seconds later.
    std::chrono::milliseconds late_horizon{6000};
    /// More than enough must have lasted this long before a machine goes to
    /// standby, so that the end of one task does not send it there.
    std::chrono::milliseconds surplus{1200};
    /// More than enough for so long is the end of a turn, not a gap between
    /// two submissions: the machines then go where others are lacking.
    std::chrono::milliseconds ebb{500};
    /// What tasks of uneven sizes leave unused of a host.
    double fragmentation = 1.15;
    /// The fewest machines that a pool with an owner keeps.
    std::uint32_t least = 2;
    /// Moves ordered in one round.
    std::size_t most_moves = 8;
};

/// How many moves a round may order so that the orders of all rounds stay
/// under what the platform takes a second. Some are left for upkeep and for
/// orders that are repeated. `round` is the shortest time between two rounds.
std::size_t
moves_a_round(double orders_per_second, std::chrono::milliseconds round);

struct machine_move
{
    listed_machine machine;
    std::string to_pool;
};

/// Decides which machines move between pools. Pattern of load: each pool in
/// its turn asks for several times its mean for some seconds, and next to
/// nothing in between.
class fleet_balance
{
public:
    explicit fleet_balance(balance_terms terms);

    /// `standby` are the pools whose machines are switched off; machines in
    /// `kept` don't move. Pools that aren't in `demands` neither give nor take.
    std::vector<machine_move> plan(
        const std::vector<pool_demand>& demands,
        const std::vector<listed_machine>& machines,
        const std::set<std::string>& standby, const std::set<std::string>& kept,
        boot_time now);

    /// By the last plan: hosts in use that pools with more than they need
    /// should clear for pools that lack machines.
    const lendings& lent() const;

    /// The platform does not let machines of this pool join the other one.
    void forbid(const std::string& from, const std::string& to);

    /// The machines that the pool should have now.
    std::uint32_t wanted(const pool_demand& demand) const;

private:
    struct round;

    std::uint32_t floor_of(const pool_demand& demand) const;

    round look(
        const std::vector<pool_demand>& demands,
        const std::vector<listed_machine>& machines,
        const std::set<std::string>& standby,
        const std::set<std::string>& kept) const;
    const listed_machine*
    take(std::vector<const listed_machine*>& from, const std::string& to) const;
    void note_surplus(const round& now, boot_time time);
    std::int64_t* giver(
        round& now, std::chrono::milliseconds least, boot_time time,
        std::string& name) const;
    void fill(round& now, boot_time time) const;
    void lend(const round& now);
    void release(round& now, const std::string& standby, boot_time time);

    balance_terms terms_;
    lendings lent_;
    std::map<std::string, boot_time> surplus_since_;
    std::set<std::pair<std::string, std::string>> forbidden_;
};

} // namespace dandeliontack
