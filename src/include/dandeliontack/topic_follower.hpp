#pragma once

#include <dandeliontack/store_client.hpp>
#include <dandeliontack/wake_signal.hpp>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <string>

namespace dandeliontack
{

/// The partition to follow, and the pacing of the reads.
struct follow_options
{
    topic_partition place;
    /// With a limit, whatever a read leaves is not read: the newest records are
    /// listed instead, as most of it is superseded.
    read_terms reads;
    /// The minimum pause between two reads.
    std::chrono::milliseconds interval{0};
    /// The maximum pause after a large read.
    std::chrono::milliseconds max_pause{0};
    /// The mean rate at which this node may read; 0 for no limit.
    std::function<double()> bytes_per_second{};
};

/// The pause that keeps a follower within its read rate after a read of `bytes`
/// bytes that took `spent`.
std::chrono::milliseconds pause_after(
    std::size_t bytes, std::chrono::milliseconds spent,
    const follow_options& options);

/// The latest moment that a read which returned no record certainly speaks of:
/// the store waits for a record as long as it is told, but its response may
/// take any time.
boot_time end_known_at(
    boot_time sent, std::chrono::milliseconds wait, boot_time answered);

/// Follows a compacted topic: loads the newest record of each key, then reads
/// the records that are appended. If the next offset was trimmed, it loads the
/// topic again and reports keys that no longer exist as deleted (empty value).
/// If a record is rewritten faster than this follower may read, the newest
/// version is loaded instead of every version written in between.
class topic_follower
{
public:
    using record_handler = std::function<void(const keyed_record&)>;
    /// Called after the topic was loaded and after each read that reached its
    /// end, with a moment up to which the topic has certainly been read. A
    /// large response ends long after the store has made it.
    using caught_up_handler = std::function<void(boot_time)>;

    topic_follower(
        node_context& context, store_client& store, follow_options options,
        record_handler on_record, caught_up_handler on_caught_up);

    /// Runs until `stop` is called.
    boost::asio::awaitable<void> run();
    void stop();
    /// Ends the pause before the next read.
    void read_soon();
    /// Whether the records that are being delivered come from a list of the
    /// newest ones rather than from the log.
    bool is_loading() const;

private:
    boost::asio::awaitable<void> load();
    /// Reads the log once, and pauses.
    boost::asio::awaitable<void> read();
    /// Delivers the records of a read that was sent at `sent`; whether some of
    /// them, or of those that the read left, were superseded already.
    bool deliver_all(read_answer answer, boot_time sent);
    /// Passes a record on unless it is older than what is known of its key.
    void deliver(const keyed_record& record);
    /// Reports a key that the topic no longer has.
    void remove(const std::string& key);

    node_context& context_;
    store_client& store_;
    follow_options options_;
    record_handler on_record_;
    caught_up_handler on_caught_up_;
    /// The offset of the newest record of each existing key.
    std::map<std::string, std::uint64_t> keys_;
    std::uint64_t next_ = 0;
    /// The size of the last load; added to that of the next read that returns
    /// records.
    std::size_t loaded_bytes_ = 0;
    /// When the last read began.
    boot_time read_began_;
    wake_signal hurry_signal_;
    /// The next read must not wait.
    bool hurried_ = false;
    bool loaded_ = false;
    bool stopped_ = false;
};

} // namespace dandeliontack
