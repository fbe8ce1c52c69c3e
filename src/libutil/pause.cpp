#include <dandeliontack/pause.hpp>

#include <boost/asio.hpp>

namespace dandeliontack
{

namespace asio = boost::asio;

asio::awaitable<void>
pause_for(asio::any_io_executor executor, std::chrono::milliseconds duration)
{
    asio::steady_timer timer(executor, duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace dandeliontack
