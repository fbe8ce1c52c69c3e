#include <dandeliontack/connection_table.hpp>
#include <dandeliontack/grpc_gate.hpp>
#include <dandeliontack/pause.hpp>
#include <dandeliontack/wake_signal.hpp>

#include <boost/asio.hpp>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <list>
#include <thread>
#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;
using asio::ip::tcp;
using local = asio::local::stream_protocol;

namespace
{

constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);
constexpr auto accept_retry = std::chrono::milliseconds(50);
constexpr auto reader_check = std::chrono::seconds(1);
constexpr std::size_t read_bytes = 16 * 1024;
constexpr std::size_t window_bytes = 64 * 1024;
constexpr std::size_t least_connections = 8;
// gRPC frees what a closed connection held some time later.
constexpr auto displacing_pause = std::chrono::milliseconds(50);
// A client that reads nothing for so long is given up.
constexpr auto longest_response = std::chrono::seconds(10);

// What a client may cost in a second, and at once after a pause, in ordinary
// frames. Beyond the second it is read slowly, far beyond it its connection
// ends.
constexpr double cost_per_second = 1000;
constexpr double cost_at_once = 2000;

class frame_pace
{
public:
    using clock = std::chrono::steady_clock;

    /// Counts what the scan has found since the last call.
    void spend(const http2_frame_scan& scan, clock::time_point now)
    {
        const std::chrono::duration<double> passed =
            now - std::exchange(since_, now);
        const auto spent = scan.cost() - std::exchange(spent_, scan.cost());
        left_ =
            std::min(left_ + passed.count() * cost_per_second, cost_at_once);
        left_ -= static_cast<double>(spent);
    }

    bool is_exceeded() const
    {
        return left_ < -cost_at_once;
    }

    /// How long the client has to wait until it is read on.
    std::chrono::milliseconds wait() const
    {
        return std::chrono::ceil<std::chrono::milliseconds>(
            std::chrono::duration<double>(
                std::max(-left_, 0.0) / cost_per_second));
    }

private:
    clock::time_point since_ = clock::now();
    double left_ = cost_at_once;
    std::uint64_t spent_ = 0;
};

// A client's connection, and the one over which gRPC serves it.
struct gated_connection : std::enable_shared_from_this<gated_connection>
{
    gated_connection(tcp::socket from, local::socket to, http2_limits limits)
        : client(std::move(from)),
          server(std::move(to)),
          scan(limits),
          written(client.get_executor()),
          read_limit(client.get_executor())
    {}

    void close()
    {
        boost::system::error_code ignored;
        client.close(ignored);
        server.close(ignored);
    }

    tcp::socket client;
    local::socket server;
    http2_frame_scan scan;
    connection_phase phase = connection_phase::idle;
    std::list<std::shared_ptr<gated_connection>>::iterator place;
    // Whether it has left the table.
    bool is_over = false;
    // Whether something is being written to the client.
    bool writing = false;
    wake_signal written;
    asio::steady_timer read_limit;
};

using table = connection_table<gated_connection>;

connection_phase phase_of(const gated_connection& c)
{
    if (c.scan.is_incomplete())
        return connection_phase::reading;
    if (c.writing || c.scan.is_stalled())
        return connection_phase::responding;
    return c.scan.requests() != 0 ? connection_phase::serving
                                  : connection_phase::idle;
}

} // namespace

struct grpc_gate::core
{
    core(
        const grpc_limits& bounds, metric_registry& registry,
        adopt_function take_over)
        : limits(bounds),
          adopt(std::move(take_over)),
          refusals(registry, "grpc"),
          acceptor(context),
          answer_bytes(static_cast<std::size_t>(bounds.request_bytes))
    {}

    asio::awaitable<void> accept_loop();
    void start(tcp::socket client);
    std::size_t most_connections() const;
    bool make_place();
    asio::awaitable<void> serve(std::shared_ptr<gated_connection> c);
    asio::awaitable<void> pass_requests(std::shared_ptr<gated_connection> c);
    asio::awaitable<void> pass_responses(std::shared_ptr<gated_connection> c);
    void update_phase(gated_connection& c);

    grpc_limits limits;
    adopt_function adopt;
    refusal_counter refusals;
    asio::io_context context{1};
    tcp::acceptor acceptor;
    table connections;
    std::size_t open = 0;
    std::chrono::steady_clock::time_point last_displaced;
    std::atomic<std::size_t> answer_bytes;
    std::thread thread;
};

asio::awaitable<void> grpc_gate::core::accept_loop()
{
    while (acceptor.is_open())
    {
        auto [ec, client] = co_await acceptor.async_accept(no_throw);
        if (ec == asio::error::operation_aborted)
            break;
        if (ec)
        {
            // Out of descriptors or the like: wait rather than spin.
            co_await pause_for(context.get_executor(), accept_retry);
            continue;
        }
        start(std::move(client));
    }
}

// As many as may hold the answers to all their calls, beside their windows.
std::size_t grpc_gate::core::most_connections() const
{
    const auto each = window_bytes + limits.frames.requests * answer_bytes;
    return std::clamp(
        limits.buffered_bytes / each,
        std::min(least_connections, limits.connections), limits.connections);
}

