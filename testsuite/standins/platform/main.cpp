// Takes the platform's place in tests: the log service and the host list.
// GET /fault tells how many appends are held. Faults are set by POST
// /fault?mode=MODE[&ms=N][&stream=NAME&before=OFFSET]:
//   none           works
//   down           refuses every log call with 503
//   cut            closes log connections without an answer, nothing done
//   slow           answers log calls after `ms`
//   lose-answers   carries out appends but closes the connection
//   (list and commands work on)
//   trim           drops records of a stream below an offset, once

#include "host_store.hpp"
#include "log.pb.h"
#include "stream_store.hpp"
#include <dandeliontack/program.hpp>
#include <dandeliontack/record_codec.hpp>
#include <dandeliontack/settings.hpp>

#include <absl/flags/flag.h>
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <map>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Where to serve.");
ABSL_FLAG(
    absl::Duration, reboot_time, absl::Milliseconds(200),
    "How long a host is gone that was told to reboot.");
ABSL_FLAG(
    absl::Duration, list_lag, absl::ZeroDuration(),
    "How late the host list shows a change.");

namespace
{

using namespace dandeliontack;
using standins::stream_store;
namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t largest_read = 1024;
constexpr auto hold_check = std::chrono::milliseconds(2);

std::uint64_t number(std::string_view target, std::string_view name)
{
    const auto text = query_value(target, name);
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

http_response plain(http::status status, std::string text = {})
{
    return make_response(status, "text/plain", std::move(text));
}

// Throwing this makes the server close the connection without an answer.
struct no_answer : std::exception
{
};

class platform
{
public:
    platform(asio::any_io_executor executor, std::chrono::milliseconds lag)
        : executor_(executor),
          lag_(lag),
          operators_(executor),
          system_(executor),
          commands_(
              executor, hosts_,
              absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_reboot_time)))
    {}

    asio::awaitable<http_response> handle(http_request request)
    {
        const std::string target(request.target());
        const std::string path(target_path(target));
        if (path == "/streams/operators/records")
            co_return co_await log_call(operators_, std::move(request));
        if (path == "/streams/system/records")
            co_return co_await log_call(system_, std::move(request));
        if (path == "/hosts")
            co_return list_hosts(request);
        if (path == "/commands")
            co_return make_response(
                http::status::ok, "application/json",
                json::serialize(commands_.history()));
        if (path.starts_with("/hosts/") && path.ends_with("/commands"))
            co_return commands_.take(path, request.body());
        if (path.starts_with("/hosts/"))
            co_return change_host(path.substr(7), request);
        if (path == "/fault" && request.method() == http::verb::get)
            co_return plain(http::status::ok, std::to_string(held_));
        if (path == "/fault")
            co_return set_fault(target);
        co_return plain(http::status::not_found);
    }

    // The same service at an address of its own, which can be cut off.
    asio::awaitable<http_response> handle_second(http_request request)
    {
        if (second_cut_)
            throw no_answer();
        auto response = co_await handle(std::move(request));
        if (second_cut_)
            throw no_answer();
        co_return response;
    }

private:
    asio::awaitable<http_response>
    log_call(stream_store& stream, http_request request);
    asio::awaitable<http_response>
    read(stream_store& stream, std::string target);
    http_response append(stream_store& stream, const std::string& body);
    bool must_hold(const std::string& body) const;
    asio::awaitable<void> hold();
    http_response set_fault(const std::string& target);
    http_response list_hosts(const http_request& request) const;
    http_response
    change_host(const std::string& name, const http_request& request);

    asio::any_io_executor executor_;
    std::chrono::milliseconds lag_;
    stream_store operators_;
    stream_store system_;
    std::string mode_ = "none";
    std::chrono::milliseconds delay_{};
    bool second_cut_ = false;
    std::string held_writer_;
    unsigned held_ = 0;
    std::map<std::string, json::object> hosts_;
    standins::host_commands commands_;
};

asio::awaitable<http_response>
platform::log_call(stream_store& stream, http_request request)
{
    if (mode_ == "down")
        co_return plain(http::status::service_unavailable, "down\n");
    if (mode_ == "cut")
        throw no_answer();
    if (mode_ == "slow")
    {
        asio::steady_timer timer(executor_, delay_);
        co_await timer.async_wait(no_throw);
    }
    if (request.method() == http::verb::get)
        co_return co_await read(stream, std::string(request.target()));
    if (must_hold(request.body()))
        co_await hold();
    auto response = append(stream, request.body());
    if (mode_ == "lose-answers")
        throw no_answer();
    co_return response;
}

