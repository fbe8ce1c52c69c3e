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

/// Lets appends of several coroutines follow each other; those that wait while
/// one is under way share the next. What is appended is made only when its
/// turn has come, so that the newest record never holds less than one before
/// it did. Its owner outlives its coroutines.
class append_queue
{
public:
    using record_list = std::vector<keyed_record>;
    using appender = std::function<boost::asio::awaitable<bool>(record_list)>;

    /// Each append waits `gather` for others that may share it.
    append_queue(
        boost::asio::any_io_executor executor, appender append,
        std::chrono::milliseconds gather = {})
        : append_(std::move(append)),
          ended_(executor),
          executor_(std::move(executor)),
          gather_(gather)
    {}

    /// Appends what `make` returns at its turn.
    boost::asio::awaitable<bool> append(std::function<record_list()> make)
    {
        const auto mine = std::make_shared<turn>();
        mine->make = std::move(make);
        waiting_.push_back(mine);
        while (!mine->stored)
        {
            if (busy_)
                co_await ended_.wait(longest_turn);
            else
                co_await append_waiting();
        }
        co_return *mine->stored;
    }

    bool is_busy() const
    {
        return busy_;
    }

private:
    // The turn is looked for again after this long without a signal.
    static constexpr std::chrono::milliseconds longest_turn{150};

    struct turn
    {
        std::function<record_list()> make;
        /// Set once the append has ended.
        std::optional<bool> stored;
    };

    boost::asio::awaitable<void> append_waiting()
    {
        busy_ = true;
        if (gather_.count() > 0)
            co_await pause_for(executor_, gather_);
        const auto turns = std::exchange(waiting_, {});
        record_list records;
        for (const auto& each : turns)
            std::ranges::move(each->make(), std::back_inserter(records));
        const bool stored = co_await append_(std::move(records));
        for (const auto& each : turns)
            each->stored = stored;
        busy_ = false;
        ended_.notify();
    }

    appender append_;
    wake_signal ended_;
    boost::asio::any_io_executor executor_;
    std::chrono::milliseconds gather_;
    std::vector<std::shared_ptr<turn>> waiting_;
    bool busy_ = false;
};

} // namespace dandeliontack
