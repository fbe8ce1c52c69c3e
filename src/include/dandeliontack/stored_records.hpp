#pragma once

#include <dandeliontack/finding.hpp>
#include <dandeliontack/fleet_layout.hpp>
#include <dandeliontack/incarnation.hpp>
#include <dandeliontack/pool_demand.hpp>
#include <dandeliontack/pool_state.hpp>
#include <dandeliontack/store_calls.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dandeliontack
{

/// A node's announcement of itself in the registry.
struct node_announcement
{
    std::string name;
    /// The address for calls of other nodes.
    std::string address;
    incarnation process_incarnation;
    /// Sequence number of the announcement within one process of the node.
    std::uint64_t sequence = 0;
    bool leaving = false;
    std::uint32_t cpu_milli = 0;
    /// Increases with each restart of the node; 0 before the store has
    /// confirmed one.
    std::uint64_t epoch = 0;
    /// The next announcement follows within this time; 0 if not given.
    std::chrono::milliseconds interval{0};
    /// The node can't use the store and has given up its shards.
    bool without_store = false;
    /// Wall clock time of the announcement; the epoch of the clock if not
    /// given.
    wall_time at;

    bool operator==(const node_announcement&) const = default;
};

/// The owner of a shard and the epoch of its ownership.
struct owner_record
{
    std::string node;
    std::string address;
    incarnation process_incarnation;
    std::uint64_t epoch = 0;
    /// The owner has released the shard.
    bool released = false;

    bool operator==(const owner_record&) const = default;
};

/// The queues of which a shard may hold submissions, by `queue_terms::queue`.
/// Stored before the shard accepts the first submission of a queue, and kept
/// after the queue was sent to a pool of another shard.
struct shard_queues
{
    std::set<std::uint64_t> queues;
    /// The shard may hold submissions of any queue: a longer list would not fit
    /// a record.
    bool all = false;

    bool contains(std::uint64_t queue) const;
    /// Adds a queue, or sets `all` if the list is full.
    void insert(std::uint64_t queue);

    bool operator==(const shard_queues&) const = default;
};

/// The progress of a maintenance wave, by machine.
struct wave_record
{
    std::string wave;
    std::vector<std::string> begun;
    std::vector<std::string> ordered;
    bool completed = false;
    /// When an owner first read the wave.
    wall_time began;
};

/// The stored results and checkpoints of a part of a submission's tasks. Each
/// record is valid without the others, so any of them may be older.
struct progress_record
{
    /// Of the whole submission; in its first part only.
    std::optional<submission_phase> finished;
    bool cancelled = false;
    number_ranges occurrences_done;
    /// The part's first task, counted over all steps of the occurrence, and one
    /// bit for each task from there on that is done.
    std::uint32_t occurrence = 0;
    std::uint32_t first_task = 0;
    std::string done_bits;
    struct task
    {
        task_ref task;
        bool done = false;
        std::set<std::uint32_t> failed_runs;
        std::uint32_t older_failures = 0;
        std::uint32_t recorded_run = 0;
        std::string checkpoint;
    };
    /// Tasks that are not done and of which a run has ended.
    std::vector<task> tasks;
};

std::string encode(const submission_record& record);
std::string encode(const progress_record& record);
std::string encode(const host_use& record);
std::string encode(const node_announcement& record);
std::string encode(const owner_record& record);
std::string encode(const shard_queues& record);
std::string encode(const wave_record& record);
std::string encode(const std::vector<pool_demand>& demands);
std::string encode(const lent_hosts& wanted);
/// Appended to encoded `lent_hosts` and demands, which earlier versions then
/// decode as before.
std::string encode(const allotment_call& call);
std::string encode(const allotment_report& report);
std::string encode(const fleet_layout& layout);

/// Each returns `std::nullopt` if the bytes are not a valid record.
std::optional<submission_record>
decode_submission_record(std::string_view bytes);
std::optional<progress_record>
decode_progress(std::uint64_t submission, std::string_view bytes);
std::optional<host_use> decode_host_use(std::string_view bytes);
std::optional<node_announcement> decode_announcement(std::string_view bytes);
std::optional<owner_record> decode_owner(std::string_view bytes);
std::optional<shard_queues> decode_shard_queues(std::string_view bytes);
std::optional<wave_record> decode_wave_record(std::string_view bytes);
std::optional<std::vector<pool_demand>> decode_demands(std::string_view bytes);
std::optional<lent_hosts> decode_lent_hosts(std::string_view bytes);
/// Returns no value if there is none beside the lent hosts.
std::optional<allotment_call> decode_allotment_call(std::string_view bytes);
/// Returns no value if there is none beside the demands.
std::optional<allotment_report> decode_allotment_report(std::string_view bytes);
std::optional<fleet_layout> decode_layout(std::string_view bytes);

/// The record to store for a part of a submission's current state, without the
/// tasks that are stored on their own.
progress_record
progress_of(const submission_state& s, const progress_part& part);
/// The record of a task that is stored on its own.
progress_record progress_of(const submission_state& s, const task_ref& task);
/// Restores the state of a submission's tasks from one of its records. What is
/// known to be newer is kept.
void apply_progress(const progress_record& record, submission_state& s);

/// Keys of records in a shard's partition.
std::string submission_key(std::uint64_t id);
/// `p/ID` for the first part, else `p/ID/OCCURRENCE.PART`.
std::string progress_key(const progress_part& part);
/// `t/TASK`.
std::string task_key(const task_ref& task);
std::string host_key(std::string_view id);
inline constexpr std::string_view shard_owner_key = "o";

} // namespace dandeliontack
