#include <dandeliontack/buffer_budget.hpp>
#include <dandeliontack/connection_table.hpp>
#include <dandeliontack/http_body_parse.hpp>
#include <dandeliontack/http_head.hpp>
#include <dandeliontack/http_header_scan.hpp>
#include <dandeliontack/http_server.hpp>
#include <dandeliontack/log.hpp>
#include <dandeliontack/pause.hpp>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <list>
#include <optional>
#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);
constexpr auto accept_retry = std::chrono::milliseconds(50);
constexpr auto drain_poll_interval = std::chrono::milliseconds(5);
constexpr std::size_t read_bytes = 4096;
// What is read and dropped after a refusal, so that the sender sees it.
constexpr std::size_t discarded_bytes = 256 * 1024;
// How often a request lets others run that must give up their memory for it.
constexpr unsigned most_turns = 100;
constexpr std::string_view continue_line = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr auto discard_limit = std::chrono::seconds(1);

// The longest line that begins a chunk, when the trailers behind it are of the
// largest permitted size, and the end of the chunk before it.
constexpr std::size_t chunk_line_bytes = 4096 + 2;
// What the allocator and the parser use for each field beside its text.
constexpr std::uint64_t field_overhead_bytes = 80;

using request_parser = http::request_parser<http::string_body>;

// A connection and whether a request on it is in progress.
struct session
{
    session(tcp::socket socket, std::shared_ptr<buffer_budget> budget)
        : stream(std::move(socket)),
          share(std::move(budget), [this] { give_way(); })
    {}

    // A request is still answered with a refusal. A response ends: between two
    // of its writes there is nothing to cancel.
    void give_way()
    {
        if (phase == connection_phase::responding)
            stream.close();
        else
            stream.cancel();
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    buffer_share share;
    connection_phase phase = connection_phase::idle;
    bool busy = false;
    /// When the first bytes of the request may have arrived.
    boot_time arrived;
};

using session_table = connection_table<session>;

// Why a request was not read. Without a cause, the connection has ended.
struct read_failure
{
    std::optional<http_refusal> cause;
    std::string detail;
};

// Nothing, if the request was read.
using read_result = std::optional<read_failure>;

std::string_view view_of(const beast::flat_buffer& buffer)
{
    const auto data = buffer.data();
    return {static_cast<const char*>(data.data()), data.size()};
}

// The end of a header, or the error for it.
beast::error_code error_of(header_scan found)
{
    switch (found)
    {
    case header_scan::bare_line_feed:
        return http::error::bad_line_ending;
    case header_scan::folded_line:
        return http::error::bad_value;
    case header_scan::empty_first_line:
        return http::error::bad_method;
    default:
        return {};
    }
}

// Only `chunked` says where the body ends; any other coding is refused rather
// than read as no body at all.
bool has_known_framing(const http_request& request)
{
    const auto found = request.find(http::field::transfer_encoding);
    return found == request.end() ||
           (request.version() == 11 &&
            beast::iequals(found->value(), "chunked") &&
            request.count(http::field::transfer_encoding) == 1);
}

read_failure failure_of(beast::error_code ec)
{
    if (ec == http::error::header_limit)
        return {http_refusal::header_too_large, {}};
    if (ec == http::error::body_limit)
        return {http_refusal::body_too_large, {}};
    if (ec == beast::error::timeout)
        return {http_refusal::too_slow, {}};
    const bool is_of_http =
        ec.category() == make_error_code(http::error::bad_method).category();
    if (!is_of_http || ec == http::error::end_of_stream ||
        ec == http::error::partial_message)
        return {};
    return {http_refusal::malformed, ec.message()};
}

// Which part of a chunked body doesn't fit the buffer that begins with it. The
// trailers are behind the line of the last chunk.
http_refusal overflow_of(std::string_view buffered)
{
    constexpr std::string_view line_end = "\r\n";
    if (buffered.starts_with(line_end))
        buffered.remove_prefix(line_end.size());
    return buffered.find(line_end) == std::string_view::npos
               ? http_refusal::chunk_line_too_long
               : http_refusal::trailers_too_large;
}

// An upper bound of what a header's fields use once it is parsed.
std::uint64_t parsed_bytes(std::string_view buffered)
{
    const auto lines = std::ranges::count(buffered, '\n');
    return buffered.size() +
           static_cast<std::uint64_t>(lines) * field_overhead_bytes;
}

// Of a body without a known length, a text keeps twice its size at most.
std::uint64_t growing_bytes(const std::string& body)
{
    return std::min<std::uint64_t>(body.capacity(), 2 * body.size());
}

std::uint64_t bytes_of(const http_request& request)
{
    std::uint64_t bytes = request.body().size();
    for (const auto& field : request)
        bytes += field.name_string().size() + field.value().size() +
                 field_overhead_bytes;
    return bytes;
}

void drop(beast::flat_buffer& buffer)
{
    buffer.clear();
    buffer.shrink_to_fit();
}

// The first bytes of each connection are bounded by the number of connections.
std::uint64_t bytes_of(const beast::flat_buffer& buffer)
{
    return buffer.capacity() - std::min(buffer.capacity(), read_bytes);
}

} // namespace

