#pragma once

#include <dandeliontack/answer_times.hpp>
#include <dandeliontack/boot_clock.hpp>
#include <dandeliontack/node_context.hpp>
#include <dandeliontack/store_calls.hpp>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace dandeliontack
{

/// The one client of the platform's store. Logs when the store is lost and
/// regained; never retries by itself.
class store_client
{
public:
    explicit store_client(node_context& context);

    /// `repeats` says how often this very append was sent before; each time
    /// its answer is waited for longer.
    boost::asio::awaitable<append_answer>
    append(append_call call, unsigned repeats = 0);
    boost::asio::awaitable<read_answer>
    read(store_place place, std::uint64_t from, std::chrono::milliseconds wait);
    boost::asio::awaitable<newest_page>
    newest(store_place place, std::string after);

    /// When the last call that succeeded was answered.
    boot_time last_success() const;
    /// What nearly every append that is answered takes at most, of late.
    std::chrono::milliseconds usual_delay() const;

private:
    boost::asio::awaitable<exchange_result>
    call(http_request request, std::chrono::milliseconds timeout);
    void note(bool answered, const std::string& reason);

    node_context& context_;
    std::string address_;
    boot_time last_success_;
    std::optional<boot_time> lost_since_;
    answer_times append_times_;
};

/// The writer of one partition under an epoch of its own. One append is under
/// way at a time, and each is repeated until its outcome is known.
class fenced_writer
{
public:
    /// What became of the epoch.
    enum class state
    {
        idle,
        held,
        /// A higher epoch has been seen, or the outcome can't be known.
        lost
    };

    fenced_writer(
        node_context& context, store_client& store, store_place place,
        std::string producer);

    /// Takes the epoch after `last` by appending `records`. False where it was
    /// taken already or the store refuses for longer than `patience`. One that
    /// insists goes on with higher epochs: only for a producer that nobody
    /// else is, as it takes the epoch from whoever holds it.
    boost::asio::awaitable<bool> claim(
        std::uint64_t last, std::vector<keyed_record> records,
        std::chrono::milliseconds patience, bool insists = false);

    /// Appends, repeating until stored or lost. False once lost.
    boost::asio::awaitable<bool> append(std::vector<keyed_record> records);

    /// Ends the waiting of an append that can't be settled.
    void abandon();

    /// Whether the append under way, or the one that was given up, may have
    /// been stored.
    bool is_unclear() const;
    /// Since when the append under way has failed; nothing while none does.
    std::optional<boot_time> failing_since() const;
    std::uint64_t epoch() const;
    state standing() const;
    /// When the last append that was stored had been sent.
    boot_time confirmed() const;

private:
    boost::asio::awaitable<append_outcome>
    settle(append_call call, std::chrono::milliseconds patience);

    node_context& context_;
    store_client& store_;
    store_place place_;
    std::string producer_;
    std::uint64_t epoch_ = 0;
    /// The epoch that was claimed last, under `sequence_`.
    std::uint64_t claimed_ = 0;
    std::uint64_t sequence_ = 0;
    state state_ = state::idle;
    bool unclear_ = false;
    std::optional<boot_time> failing_since_;
    boot_time confirmed_;
};

} // namespace dandeliontack
