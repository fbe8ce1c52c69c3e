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

/// Identifies a shard: the pools of one cell whose decisions are stored in one
/// partition and made by one owner.
using shard_id = std::uint32_t;

/// The shard of the fleet duty: the role, held by one node at a time, that
/// moves and maintains machines and stores announcements of other nodes.
inline constexpr shard_id fleet_shard = 1'000'000;

/// The topic of node announcements and shard ownership records.
topic_partition registry_partition();
/// The topic of the deployment's layout, which is its first record.
topic_partition layout_partition();
inline constexpr std::string_view layout_key = "layout";
/// The partition that holds a shard's records.
topic_partition partition_of(shard_id shard, std::uint64_t partitions);
/// The shard of a pool in a cell; every node computes the same one.
shard_id
shard_of(std::string_view pool, cell_id cell, std::uint64_t partitions);

/// The cell that a pool shard belongs to.
cell_id cell_of_shard(shard_id shard);
/// Whether the shards have the same pools, in different cells.
bool is_same_pool_shard(shard_id a, shard_id b);

/// When a node is considered failed, and in which order others take over.
struct takeover_timing
{
    /// A node is considered failed after this time without an announcement.
    /// Longer than an owner may act without one (`lease_terms`), so that a
    /// successor never overlaps with it.
    std::chrono::milliseconds node_timeout{1800};
    /// Delay between the first complete read of the registry and the first
    /// claim, so that nodes which start together see each other: the platform
    /// starts all of them within 0.3 s.
    std::chrono::milliseconds startup_delay{400};
    /// Extra delay of each further candidate, as a time and as a multiple of
    /// the append latency; the longer one holds. It covers a claim, its
    /// announcement and the time to read it.
    std::chrono::milliseconds stagger{500};
    int stagger_appends = 5;
    /// A node is considered failed after this many of the intervals that it
    /// announces, if that is longer than `node_timeout`.
    int missed_intervals = 4;
    /// A node whose calls to the store have failed for this long, some four
    /// reads of the registry, stops announcing itself.
    std::chrono::milliseconds store_timeout{800};
    /// A node whose announcement is older than this by wall clock on the first
    /// read of the registry has left. Longer than clocks differ or jump by, and
    /// longer than the longest interval between announcements.
    std::chrono::milliseconds max_announcement_age{10'000};
    /// A node must have been available for this long before another hands it a
    /// shard, longer than a node that restarts in a loop stays up; 0 if shards
    /// are never handed over to balance the load.
    std::chrono::milliseconds balance_after{0};
};

/// The results of a node's own calls to the store.
struct store_health
{
    boot_time last_success;
    /// Start of the current run of failed appends, for each failing shard.
    std::vector<boot_time> failing_since;
};

/// Whether a node must stop announcing itself so that others take over its
/// shards, even if other nodes could still store its announcements.
bool has_lost_store(
    const store_health& health, boot_time now, const takeover_timing& timing);

/// A node that is a candidate for shards without an owner.
struct claimant
{
    node_announcement announcement;
    /// Shards that it owns or is claiming.
    std::set<shard_id> held;
    /// Recent upper bound of the store's append latency.
    std::chrono::milliseconds append_delay{0};
};

/// A node's view of all nodes and shard owners, built from the records of the
/// registry. Time without announcements counts only while the registry can be
/// read.
class shard_map
{
public:
    explicit shard_map(takeover_timing timing);

    /// Applies a registry record. Returns false and ignores it if malformed.
    bool apply(const keyed_record& record, moment now);
    /// Notes that the registry was read up to its end at this time.
    void mark_caught_up(boot_time now);
    /// Notes that the registry was read to what was its end at `as_of`, which
    /// is before the answer arrived.
    void mark_read(boot_time as_of);
    /// Records that were stored by then are known here.
    boot_time read_as_of() const;

    std::optional<owner_record> owner(shard_id shard) const;
    std::uint64_t last_epoch(shard_id shard) const;
    /// Whether the owner's process is still announced and has access to the
    /// store.
    bool is_alive(const owner_record& owner, boot_time now) const;
    std::vector<node_announcement> alive_nodes(boot_time now) const;
    /// The nodes that were available when the registry was last read. Unlike
    /// `alive_nodes`, it names them also while this node can't read it.
    std::vector<node_announcement> last_read_nodes() const;

    /// Whether the registry has been read to its end once. Before that, it is
    /// not known which shards hold submissions of a queue.
    bool has_been_read() const;
    /// The queues that the registry lists for a shard.
    shard_queues queues_of(shard_id shard) const;
    /// The shards that may hold submissions of a queue, in order.
    std::vector<shard_id> shards_with(std::uint64_t queue) const;
    /// All shards that may hold submissions. Each needs an owner, even if no
    /// queue of the configuration leads to it any more.
    std::set<shard_id> shards_with_queues() const;

    /// Sets the layout, which never changes once it has been read.
    void set_layout(fleet_layout layout);
    const std::optional<fleet_layout>& layout() const;
    /// Whether any pool has ever had an owner.
    bool has_pool_owners() const;

    /// Returns those of the wanted shards that `self` should claim now.
    std::vector<shard_id> shards_to_claim(
        const std::set<shard_id>& wanted, const claimant& self, boot_time now);

    /// Whether another node has so much less load for its CPU that `self`
    /// should hand one of its shards over to it. Load pattern: nodes that were
    /// cut off come back without shards, and a node that took theirs owns two
    /// pools when the load peak of one comes.
    bool should_hand_over(
        const std::set<shard_id>& wanted, const claimant& self,
        boot_time now) const;

private:
    struct node_entry
    {
        node_announcement announcement;
        boot_time last_change;
        /// Its announcement was too old on the first read of the registry;
        /// no shards are assigned to it.
        bool departed = false;
        /// When it could own shards again after it could not.
        boot_time available_since;
    };

    bool has_timed_out(const node_entry& node, boot_time now) const;
    bool is_available(const node_entry& node, boot_time now) const;
    bool is_outdated(
        const std::string& name, const node_announcement& announcement) const;

    takeover_timing timing_;
    std::map<std::string, node_entry> nodes_;
    std::map<shard_id, owner_record> owners_;
    std::map<shard_id, shard_queues> queues_;
    std::map<shard_id, boot_time> unowned_since_;
    std::optional<fleet_layout> layout_;
    std::optional<boot_time> first_read_;
    boot_time last_read_;
    boot_time read_as_of_;
};

/// Keys of registry records.
std::string announcement_key(std::string_view node);
std::string owner_key(shard_id shard);
std::string queues_key(shard_id shard);

/// The shards that a configuration's pools need, and `fleet_shard`. Only
/// `fleet_shard` while the layout is unknown.
std::set<shard_id> wanted_shards(
    const queue_table& table, const std::optional<fleet_layout>& layout,
    std::uint64_t partitions);

} // namespace dandeliontack