http_limits http_limits_of(
    const machine_limits& machine,
    std::shared_ptr<connection_budget> connections, std::size_t divisor,
    std::string server)
{
    http_limits limits;
    limits.connections = client_connections_of(machine);
    limits.guaranteed_connections =
        std::max<std::size_t>(limits.connections / divisor, 1);
    limits.shared_connections = std::move(connections);
    limits.buffered_bytes = buffered_bytes_of(machine);
    limits.server = std::move(server);
    return limits;
}

struct http_server::core : std::enable_shared_from_this<core>
{
    core(
        asio::any_io_executor run_on, http_limits bounds,
        metric_registry& registry, timed_handler handler_function)
        : executor(std::move(run_on)),
          limits(bounds),
          metrics(registry),
          handle(std::move(handler_function)),
          acceptor(executor),
          budget(std::make_shared<buffer_budget>(bounds.buffered_bytes)),
          held_bytes(
              metrics.get_gauge(bounds.metric_of("tack_http_held_bytes"))),
          refusals(registry, bounds.server),
          part(
              bounds.shared_connections
                  ? bounds.shared_connections
                  : std::make_shared<connection_budget>(bounds.connections),
              bounds.guaranteed_connections)
    {}

    asio::awaitable<void> accept_loop();
    asio::awaitable<void> serve(std::shared_ptr<session> s);
    asio::awaitable<bool> serve_one(session& s, session_table::place at);
    bool make_place();
    asio::awaitable<read_result> read_header(session& s);
    asio::awaitable<read_result>
    read_message(session& s, request_parser& parser);
    asio::awaitable<read_result> read_body(session& s, request_parser& parser);
    asio::awaitable<bool> first_bytes(session& s);
    asio::awaitable<void> finish(session& s);
    void start(tcp::socket socket);
    void accept_waiting();
    asio::awaitable<std::optional<http_response>>
    answer(http_request request, boot_time arrived);
    boot_time earliest_arrival() const;
    asio::awaitable<bool>
    write_response(session& s, http_response response, bool keep_alive);
    asio::awaitable<bool> reject(session& s, const read_failure& failure);
    asio::awaitable<void> wait_for_room(session& s);
    bool reserve(session& s, std::uint64_t bytes);

    asio::any_io_executor executor;
    http_limits limits;
    metric_registry& metrics;
    timed_handler handle;
    tcp::acceptor acceptor;
    std::shared_ptr<buffer_budget> budget;
    gauge& held_bytes;
    refusal_counter refusals;
    connection_part part;
    session_table sessions;
    part_log out{"http.server"};
    bool draining = false;
    bool closing = false;
};

// Whether there is a connection left for a new one, if need be by closing
// another.
bool http_server::core::make_place()
{
    if (part.taken() < limits.connections && part.take())
        return true;
    const auto displaced = sessions.displace();
    if (!displaced)
        return false;
    refusals.count(http_refusal::displaced);
    displaced->stream.close();
    return true;
}

void http_server::core::start(tcp::socket socket)
{
    const bool has_room =
        budget->admits_connection(std::chrono::steady_clock::now());
    if (!has_room || !make_place())
    {
        metrics.get_counter("tack_http_connections_refused_total").add();
        refusals.count(
            has_room ? http_refusal::too_many_connections
                     : http_refusal::no_room_for_connection);
        return;
    }
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto s = std::make_shared<session>(std::move(socket), budget);
    asio::co_spawn(executor, serve(std::move(s)), asio::detached);
}

