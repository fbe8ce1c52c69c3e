#pragma once

#include <dandeliontack/pause.hpp>
#include <dandeliontack/store_calls.hpp>
#include <dandeliontack/wake_signal.hpp>

#include <boost/asio/awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <iterator>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace dandeliontack
{

/// Serializes the appends of several coroutines and batches those that wait
/// while one is in flight into the next. The records are built only when the
/// batch is sent, so that a later record never holds an older state than an
/// earlier one. The queue must outlive the coroutines that use it.
class append_queue
{
public:
    using record_list = std::vector<keyed_record>;
    using append_function =
        std::function<boost::asio::awaitable<bool>(record_list)>;

    /// Each batch waits `batch_delay` for further records before it is sent.
    append_queue(
        boost::asio::any_io_executor executor, append_function append,
        std::chrono::milliseconds batch_delay = {})
        : append_(std::move(append)),
          batch_ended_(executor),
          executor_(std::move(executor)),
          batch_delay_(batch_delay)
    {}

    /// Appends the records that `make` returns when the batch is sent. Returns
    /// whether the batch was stored.
    boost::asio::awaitable<bool> append(std::function<record_list()> make)
    {
        const auto own = std::make_shared<queued_append>();
        own->make = std::move(make);
        queued_.push_back(own);
        while (!own->stored)
        {
            if (busy_)
                co_await batch_ended_.wait(recheck_interval);
            else
                co_await append_batch();
        }
        co_return *own->stored;
    }

    bool is_busy() const
    {
        return busy_;
    }

private:
    // A waiting coroutine checks again after this time without a signal.
    static constexpr std::chrono::milliseconds recheck_interval{150};

    struct queued_append
    {
        std::function<record_list()> make;
        /// Set once the batch has been stored or has failed.
        std::optional<bool> stored;
    };

    boost::asio::awaitable<void> append_batch()
    {
        busy_ = true;
        if (batch_delay_.count() > 0)
            co_await pause_for(executor_, batch_delay_);
        const auto batch = std::exchange(queued_, {});
        record_list records;
        for (const auto& each : batch)
            std::ranges::move(each->make(), std::back_inserter(records));
        const bool stored = co_await append_(std::move(records));
        for (const auto& each : batch)
            each->stored = stored;
        busy_ = false;
        batch_ended_.notify();
    }

    append_function append_;
    wake_signal batch_ended_;
    boost::asio::any_io_executor executor_;
    std::chrono::milliseconds batch_delay_;
    std::vector<std::shared_ptr<queued_append>> queued_;
    bool busy_ = false;
};

} // namespace dandeliontack
