#pragma once

#include <dandeliontack/boot_clock.hpp>
#include <dandeliontack/queue_places.hpp>
#include <dandeliontack/queue_table.hpp>
#include <dandeliontack/shard_map.hpp>
#include <dandeliontack/stored_records.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace dandeliontack
{

/// What a node has read by the time of a decision.
struct admission_view
{
    boot_time now;
    /// The registry has been read to what was its end then.
    boot_time registry_as_of;
    /// The shards that the registry lists for the queue.
    std::vector<shard_id> listed;
};

/// Whether a shard may accept a new submission.
enum class admission : std::uint8_t
{
    open,
    /// Its queue does not lead to this shard.
    closed,
    /// The registry does not list the queue for this shard yet.
    unlisted,
    /// The registry that was read, or the configuration in force here, is too
    /// old to say.
    outdated,
    /// Other shards have to be asked for the submission first.
    ask_others
};

std::string_view to_string(admission decision);

/// A new submission, as far as its place depends on it.
struct admission_request
{
    queue_terms terms;
    /// The shards that don't have it.
    asked_shards asked;
    /// Its cell follows from the pool, so other cells of the pool's shard may
    /// have accepted it for another pool.
    bool cell_depends_on_pool = false;
};

/// Decides which submissions a shard may accept, so that each has one place for
/// its whole life, whatever the caller's node knows of the deployment:
///
/// - a shard is listed in the registry before it accepts, and has read the
///   registry since then, since its claim, and since it heard of the version of
///   the configuration under which it accepts: so of two shards that accept, at
///   least one finds the other listed;
/// - all other listed shards have said that they don't have the submission and
///   have not heard of a newer version, and have closed the queue up to this
///   one;
/// - what is closed is stored, so that a successor knows of it.
class queue_admission
{
public:
    /// `listed` are the queues that the registry lists for the shard.
    explicit queue_admission(shard_queues listed);

    /// Applies a configuration: queues that it sends to `shard` are to be
    /// listed, the others are closed.
    void apply(
        const queue_table& table, shard_id shard, std::uint64_t partitions,
        boot_time now);
    /// The shard was claimed at `now` at the latest.
    void mark_claimed(boot_time now);
    /// A queue that the registry has to list before a submission is accepted.
    void want(std::uint64_t queue);
    /// Accepts no submissions of the queue any more under the configuration of
    /// `terms` or an earlier one.
    void close(const queue_terms& terms, boot_time now);
    /// The records of what was closed since the last call. Nobody may rely on
    /// it before they are stored.
    std::vector<keyed_record> take_closed_records();
    bool has_closed_records() const;
    /// Applies a stored record. Returns false if it is about something else.
    bool restore_closed(const keyed_record& record);

    /// The list to store in the registry; nullptr if it is stored.
    const shard_queues* unlisted() const;
    /// The registry has stored `list`, at `now` at the latest.
    void set_listed(shard_queues list, boot_time now);
    /// Adds what the registry lists, so that a new list takes nothing away.
    void merge_listed(const shard_queues& list);

    bool is_listed(std::uint64_t queue) const;
    /// Whether the queue leads to this shard, as far as is known here.
    bool is_open(const queue_terms& terms) const;
    /// Whether a submission that the shard does not know may be accepted.
    admission
    decide(const admission_request& request, const admission_view& view);
    /// The newest version of the configuration that was heard of.
    std::uint64_t version() const;
    /// When the shard was claimed.
    boot_time claimed_at() const;

private:
    void close_at(std::uint64_t queue, std::uint64_t version);
    std::uint64_t version_of(const queue_terms& terms) const;
    void hear_of(std::uint64_t version, boot_time now);
    bool has_asked_all(
        const admission_request& request, const admission_view& view) const;

    shard_id shard_ = 0;
    shard_queues listed_;
    shard_queues wanted_;
    /// The newest configuration known to send a queue elsewhere, by queue.
    std::map<std::uint64_t, std::uint64_t> closed_;
    /// Of these, what others rely on, and the queues whose record has yet to be
    /// stored.
    std::map<std::uint64_t, std::uint64_t> stored_closed_;
    std::set<std::uint64_t> unstored_closed_;
    /// The version in force, and the queues that it sends to this shard, each
    /// with its pool.
    std::uint64_t version_ = 0;
    std::map<std::uint64_t, std::string> routed_;
    /// The newest version that was heard of, and when that was.
    std::uint64_t heard_version_ = 0;
    boot_time heard_at_;
    boot_time claimed_at_;
    /// When the registry had stored the list that first has the queue; not of
    /// queues that were listed before the claim.
    std::map<std::uint64_t, boot_time> listed_at_;
    /// The same of a list of all queues.
    boot_time all_listed_at_;
};

} // namespace dandeliontack
