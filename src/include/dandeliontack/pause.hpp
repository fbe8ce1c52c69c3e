#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>

namespace dandeliontack
{

/// Waits on the executor's own time; never throws.
boost::asio::awaitable<void> pause_for(
    boost::asio::any_io_executor executor, std::chrono::milliseconds duration);

} // namespace dandeliontack
