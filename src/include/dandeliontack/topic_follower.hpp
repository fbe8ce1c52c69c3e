#pragma once

#include <dandeliontack/store_client.hpp>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <set>
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
};

/// Keeps up with a topic of newest records: loads it whole, then reads what is
/// appended. Where the history was trimmed it loads anew and reports keys that
/// are gone as dropped.
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
    std::set<std::string> keys_;
    std::uint64_t next_ = 0;
    bool stopped_ = false;
};

} // namespace dandeliontack
