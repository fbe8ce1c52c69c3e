#include <dandeliontack/wake_signal.hpp>

#include <boost/asio.hpp>

#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;

wake_signal::wake_signal(asio::any_io_executor executor)
    : executor_(std::move(executor))
{}

asio::awaitable<void> wake_signal::wait(std::chrono::milliseconds longest)
{
    const auto place = waiting_.emplace(waiting_.end(), executor_, longest);
    co_await place->async_wait(asio::as_tuple(asio::use_awaitable));
    waiting_.erase(place);
}

void wake_signal::notify()
{
    for (auto& timer : waiting_)
        timer.cancel();
}

} // namespace dandeliontack
