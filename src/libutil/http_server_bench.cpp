// Ordinary requests on one connection that stays open, on loopback.

#include <dandeliontack/http_connection.hpp>
#include <dandeliontack/http_server.hpp>

#include <benchmark/benchmark.h>
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>

#include <thread>

namespace
{

using namespace dandeliontack;
namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto timeout = std::chrono::seconds(10);
constexpr unsigned requests_each = 2000;

struct running_server
{
    running_server()
        : server(
              context.get_executor(), http_limits{}, metrics,
              [](http_request) -> asio::awaitable<http_response> {
                  co_return make_response(
                      http::status::ok, "text/plain", "ok\n");
              }),
          where(server.listen({"127.0.0.1", 0})),
          thread([this] { context.run(); })
    {}

    ~running_server()
    {
        context.stop();
        thread.join();
    }

    metric_registry metrics;
    asio::io_context context{1};
    http_server server;
    endpoint where;
    std::thread thread;
};

asio::awaitable<void>
send_requests(http_connection& connection, std::size_t body_bytes)
{
    for (unsigned i = 0; i < requests_each; ++i)
    {
        http_request request(http::verb::post, "/checks/1", 11);
        request.set(http::field::host, "reg.example");
        request.body().assign(body_bytes, 'x');
        request.prepare_payload();
        const auto result =
            co_await connection.exchange(std::move(request), timeout);
        if (!std::holds_alternative<http_response>(result))
            throw std::runtime_error("a request was not answered");
    }
}

void ordinary_requests(benchmark::State& state)
{
    running_server server;
    asio::io_context context(1);
    http_connection connection(context.get_executor(), server.where);
    for (auto _ : state)
    {
        std::exception_ptr failure;
        asio::co_spawn(
            context,
            send_requests(connection, static_cast<std::size_t>(state.range(0))),
            [&](std::exception_ptr error) { failure = std::move(error); });
        context.run();
        context.restart();
        if (failure)
            std::rethrow_exception(failure);
    }
    state.SetItemsProcessed(
        static_cast<std::int64_t>(state.iterations()) * requests_each);
}
BENCHMARK(ordinary_requests)
    ->ArgName("body_bytes")
    ->Arg(1000)
    ->Arg(100'000)
    ->UseRealTime()
    ->Unit(benchmark::kMillisecond);

} // namespace
