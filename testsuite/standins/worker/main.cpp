// Takes an upstream's place in tests. Answers every request with its own
// name, the target and the body, and keeps a history: GET /history returns a
// line for each request, `REQUEST-ID METHOD TARGET BODY`.

#include <dandeliontack/program.hpp>

#include <absl/flags/flag.h>
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>

ABSL_FLAG(std::string, name, "worker", "The host's name.");
ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Where to serve.");
ABSL_FLAG(
    absl::Duration, service_time, absl::ZeroDuration(),
    "How long a request takes.");

namespace
{

using namespace dandeliontack;
namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr const char* request_id_header = "tack-request-id";

class worker
{
public:
    worker(std::string name, std::chrono::milliseconds service_time)
        : name_(std::move(name)), service_time_(service_time)
    {}

    asio::awaitable<http_response> handle(http_request request)
    {
        if (request.target() == "/history")
            co_return make_response(http::status::ok, "text/plain", history_);
        const std::string id(request[request_id_header]);
        const std::string target(request.target());
        history_ += id + " " + std::string(request.method_string()) + " " +
                    target + " " + request.body() + "\n";
        if (service_time_.count() != 0)
        {
            asio::steady_timer timer(
                co_await asio::this_coro::executor, service_time_);
            co_await timer.async_wait(asio::use_awaitable);
        }
        auto response = make_response(
            http::status::ok, "text/plain",
            name_ + " " + target + " " + request.body());
        response.set(request_id_header, id);
        co_return response;
    }

private:
    std::string name_;
    std::chrono::milliseconds service_time_;
    std::string history_;
};

int run()
{
    asio::io_context context(1);
    metric_registry metrics;
    worker upstream(
        absl::GetFlag(FLAGS_name),
        absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_service_time)));
    http_server server(
        context.get_executor(), {}, metrics, [&](http_request request) {
            return upstream.handle(std::move(request));
        });
    const auto where = parse_endpoint(absl::GetFlag(FLAGS_listen));
    announce("worker", server.listen(where.value()));
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
