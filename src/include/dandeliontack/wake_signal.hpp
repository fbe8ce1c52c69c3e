#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <list>

namespace dandeliontack
{

/// Lets any number of coroutines of one executor wait for something to
/// change. Not safe for several threads.
class wake_signal
{
public:
    explicit wake_signal(boost::asio::any_io_executor executor);

    /// Returns at the next `notify`, or when `longest` has passed.
    boost::asio::awaitable<void> wait(std::chrono::milliseconds longest);
    /// Wakes all that wait now.
    void notify();

private:
    boost::asio::any_io_executor executor_;
    std::list<boost::asio::steady_timer> waiting_;
};

} // namespace dandeliontack