// Takes what the system has already accepted for the listening socket:
// closing it would reset these connections.
void http_server::core::accept_waiting()
{
    beast::error_code ec;
    acceptor.non_blocking(true, ec);
    while (!ec)
    {
        tcp::socket socket(executor);
        acceptor.accept(socket, ec);
        if (!ec)
            start(std::move(socket));
    }
}

asio::awaitable<void> http_server::core::accept_loop()
{
    const auto self = shared_from_this();
    while (acceptor.is_open())
    {
        auto [ec, socket] = co_await acceptor.async_accept(no_throw);
        if (ec == asio::error::operation_aborted)
            break;
        if (ec)
        {
            // Out of descriptors or the like: wait rather than spin.
            co_await pause_for(executor, accept_retry);
            continue;
        }
        start(std::move(socket));
    }
}

asio::awaitable<void> http_server::core::serve(std::shared_ptr<session> s)
{
    const auto self = shared_from_this();
    const auto place = sessions.insert(s);
    bool open = true;
    while (open)
        open = co_await serve_one(*s, place);
    s->share.release();
    held_bytes.set(static_cast<std::int64_t>(budget->held()));
    if (s->phase != connection_phase::displaced)
    {
        sessions.move(place, connection_phase::ending);
        co_await finish(*s);
    }
    s->stream.close();
    // A displaced one has left its place to another.
    if (s->phase != connection_phase::displaced)
        part.give_back();
    sessions.erase(place);
}

// Ends the sending side and drops what still arrives, within bounds: closing
// with unread bytes would reset the connection and could lose the response.
asio::awaitable<void> http_server::core::finish(session& s)
{
    beast::error_code ec;
    s.stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    s.stream.expires_after(discard_limit);
    std::size_t left = discarded_bytes;
    drop(s.buffer);
    while (!ec && left > 0)
    {
        auto [read_ec, bytes] = co_await s.stream.async_read_some(
            s.buffer.prepare(read_bytes), no_throw);
        ec = read_ec;
        left -= std::min(left, bytes);
    }
}

// Waits for the next request's first bytes. A connection that a drain cancels
// is still read where bytes have arrived.
asio::awaitable<bool> http_server::core::first_bytes(session& s)
{
    if (s.buffer.size() != 0)
        co_return true;
    s.stream.expires_after(limits.idle);
    auto [ec, bytes] = co_await s.stream.async_read_some(
        s.buffer.prepare(
            std::min<std::size_t>(read_bytes, limits.header_bytes)),
        no_throw);
    s.buffer.commit(bytes);
    s.arrived = earliest_arrival();
    if (!ec)
        co_return true;
    beast::error_code ignored;
    co_return ec ==
        asio::error::operation_aborted&& draining&& s.stream.socket().available(
            ignored) > 0;
}

// Reads until the header is complete, and checks the shapes that the parser
// would accept though others read them differently.
asio::awaitable<read_result> http_server::core::read_header(session& s)
{
    auto found = scan_header(view_of(s.buffer));
    while (found == header_scan::incomplete)
    {
        if (s.buffer.size() >= limits.header_bytes)
            co_return read_failure{http_refusal::header_too_large, {}};
        const auto room = std::min<std::size_t>(
            read_bytes, limits.header_bytes - s.buffer.size());
        auto [ec, bytes] =
            co_await s.stream.async_read_some(s.buffer.prepare(room), no_throw);
        if (ec)
            co_return failure_of(ec);
        s.buffer.commit(bytes);
        if (!reserve(s, bytes_of(s.buffer)))
            co_await wait_for_room(s);
        if (s.share.has_given_up())
            co_return read_failure{};
        found = scan_header(view_of(s.buffer));
    }
    s.stream.expires_after(limits.transfer);
    if (const auto ec = error_of(found))
        co_return failure_of(ec);
    co_return std::nullopt;
}

