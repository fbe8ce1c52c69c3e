#include "counting_relay.hpp"

#include <boost/asio.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <thread>
#include <vector>

namespace dandeliontack::harness
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr std::size_t buffer_bytes = 64 * 1024;
// What a narrow link passes on at once, so that connections share it.
constexpr std::size_t packet_bytes = 2 * 1024;
constexpr auto cut_poll_interval = std::chrono::milliseconds(5);
constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);
using shared_socket = std::shared_ptr<tcp::socket>;
using steady_time = std::chrono::steady_clock::time_point;

// One direction of the link.
struct direction
{
    std::uint64_t bytes_per_second = 0;
    /// When the link has passed on all that it took.
    steady_time free_at{};
};

asio::awaitable<void> wait_until(steady_time when)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, when);
    co_await timer.async_wait(no_throw);
}

asio::awaitable<void> copy(
    shared_socket from, shared_socket to, direction& way,
    std::atomic<std::uint64_t>& bytes, const std::atomic<bool>& is_cut)
{
    std::vector<char> buffer(
        way.bytes_per_second > 0 ? packet_bytes : buffer_bytes);
    for (;;)
    {
        const auto [read_error, count] =
            co_await from->async_read_some(asio::buffer(buffer), no_throw);
        if (read_error)
            break;
        bytes += count;
        while (is_cut)
            co_await wait_until(
                std::chrono::steady_clock::now() + cut_poll_interval);
        if (way.bytes_per_second > 0)
        {
            const std::chrono::duration<double> taken(
                static_cast<double>(count) /
                static_cast<double>(way.bytes_per_second));
            way.free_at =
                std::max(way.free_at, std::chrono::steady_clock::now()) +
                std::chrono::duration_cast<steady_time::duration>(taken);
            co_await wait_until(way.free_at);
        }
        const auto [write_error, written] = co_await asio::async_write(
            *to, asio::buffer(buffer.data(), count), no_throw);
        if (write_error)
            break;
    }
    boost::system::error_code ignored;
    to->shutdown(tcp::socket::shutdown_both, ignored);
    from->shutdown(tcp::socket::shutdown_both, ignored);
}

tcp::endpoint to_tcp(const endpoint& where)
{
    return {asio::ip::make_address(where.address), where.port};
}

} // namespace

struct counting_relay::core
{
    core(const endpoint& to, std::uint64_t bytes_per_second)
        : target(to_tcp(to)),
          acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          to_caller{bytes_per_second, {}}
    {}

    asio::awaitable<void> accept()
    {
        for (;;)
        {
            auto [error, accepted] = co_await acceptor.async_accept(no_throw);
            if (error)
                co_return;
            asio::co_spawn(
                context,
                open(std::make_shared<tcp::socket>(std::move(accepted))),
                asio::detached);
        }
    }

    asio::awaitable<void> open(shared_socket caller)
    {
        auto upstream = std::make_shared<tcp::socket>(context);
        const auto [error] = co_await upstream->async_connect(target, no_throw);
        if (error)
            co_return;
        caller->set_option(tcp::no_delay(true));
        upstream->set_option(tcp::no_delay(true));
        asio::co_spawn(
            context, copy(caller, upstream, to_target, bytes, is_cut),
            asio::detached);
        asio::co_spawn(
            context, copy(upstream, caller, to_caller, bytes, is_cut),
            asio::detached);
    }

    asio::io_context context{1};
    tcp::endpoint target;
    tcp::acceptor acceptor;
    direction to_target;
    direction to_caller;
    std::atomic<std::uint64_t> bytes{0};
    std::atomic<bool> is_cut{false};
    std::thread thread;
};

counting_relay::counting_relay(
    const endpoint& target, std::uint64_t bytes_per_second)
    : core_(std::make_unique<core>(target, bytes_per_second))
{
    asio::co_spawn(core_->context, core_->accept(), asio::detached);
    core_->thread = std::thread([this] { core_->context.run(); });
}

counting_relay::~counting_relay()
{
    core_->context.stop();
    core_->thread.join();
}

endpoint counting_relay::address() const
{
    return {"127.0.0.1", core_->acceptor.local_endpoint().port()};
}

void counting_relay::set_cut(bool is_cut)
{
    core_->is_cut = is_cut;
}

std::uint64_t counting_relay::bytes() const
{
    return core_->bytes;
}

} // namespace dandeliontack::harness
