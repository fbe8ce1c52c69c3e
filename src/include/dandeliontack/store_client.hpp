#pragma once

#include <dandeliontack/answer_times.hpp>
#include <dandeliontack/boot_clock.hpp>
#include <dandeliontack/node_context.hpp>
#include <dandeliontack/store_calls.hpp>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace dandeliontack
{

/// How long a call of `bytes` may take to be sent: on the narrowest link that a
/// node may have, beside as many others.
std::chrono::milliseconds narrow_link_time(std::uint64_t bytes);

/// The node's only client of the platform's store. Logs when the store becomes
/// unavailable and available again; does not retry calls.
class store_client
{
public:
    explicit store_client(node_context& context);

    /// `attempts` is the number of times that this append was sent before; the
    /// timeout grows with each.
    boost::asio::awaitable<append_answer>
    append(append_call call, unsigned attempts = 0);
    boost::asio::awaitable<read_answer>
    read(topic_partition place, std::uint64_t from, read_terms terms);
    /// One page of the newest record of each key, starting after the key
    /// `after`. Given up after `longest`, for callers that others wait for.
    boost::asio::awaitable<newest_page> newest(
        topic_partition place, std::string after,
        std::optional<std::chrono::milliseconds> longest = {});
    /// The newest record of each key, for callers that others wait for. Pages
    /// that fail are asked for again; nothing if the last one has not come
    /// within `longest`.
    boost::asio::awaitable<std::optional<std::vector<keyed_record>>>
    load(topic_partition place, std::chrono::milliseconds longest);

    /// When the response to the last successful call arrived.
    boot_time last_success() const;
    /// An upper estimate of the current latency of appends.
    std::chrono::milliseconds append_latency_estimate() const;

private:
    boost::asio::awaitable<exchange_result> call(
        http_request request, std::chrono::milliseconds timeout,
        body_time limits);
    void record_result(bool answered, const std::string& reason);
    void log_partial_response(
        std::string_view call, const topic_partition& place,
        std::chrono::milliseconds took, const exchange_error& error);

    node_context& context_;
    std::string address_;
    boot_time last_success_;
    std::optional<boot_time> unavailable_since_;
    answer_times append_times_;
};

/// Appends to one partition under an epoch that this writer has claimed. Only
/// one append may be in flight at a time; each is retried until its outcome is
/// known.
class fenced_writer
{
public:
    /// Whether this writer holds its epoch.
    enum class state
    {
        idle,
        held,
        /// Fenced by a higher epoch, or the outcome of an append is unknown.
        lost
    };

    fenced_writer(
        node_context& context, store_client& store, topic_partition place,
        std::string producer);

    /// Claims the epoch after `last` by appending `records`. Returns false if
    /// that epoch is already taken, or if the append has not succeeded after
    /// retries for `retry_time`. With `force`, retries with higher epochs if
    /// the epoch is taken; this fences the current holder, so use it only for a
    /// producer name that no other process uses.
    boost::asio::awaitable<bool> claim(
        std::uint64_t last, std::vector<keyed_record> records,
        std::chrono::milliseconds retry_time, bool force = false);

    /// Appends `records`, in as many calls as the store's limit needs, and
    /// retries until they are stored: in order, each call as a whole. Returns
    /// false once the epoch is lost. Records that the store will never accept
    /// are left out, see `refused_keys`.
    boost::asio::awaitable<bool> append(std::vector<keyed_record> records);

    /// The keys of the records that the last append left out.
    const std::vector<std::string>& refused_keys() const;

    /// Stops the retries of the append in flight and gives up the epoch.
    void abandon();

    /// Whether the append in flight, or the last one that was given up, may
    /// have been stored.
    bool may_be_stored() const;
    /// When the first failed attempt of the append in flight was sent; empty if
    /// none has failed.
    std::optional<boot_time> failing_since() const;
    std::uint64_t epoch() const;
    state current_state() const;
    /// When the last append that was stored was sent.
    boot_time last_stored_sent_at() const;

private:
    void isolate_refused(
        const std::vector<keyed_record>& batch,
        std::deque<std::vector<keyed_record>>& calls);
    boost::asio::awaitable<append_outcome>
    append_with_retries(append_call call, std::chrono::milliseconds retry_time);

    node_context& context_;
    store_client& store_;
    topic_partition place_;
    std::string producer_;
    std::uint64_t epoch_ = 0;
    /// The epoch of the last claim, which was sent under `sequence_`.
    std::uint64_t last_claim_epoch_ = 0;
    std::uint64_t sequence_ = 0;
    state state_ = state::idle;
    bool may_be_stored_ = false;
    std::vector<std::string> refused_keys_;
    std::optional<boot_time> failing_since_;
    boot_time last_stored_sent_at_;
};

} // namespace dandeliontack