// Serves one request and says whether the connection can carry another.
asio::awaitable<bool>
http_server::core::serve_one(session& s, session_table::place at)
{
    const bool arrived = co_await first_bytes(s);
    if (!arrived || s.phase == connection_phase::displaced)
        co_return false;
    s.busy = true;
    sessions.move(at, connection_phase::reading);
    s.share.begin(std::chrono::steady_clock::now());
    read_result failure;
    std::optional<http_request> read;
    {
        request_parser parser;
        parser.header_limit(limits.header_bytes);
        parser.body_limit(limits.body_bytes);
        s.buffer.max_size(limits.header_bytes + chunk_line_bytes);
        s.stream.expires_after(std::min(limits.header, limits.transfer));
        failure = co_await read_message(s, parser);
        if (!failure)
            read = parser.release();
    }
    if (s.phase == connection_phase::displaced)
        co_return false;
    // It may have been complete in the buffer when it had to give way. What it
    // holds from then on would not be counted.
    if (s.share.has_given_up() && !failure)
        failure.emplace();
    if (failure)
    {
        if (s.share.has_given_up())
            failure->cause = http_refusal::no_room;
        co_return co_await reject(s, *failure);
    }
    sessions.move(at, connection_phase::serving);
    auto request = std::move(*read);
    read.reset();
    s.share.complete();
    if (s.buffer.capacity() > read_bytes)
        s.buffer.shrink_to_fit();
    reserve(s, bytes_of(s.buffer) + limits.request_copies * bytes_of(request));
    const bool keep_alive = request.keep_alive();
    s.stream.expires_never();
    // Responses that had to give way are freed before there are more.
    if (!s.share.has_room())
        co_await wait_for_room(s);
    auto response = co_await answer(std::move(request), s.arrived);
    if (!response)
        co_return false;
    reserve(s, bytes_of(s.buffer) + response->body().size());
    s.share.respond(std::chrono::steady_clock::now());
    sessions.move(at, connection_phase::responding);
    const bool written = co_await write_response(
        s, std::move(*response), keep_alive && !closing);
    s.busy = false;
    s.share.release();
    held_bytes.set(static_cast<std::int64_t>(budget->held()));
    if (s.phase == connection_phase::displaced)
        co_return false;
    sessions.move(at, connection_phase::idle);
    co_return written&& keep_alive && !closing;
}

boot_time http_server::core::earliest_arrival() const
{
    return limits.earliest_arrival ? limits.earliest_arrival()
                                   : read_clocks().steady;
}

// Nothing where the handler threw: the connection is closed without an answer.
asio::awaitable<std::optional<http_response>>
http_server::core::answer(http_request request, boot_time arrived)
{
    try
    {
        co_return co_await handle(std::move(request), arrived);
    }
    catch (const std::exception& error)
    {
        metrics.get_counter("tack_http_handler_failed_total").add();
        out.warn("A handler failed: ", error.what(), ".");
    }
    co_return std::nullopt;
}

asio::awaitable<bool> http_server::core::write_response(
    session& s, http_response response, bool keep_alive)
{
    response.keep_alive(keep_alive);
    s.stream.expires_after(limits.transfer);
    const auto head = head_of(response);
    const std::array<asio::const_buffer, 2> parts{
        asio::buffer(head), asio::buffer(response.body())};
    auto [ec, bytes] = co_await asio::async_write(s.stream, parts, no_throw);
    co_return !ec;
}

asio::awaitable<bool>
http_server::core::reject(session& s, const read_failure& failure)
{
    if (!failure.cause)
        co_return false;
    refusals.count(*failure.cause);
    auto response = answer_to(*failure.cause, failure.detail);
    if (!response)
        co_return false;
    metrics.get_counter("tack_http_rejected_total").add();
    s.share.release();
    drop(s.buffer);
    co_await write_response(s, std::move(*response), false);
    co_return false;
}

asio::awaitable<read_result>
http_server::core::read_message(session& s, request_parser& parser)
{
    auto failure = co_await read_header(s);
    if (failure)
        co_return failure;
    if (!reserve(s, bytes_of(s.buffer) + parsed_bytes(view_of(s.buffer))))
        co_await wait_for_room(s);
    if (s.share.has_given_up())
        co_return read_failure{};
    auto [header_ec, header_bytes] =
        co_await http::async_read_header(s.stream, s.buffer, parser, no_throw);
    if (header_ec)
        co_return failure_of(header_ec);
    if (!has_known_framing(parser.get()))
        co_return failure_of(http::error::bad_transfer_encoding);
    if (parser.is_done())
        co_return std::nullopt;
    if (beast::iequals(parser.get()[http::field::expect], "100-continue"))
    {
        auto [continue_ec, written] = co_await asio::async_write(
            s.stream, asio::buffer(continue_line), no_throw);
        if (continue_ec)
            co_return failure_of(continue_ec);
    }
    failure = co_await read_body(s, parser);
    co_return failure;
}

