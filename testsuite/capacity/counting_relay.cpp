#include "counting_relay.hpp"

#include <boost/asio.hpp>

#include <array>
#include <atomic>
#include <thread>

namespace dandeliontack::capacity
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr std::size_t buffer_bytes = 64 * 1024;
constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);
using shared_socket = std::shared_ptr<tcp::socket>;

asio::awaitable<void>
copy(shared_socket from, shared_socket to, std::atomic<std::uint64_t>& bytes)
{
    std::vector<char> buffer(buffer_bytes);
    for (;;)
    {
        const auto [read_error, count] =
            co_await from->async_read_some(asio::buffer(buffer), no_throw);
        if (read_error)
            break;
        bytes += count;
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
    explicit core(const endpoint& to)
        : target(to_tcp(to)),
          acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
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
        asio::co_spawn(context, copy(caller, upstream, bytes), asio::detached);
        asio::co_spawn(context, copy(upstream, caller, bytes), asio::detached);
    }

    asio::io_context context{1};
    tcp::endpoint target;
    tcp::acceptor acceptor;
    std::atomic<std::uint64_t> bytes{0};
    std::thread thread;
};

counting_relay::counting_relay(const endpoint& target)
    : core_(std::make_unique<core>(target))
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

std::uint64_t counting_relay::bytes() const
{
    return core_->bytes;
}

} // namespace dandeliontack::capacity
