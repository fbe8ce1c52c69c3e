#pragma once

#include <dandeliontack/store_client.hpp>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <string>

namespace dandeliontack
{

/// How a topic is followed.
struct follow_terms
{
    store_place place;
    /// How long a read waits for a record.
    std::chrono::milliseconds wait{0};
    /// The least time between two reads.
    std::chrono::milliseconds interval{0};
    /// The longest pause after a read of many bytes, and the bytes a second
    /// that this node may read on the mean; 0 for any number.
    std::chrono::milliseconds longest_pause{0};
    std::function<double()> bytes_per_second{};
};

/// How long a follower pauses after it read so many bytes.
std::chrono::milliseconds
pause_after(std::size_t bytes, const follow_terms& terms);

/// Keeps up with a topic of newest records: loads it whole, then reads what is
/// appended. Where the history was trimmed it loads anew and reports keys that
/// are gone as dropped. Pattern of load: one large record is written anew many
/// times in a row. After a pause that its bytes ask for, the newest is loaded
/// instead of all that came in between.
class topic_follower
{
public:
    using record_handler = std::function<void(const keyed_record&)>;
    /// Called after each read that reached the end.
    using end_handler = std::function<void()>;

    topic_follower(
        node_context& context, store_client& store, follow_terms terms,
        record_handler on_record, end_handler on_end);

    /// Follows until `stop`.
    boost::asio::awaitable<void> run();
    void stop();

private:
    boost::asio::awaitable<bool> load();
    void deliver(const keyed_record& record);

    node_context& context_;
    store_client& store_;
    follow_terms terms_;
    record_handler on_record_;
    end_handler on_end_;
    /// The keys that are there, with the offsets of their newest records.
    std::map<std::string, std::uint64_t> keys_;
    std::uint64_t next_ = 0;
    /// What the last load brought; it counts with the next read.
    std::size_t loaded_bytes_ = 0;
    bool stopped_ = false;
};

} // namespace dandeliontack