asio::awaitable<read_result>
http_server::core::read_body(session& s, request_parser& parser)
{
    parser.eager(true);
    const auto header_bytes = bytes_of(parser.get());
    const auto& body = parser.get().body();
    while (true)
    {
        const auto ec = parse_buffered(s.buffer, parser);
        if (ec)
            co_return failure_of(ec);
        if (parser.is_done())
            co_return std::nullopt;
        if (!reserve(
                s, header_bytes + bytes_of(s.buffer) +
                       limits.request_copies * growing_bytes(body)))
            co_await wait_for_room(s);
        if (s.share.has_given_up())
            co_return read_failure{};
        const auto room =
            std::min(read_bytes, s.buffer.max_size() - s.buffer.size());
        if (room == 0)
            co_return read_failure{overflow_of(view_of(s.buffer)), {}};
        auto [read_ec, bytes] =
            co_await s.stream.async_read_some(s.buffer.prepare(room), no_throw);
        if (read_ec)
            co_return failure_of(read_ec);
        s.buffer.commit(bytes);
    }
}

// Whether the bytes are free. If not, `wait_for_room` goes first.
bool http_server::core::reserve(session& s, std::uint64_t bytes)
{
    const bool is_free = s.share.hold(bytes, std::chrono::steady_clock::now());
    held_bytes.set(static_cast<std::int64_t>(budget->held()));
    return is_free;
}

// Lets the requests that gave up end.
asio::awaitable<void> http_server::core::wait_for_room(session& s)
{
    for (unsigned i = 0; i < most_turns && !s.share.has_room(); ++i)
        co_await asio::post(executor, asio::use_awaitable);
}

http_server::http_server(
    asio::any_io_executor executor, http_limits limits,
    metric_registry& metrics, timed_handler handle)
    : core_(std::make_shared<core>(
          std::move(executor), limits, metrics, std::move(handle)))
{}

http_server::http_server(
    asio::any_io_executor executor, http_limits limits,
    metric_registry& metrics, handler handle)
    : http_server(
          std::move(executor), std::move(limits), metrics,
          [handle = std::move(handle)](http_request request, boot_time) {
              return handle(std::move(request));
          })
{}

http_server::~http_server()
{
    beast::error_code ignored;
    core_->acceptor.close(ignored);
}

endpoint http_server::listen(const endpoint& where)
{
    const tcp::endpoint local(
        asio::ip::make_address(where.address), where.port);
    core_->acceptor.open(local.protocol());
    core_->acceptor.set_option(asio::socket_base::reuse_address(true));
    core_->acceptor.bind(local);
    core_->acceptor.listen();
    asio::co_spawn(core_->executor, core_->accept_loop(), asio::detached);
    return {where.address, core_->acceptor.local_endpoint().port()};
}

void http_server::set_request_limits(const http_request_limits& limits)
{
    constexpr std::uint64_t least_bytes = 1024;
    constexpr std::chrono::milliseconds least_time(100);
    auto& own = core_->limits;
    const auto most_bytes = std::clamp<std::uint64_t>(
        own.buffered_bytes / own.request_copies, least_bytes,
        std::numeric_limits<std::uint32_t>::max());
    own.header_bytes = static_cast<std::uint32_t>(
        std::clamp(limits.header_bytes, least_bytes, most_bytes));
    own.body_bytes = std::clamp(limits.body_bytes, least_bytes, most_bytes);
    own.header = std::clamp(
        limits.header, least_time, std::max(own.transfer, least_time));
    own.idle = std::max(limits.idle, least_time);
}

void http_server::close_after_responses()
{
    core_->closing = true;
}

asio::awaitable<void> http_server::drain(std::chrono::milliseconds patience)
{
    const auto held = core_;
    const auto until = std::chrono::steady_clock::now() + patience;
    held->draining = true;
    held->closing = true;
    held->accept_waiting();
    beast::error_code ignored;
    held->acceptor.close(ignored);
    while (held->sessions.size() != 0 &&
           std::chrono::steady_clock::now() < until)
    {
        held->sessions.for_each([](const auto& s) {
            if (!s->busy)
                s->stream.cancel();
        });
        co_await pause_for(held->executor, drain_poll_interval);
    }
}

void http_server::set_refusal_observer(refusal_observer observer)
{
    core_->refusals.set_observer(std::move(observer));
}

const std::string& http_server::name() const
{
    return core_->limits.server;
}

std::size_t http_server::connections() const
{
    return core_->sessions.size();
}

} // namespace dandeliontack
