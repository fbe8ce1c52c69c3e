#pragma once

#include <dandeliontack/boot_clock.hpp>
#include <dandeliontack/fleet_layout.hpp>
#include <dandeliontack/queue_table.hpp>
#include <dandeliontack/store_calls.hpp>
#include <dandeliontack/stored_records.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dandeliontack
{

/// A shard: the pools of one cell whose orders share one partition and one
/// owner.
using shard_id = std::uint32_t;

/// The shard of the fleet duty, which orders about machines.
inline constexpr shard_id fleet_shard = 1'000'000;

/// Where nodes announce themselves and owners are recorded.
store_place registry_place();
/// Where the layout of the deployment is stored, as the first record.
store_place layout_place();
inline constexpr std::string_view layout_key = "layout";
/// The partition that holds a shard's records.
store_place place_of(shard_id shard, std::uint64_t partitions);
/// The shard of a pool in a cell; the same on every node.
shard_id
shard_of(std::string_view pool, cell_id cell, std::uint64_t partitions);

/// When a node counts as lost and how successors take turns.
struct takeover_terms
{
    /// A node whose announcements stay out this long is lost. More than the
    /// right of an owner (`lease_terms`), which ends before.
    std::chrono::milliseconds silence{1800};
    /// What this node waits after its first look before it claims anything,
    /// so that nodes which start together see each other: the platform starts
    /// all of them within 0.3 s.
    std::chrono::milliseconds settle{400};
    /// What the next in line waits longer, and in times of what an append
    /// takes: a claim and its announcement, and the time to read it.
    std::chrono::milliseconds stagger{500};
    int stagger_appends = 5;
    /// A node is lost after this many of the intervals that it announces, if
    /// that is longer than `silence`.
    int silent_intervals = 4;
    /// A node that has not used the store for this long, some four reads of
    /// the registry, says so by its silence.
    std::chrono::milliseconds cut_off{800};
    /// What the first look finds that was announced this long ago, by the time
    /// of day, is of a node that has left. More than clocks differ or jump by,
    /// and more than the longest interval of announcements.
    std::chrono::milliseconds forgotten{10'000};
};

/// What a node knows of its own calls to the store.
struct store_use
{
    boot_time last_success;
    /// Since when appends to shards that it owns have failed.
    std::vector<boot_time> failing_since;
};

/// Whether a node has to fall silent, so that others take over what it owns,
/// even while it reaches nodes that would store its announcements.
bool is_cut_off(
    const store_use& use, boot_time now, const takeover_terms& terms);

/// A node that looks for shards to claim.
struct claimant
{
    node_announcement said;
    /// What it owns or is claiming.
    std::set<shard_id> held;
    /// What an append to the store takes at most, mostly.
    std::chrono::milliseconds append_delay{0};
};

/// What a node knows of the nodes and owners, from the records of the
/// registry. Silence is counted only while the registry can be read.
class shard_map
{
public:
    explicit shard_map(takeover_terms terms);

    /// A record of the registry; one that can't be read is ignored and false.
    bool take(const keyed_record& record, moment now);
    /// The registry was read up to its end at this time.
    void confirmed(boot_time now);

    std::optional<owner_record> owner(shard_id shard) const;
    std::uint64_t last_epoch(shard_id shard) const;
    /// Whether an owner's life is still announced and not leaving.
    bool is_alive(const owner_record& owner, boot_time now) const;
    std::vector<node_announcement> alive_nodes(boot_time now) const;

    /// The layout is known for good once it has been read.
    void set_layout(fleet_layout layout);
    const std::optional<fleet_layout>& layout() const;
    /// Whether a pool has ever had an owner.
    bool has_owners() const;

    /// The shards that `self` should claim now, of those that are wanted.
    std::vector<shard_id> to_claim(
        const std::set<shard_id>& wanted, const claimant& self, boot_time now);

private:
    struct seen_node
    {
        node_announcement said;
        boot_time changed;
        /// It was announced too long ago to be given anything.
        bool left = false;
    };

    bool is_silent(const seen_node& node, boot_time now) const;
    bool
    is_outdated(const std::string& name, const node_announcement& said) const;

    takeover_terms terms_;
    std::map<std::string, seen_node> nodes_;
    std::map<shard_id, owner_record> owners_;
    std::map<shard_id, boot_time> orphaned_;
    std::optional<fleet_layout> layout_;
    std::optional<boot_time> first_read_;
    boot_time last_read_;
};

/// Keys of the registry.
std::string announcement_key(std::string_view node);
std::string owner_key(shard_id shard);

/// The shards that the pools of a configuration need, with the fleet's; that
/// one alone while the layout isn't known.
std::set<shard_id> wanted_shards(
    const queue_table& table, const std::optional<fleet_layout>& layout,
    std::uint64_t partitions);

} // namespace dandeliontack
