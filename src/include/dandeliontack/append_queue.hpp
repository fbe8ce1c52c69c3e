#pragma once

#include <dandeliontack/store_calls.hpp>
#include <dandeliontack/wake_signal.hpp>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <utility>
#include <vector>

namespace dandeliontack
{

/// Lets appends of several coroutines follow each other. What is appended is
/// made only when its turn has come, so that the newest record never holds
/// less than one before it did. Its owner outlives its coroutines.
class append_queue
{
public:
    using record_list = std::vector<keyed_record>;
    using appender = std::function<boost::asio::awaitable<bool>(record_list)>;

    append_queue(boost::asio::any_io_executor executor, appender append)
        : append_(std::move(append)), ended_(std::move(executor))
    {}

    /// Appends what `make` returns at its turn.
    boost::asio::awaitable<bool> append(std::function<record_list()> make)
    {
        while (busy_)
            co_await ended_.wait(longest_turn);
        busy_ = true;
        const bool stored = co_await append_(make());
        busy_ = false;
        ended_.notify();
        co_return stored;
    }

    bool is_busy() const
    {
        return busy_;
    }

private:
    // The turn is looked for again after this long without a signal.
    static constexpr std::chrono::milliseconds longest_turn{150};

    appender append_;
    wake_signal ended_;
    bool busy_ = false;
};

} // namespace dandeliontack
