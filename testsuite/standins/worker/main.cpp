// Takes an upstream's place in tests. Answers every request with its own
// name, the target and the body, and keeps a history: GET /history returns a
// line for each start of a run, `REQUEST-ID METHOD TARGET BODY`, and
// GET /stats the most runs at once. POST /fault?mode=MODE&seed=N&ms=N sets
// what goes wrong (fault.hpp).

#include "fault.hpp"
#include <dandeliontack/program.hpp>

#include <absl/flags/flag.h>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

ABSL_FLAG(std::string, name, "worker", "The host's name.");
ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Where to serve.");
ABSL_FLAG(
    absl::Duration, service_time, absl::ZeroDuration(),
    "How long a request takes.");
ABSL_FLAG(
    std::string, history_file, "",
    "A file that each line of the history is appended to.");

namespace
{

using namespace dandeliontack;
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr const char* request_id_header = "tack-request-id";
constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);

class worker
{
public:
    worker(
        std::string name, std::chrono::milliseconds service_time,
        const std::string& history_file)
        : name_(std::move(name)), service_time_(service_time)
    {
        if (!history_file.empty())
            file_.open(history_file, std::ios::app);
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        beast::flat_buffer buffer;
        for (bool open = true; open;)
        {
            http_request request;
            auto [ec, bytes] =
                co_await http::async_read(socket, buffer, request, no_throw);
            if (ec)
                co_return;
            open = co_await answer(socket, std::move(request));
        }
    }

private:
    // Whether the connection can carry another request.
    asio::awaitable<bool> answer(tcp::socket& socket, http_request request)
    {
        const std::string target(request.target());
        if (target == "/history" || target == "/stats" ||
            target_path(target) == "/fault")
        {
            const auto text = text_of(administer(target), "");
            co_return co_await send(socket, text);
        }
        const auto fault = plan_.next();
        if (fault == fault_mode::error)
        {
            const auto text = text_of(
                make_response(
                    http::status::internal_server_error, "text/plain", "no\n"),
                std::string(request[request_id_header]));
            co_return co_await send(socket, text);
        }
        const auto text = co_await run(request, fault);
        const auto previous = std::exchange(previous_, text);
        switch (fault)
        {
        case fault_mode::truncate:
            co_await send(socket, text.substr(0, text.size() / 2));
            co_return false;
        case fault_mode::twice:
            co_return co_await send(socket, text + text);
        case fault_mode::cross:
            co_return co_await send(socket, previous.empty() ? text : previous);
        case fault_mode::reset:
            socket.set_option(asio::socket_base::linger(true, 0));
            co_return false;
        case fault_mode::no_length:
            co_await send(socket, without_length(text));
            co_return false;
        default:
            co_return co_await send(socket, text);
        }
    }

    asio::awaitable<std::string>
    run(const http_request& request, fault_mode fault)
    {
        const std::string id(request[request_id_header]);
        const std::string target(request.target());
        record(
            id + " " + std::string(request.method_string()) + " " + target +
            " " + request.body() + "\n");
        most_running_ = std::max(most_running_, ++running_);
        asio::steady_timer timer(
            co_await asio::this_coro::executor,
            service_time_ + (fault == fault_mode::late ? delay_ : no_delay));
        co_await timer.async_wait(no_throw);
        --running_;
        auto response = make_response(
            http::status::ok, "text/plain",
            name_ + " " + target + " " + request.body());
        if (fault == fault_mode::leaving)
            response.set("tack-leaving", "yes");
        co_return text_of(std::move(response), id);
    }

    http_response administer(const std::string& target)
    {
        if (target == "/history")
            return make_response(http::status::ok, "text/plain", history_);
        if (target == "/stats")
            return make_response(
                http::status::ok, "text/plain", std::to_string(most_running_));
        const auto number = [&](const char* name) -> std::uint64_t {
            const auto text = query_value(target, name);
            return text.empty() ? 0 : std::stoull(text);
        };
        plan_.set(
            parse_fault_mode(query_value(target, "mode")), number("seed"));
        delay_ = std::chrono::milliseconds(number("ms"));
        return make_response(http::status::ok, "text/plain", "");
    }

    void record(const std::string& line)
    {
        history_ += line;
        if (file_.is_open())
            file_ << line << std::flush;
    }

    static std::string text_of(http_response response, const std::string& id)
    {
        response.set(request_id_header, id);
        std::ostringstream out;
        out << response;
        return out.str();
    }

    static std::string without_length(std::string text)
    {
        const auto at = text.find("Content-Length");
        return text.erase(at, text.find('\n', at) + 1 - at);
    }

    static asio::awaitable<bool>
    send(tcp::socket& socket, const std::string& text)
    {
        auto [ec, bytes] =
            co_await asio::async_write(socket, asio::buffer(text), no_throw);
        co_return !ec;
    }

    static constexpr auto no_delay = std::chrono::milliseconds(0);

    std::string name_;
    std::chrono::milliseconds service_time_;
    std::chrono::milliseconds delay_{};
    std::ofstream file_;
    std::string history_;
    std::string previous_;
    fault_plan plan_;
    unsigned running_ = 0;
    unsigned most_running_ = 0;
};

asio::awaitable<void> accept_loop(tcp::acceptor& acceptor, worker& upstream)
{
    for (;;)
    {
        auto socket = co_await acceptor.async_accept(asio::use_awaitable);
        socket.set_option(tcp::no_delay(true));
        asio::co_spawn(
            acceptor.get_executor(), upstream.serve(std::move(socket)),
            asio::detached);
    }
}

int run()
{
    asio::io_context context(1);
    worker upstream(
        absl::GetFlag(FLAGS_name),
        absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_service_time)),
        absl::GetFlag(FLAGS_history_file));
    const auto where = parse_endpoint(absl::GetFlag(FLAGS_listen)).value();
    tcp::acceptor acceptor(
        context, {asio::ip::make_address(where.address), where.port});
    announce("worker", {where.address, acceptor.local_endpoint().port()});
    asio::co_spawn(context, accept_loop(acceptor, upstream), asio::detached);
    asio::co_spawn(context, wait_for_stop_signal(), [&](std::exception_ptr) {
        context.stop();
    });
    context.run();
    return exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    parse_flags(argc, argv, "An upstream's stand-in for tests.");
    return run_guarded(run);
}