void grpc_gate::core::update_phase(gated_connection& c)
{
    const auto phase = phase_of(c);
    if (c.is_over || c.phase == connection_phase::displaced || c.phase == phase)
        return;
    connections.move(c.place, phase);
    c.read_limit.cancel();
    if (phase != connection_phase::responding)
        return;
    c.read_limit.expires_after(longest_response);
    c.read_limit.async_wait(
        [held = c.shared_from_this()](boost::system::error_code ec) {
            if (!ec)
                held->close();
        });
}

// Whether there is a connection left for a new one, if need be by closing
// another.
bool grpc_gate::core::make_place()
{
    if (open < most_connections())
    {
        ++open;
        return true;
    }
    const auto now = std::chrono::steady_clock::now();
    if (now - last_displaced < displacing_pause)
        return false;
    const auto displaced = connections.displace();
    if (!displaced)
        return false;
    last_displaced = now;
    refusals.count(http_refusal::displaced);
    displaced->close();
    return true;
}

void grpc_gate::core::start(tcp::socket client)
{
    if (!make_place())
    {
        refusals.count(http_refusal::too_many_connections);
        return;
    }
    std::array<int, 2> pair{};
    const int type = SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC;
    if (::socketpair(AF_UNIX, type, 0, pair.data()) != 0)
    {
        --open;
        refusals.count(http_refusal::too_many_connections);
        return;
    }
    boost::system::error_code ignored;
    client.set_option(tcp::no_delay(true), ignored);
    auto c = std::make_shared<gated_connection>(
        std::move(client), local::socket(context, local(), pair[0]),
        limits.frames);
    adopt(pair[1]);
    asio::co_spawn(context, serve(std::move(c)), asio::detached);
}

asio::awaitable<void>
grpc_gate::core::serve(std::shared_ptr<gated_connection> c)
{
    const auto place = connections.insert(c);
    c->place = place;
    asio::co_spawn(context, pass_responses(c), asio::detached);
    co_await pass_requests(c);
    c->is_over = true;
    c->read_limit.cancel();
    c->close();
    // A displaced one has left its place to another.
    if (c->phase != connection_phase::displaced)
        --open;
    connections.erase(place);
}

// Reads no more of a client that doesn't read: gRPC keeps its answers to
// control frames without a bound.
asio::awaitable<void>
grpc_gate::core::pass_requests(std::shared_ptr<gated_connection> c)
{
    std::vector<char> bytes(read_bytes);
    frame_pace pace;
    while (true)
    {
        while (c->writing && c->client.is_open())
            co_await c->written.wait(reader_check);
        auto [read_ec, count] =
            co_await c->client.async_read_some(asio::buffer(bytes), no_throw);
        if (read_ec)
            co_return;
        auto refusal = c->scan.take({bytes.data(), count});
        pace.spend(c->scan, std::chrono::steady_clock::now());
        if (!refusal && pace.is_exceeded())
            refusal = http_refusal::no_room;
        if (refusal)
        {
            refusals.count(*refusal);
            co_return;
        }
        if (c->phase == connection_phase::displaced)
            co_return;
        update_phase(*c);
        auto [write_ec, written] = co_await asio::async_write(
            c->server, asio::buffer(bytes.data(), count), no_throw);
        if (write_ec)
            co_return;
        if (const auto wait = pace.wait(); wait.count() > 0)
            co_await pause_for(context.get_executor(), wait);
    }
}

asio::awaitable<void>
grpc_gate::core::pass_responses(std::shared_ptr<gated_connection> c)
{
    std::vector<char> bytes(read_bytes);
    http2_frame_heads heads;
    boost::system::error_code failure;
    while (!failure)
    {
        auto [read_ec, count] =
            co_await c->server.async_read_some(asio::buffer(bytes), no_throw);
        failure = read_ec;
        if (failure)
            break;
        std::string_view rest(bytes.data(), count);
        while (const auto head = heads.next(rest))
            c->scan.answer(*head);
        c->writing = true;
        update_phase(*c);
        auto [write_ec, written] = co_await asio::async_write(
            c->client, asio::buffer(bytes.data(), count), no_throw);
        failure = write_ec;
        c->writing = false;
        update_phase(*c);
        c->written.notify();
    }
    c->close();
}

grpc_gate::grpc_gate(
    const grpc_limits& limits, metric_registry& metrics, adopt_function adopt)
    : core_(std::make_unique<core>(limits, metrics, std::move(adopt)))
{}

grpc_gate::~grpc_gate()
{
    stop();
}

endpoint grpc_gate::listen(const endpoint& where)
{
    const tcp::endpoint at(asio::ip::make_address(where.address), where.port);
    core_->acceptor.open(at.protocol());
    core_->acceptor.set_option(asio::socket_base::reuse_address(true));
    core_->acceptor.bind(at);
    core_->acceptor.listen();
    const auto port = core_->acceptor.local_endpoint().port();
    asio::co_spawn(core_->context, core_->accept_loop(), asio::detached);
    core_->thread = std::thread([this] { core_->context.run(); });
    return {where.address, port};
}

void grpc_gate::set_answer_bytes(std::size_t bytes)
{
    core_->answer_bytes = bytes;
}

void grpc_gate::stop()
{
    if (!core_->thread.joinable())
        return;
    asio::post(core_->context, [this] {
        boost::system::error_code ignored;
        core_->acceptor.close(ignored);
        core_->connections.for_each([](const auto& c) { c->close(); });
    });
    core_->thread.join();
}

} // namespace dandeliontack
