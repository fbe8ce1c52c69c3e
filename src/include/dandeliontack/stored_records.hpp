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

/// A node, as it announces itself.
struct node_announcement
{
    std::string name;
    /// Where other nodes reach it.
    std::string address;
    incarnation life;
    /// Rises with each announcement of a life.
    std::uint64_t beat = 0;
    bool leaving = false;
    std::uint32_t cpu_milli = 0;
    /// Rises with each life of the node; 0 before the store has confirmed one.
    std::uint64_t epoch = 0;
    /// The next announcement comes within this; nothing where not said.
    std::chrono::milliseconds interval{0};
    /// It can't use the store and has given up what it owned.
    bool without_store = false;
    /// The node's time of day; the start of the clock where not said.
    wall_time at;

    bool operator==(const node_announcement&) const = default;
};

/// Who owns a shard, and since which epoch.
struct owner_record
{
    std::string node;
    std::string address;
    incarnation life;
    std::uint64_t epoch = 0;
    /// The owner has given it back.
    bool released = false;

    bool operator==(const owner_record&) const = default;
};

/// How far a wave of upkeep is.
struct wave_record
{
    std::string wave;
    std::vector<std::string> begun;
    std::vector<std::string> ordered;
    bool completed = false;
    /// When its first owner saw it.
    wall_time began;
};

/// What is stored of the ends of a submission's tasks.
struct progress_record
{
    std::optional<submission_phase> finished;
    bool cancelled = false;
    struct task
    {
        task_ref task;
        bool done = false;
        std::set<std::uint32_t> failed_runs;
        std::uint32_t recorded_run = 0;
        std::string checkpoint;
    };
    std::vector<task> tasks;
};

std::string encode(const submission_record& record);
std::string encode(const progress_record& record);
std::string encode(const host_use& record);
std::string encode(const node_announcement& record);
std::string encode(const owner_record& record);
std::string encode(const wave_record& record);
std::string encode(const std::vector<pool_demand>& demands);
std::string encode(const lendings& wanted);
std::string encode(const fleet_layout& layout);

/// Each returns nothing where the bytes are not such a record.
std::optional<submission_record>
decode_submission_record(std::string_view bytes);
std::optional<progress_record>
decode_progress(std::uint64_t submission, std::string_view bytes);
std::optional<host_use> decode_host_use(std::string_view bytes);
std::optional<node_announcement> decode_announcement(std::string_view bytes);
std::optional<owner_record> decode_owner(std::string_view bytes);
std::optional<wave_record> decode_wave_record(std::string_view bytes);
std::optional<std::vector<pool_demand>> decode_demands(std::string_view bytes);
std::optional<lendings> decode_lendings(std::string_view bytes);
std::optional<fleet_layout> decode_layout(std::string_view bytes);

/// What is to be stored of a submission now.
progress_record progress_of(const submission_state& s);
/// Fills in what was stored of its tasks.
void apply_progress(const progress_record& record, submission_state& s);

/// Keys on a shard's partition.
std::string submission_key(std::uint64_t id);
std::string progress_key(std::uint64_t id);
std::string host_key(std::string_view id);
inline constexpr std::string_view shard_owner_key = "o";

} // namespace dandeliontack