bool platform::must_hold(const std::string& body) const
{
    wire::log_append_request request;
    if (held_writer_.empty() || !request.ParseFromString(body))
        return false;
    return std::ranges::any_of(
        request.records(), [&](const std::string& record) {
            const auto origin =
                decode_record(log_stream::system, 0, record).origin;
            return origin.term != 0 && to_string(origin.writer) == held_writer_;
        });
}

asio::awaitable<void> platform::hold()
{
    ++held_;
    while (!held_writer_.empty())
    {
        asio::steady_timer timer(executor_, hold_check);
        co_await timer.async_wait(no_throw);
    }
    --held_;
}

asio::awaitable<http_response>
platform::read(stream_store& stream, std::string target)
{
    const auto from = number(target, "from");
    const auto until = std::chrono::steady_clock::now() +
                       std::chrono::milliseconds(number(target, "wait_ms"));
    co_await stream.wait_for(from, until);
    if (mode_ == "down")
        co_return plain(http::status::service_unavailable, "down\n");
    wire::log_read_reply reply;
    reply.set_oldest(stream.oldest());
    reply.set_first_offset(std::max(from, stream.oldest()));
    reply.set_end(stream.end());
    for (auto& record : stream.read(from, largest_read))
        reply.add_records(std::move(record));
    co_return make_response(
        http::status::ok, "application/x-protobuf", reply.SerializeAsString());
}

http_response platform::append(stream_store& stream, const std::string& body)
{
    wire::log_append_request request;
    if (!request.ParseFromString(body) || request.records().empty())
        return plain(http::status::bad_request, "not an append request\n");
    wire::log_append_reply reply;
    reply.set_first_offset(
        stream.append({request.records().begin(), request.records().end()}));
    return make_response(
        http::status::ok, "application/x-protobuf", reply.SerializeAsString());
}

http_response platform::set_fault(const std::string& target)
{
    const auto mode = query_value(target, "mode");
    if (mode == "trim")
    {
        auto& stream =
            query_value(target, "stream") == "operators" ? operators_ : system_;
        stream.trim(number(target, "before"));
        return plain(http::status::ok);
    }
    if (mode == "hold" || mode == "release")
    {
        held_writer_ = query_value(target, "writer");
        return plain(http::status::ok);
    }
    if (mode == "cut-second" || mode == "mend-second")
    {
        second_cut_ = mode == "cut-second";
        return plain(http::status::ok);
    }
    mode_ = mode;
    delay_ = std::chrono::milliseconds(number(target, "ms"));
    return plain(http::status::ok);
}

http_response platform::list_hosts(const http_request& request) const
{
    json::array hosts;
    for (const auto& [name, host] : hosts_)
        hosts.push_back(host);
    auto body = json::serialize(json::object{{"hosts", hosts}});
    const auto tag =
        "\"" + std::to_string(std::hash<std::string>()(body)) + "\"";
    const bool known = request[http::field::if_none_match] == tag;
    auto response =
        known ? plain(http::status::not_modified)
              : make_response(
                    http::status::ok, "application/json", std::move(body));
    response.set(http::field::etag, tag);
    return response;
}

// PUT sets a host from JSON, DELETE removes it; both show after the lag.
http_response
platform::change_host(const std::string& name, const http_request& request)
{
    std::function<void()> change = [this, name] { hosts_.erase(name); };
    if (request.method() == http::verb::put)
    {
        boost::system::error_code ec;
        auto host = json::parse(request.body(), ec);
        if (ec || !host.is_object())
            return plain(http::status::bad_request, "not a JSON object\n");
        host.as_object()["name"] = name;
        change = [this, name, host] { hosts_[name] = host.as_object(); };
    }
    auto timer = std::make_shared<asio::steady_timer>(executor_, lag_);
    timer->async_wait([timer, change](auto) { change(); });
    return plain(http::status::ok);
}

int run()
{
    asio::io_context context(1);
    metric_registry metrics;
    platform service(
        context.get_executor(),
        absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_list_lag)));
    http_limits limits;
    limits.body_bytes = 64 * 1024 * 1024;
    http_server server(
        context.get_executor(), limits, metrics, [&](http_request request) {
            return service.handle(std::move(request));
        });
    const auto where = parse_endpoint(absl::GetFlag(FLAGS_listen));
    announce("platform", server.listen(where.value()));
    http_server second(
        context.get_executor(), limits, metrics, [&](http_request request) {
            return service.handle_second(std::move(request));
        });
    announce("second", second.listen({where.value().address, 0}));
    asio::co_spawn(context, wait_for_stop_signal(), [&](std::exception_ptr) {
        context.stop();
    });
    context.run();
    return exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    parse_flags(argc, argv, "The platform's stand-in for tests.");
    return run_guarded(run);
}
