// What the request path adds to a direct connection, on loopback: an upstream,
// an entry process's service and the callers each have a thread.

#include <dandeliontack/entry_service.hpp>
#include <dandeliontack/http_connection.hpp>
#include <dandeliontack/http_server.hpp>

#include <benchmark/benchmark.h>
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <thread>
#include <vector>

namespace
{

using namespace dandeliontack;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using clock_type = std::chrono::steady_clock;

constexpr auto timeout = std::chrono::seconds(10);
constexpr unsigned requests_each = 2000;

// A server on a thread of its own.
class threaded_server
{
public:
    void start(http_server::handler handle)
    {
        server_ = std::make_unique<http_server>(
            context.get_executor(), http_limits{}, metrics, std::move(handle));
        where = server_->listen({});
        thread_ = std::thread([this] { context.run(); });
    }
    ~threaded_server()
    {
        context.stop();
        if (thread_.joinable())
            thread_.join();
    }

    metric_registry metrics;
    asio::io_context context{1};
    endpoint where;

private:
    std::unique_ptr<http_server> server_;
    std::thread thread_;
};

asio::awaitable<http_response> echo_id(http_request request)
{
    auto response = make_response(http::status::ok, "text/plain", "ok\n");
    response.set(request_id_header, request[request_id_header]);
    co_return response;
}

struct path
{
    path() : service(entry.context.get_executor(), {}, entry.metrics)
    {
        worker.start(echo_id);
        routing_table table;
        route to;
        to.service.key = {"bench", 1};
        to.upstreams = {{"w", worker.where, "dc", 64, 64}};
        table.routes.emplace(to.service.key, to);
        service.set_table(std::move(table));
        entry.start([this](http_request request) {
            return service.handle(std::move(request));
        });
    }

    threaded_server worker;
    threaded_server entry;
    entry_service service;
};

struct figures
{
    std::vector<double> latency_ms;
    double per_second = 0;
};

asio::awaitable<void> run_caller(endpoint to, std::string target, figures& out)
{
    http_connection connection(co_await asio::this_coro::executor, to);
    for (unsigned i = 0; i < requests_each; ++i)
    {
        http_request request{http::verb::get, target, 11};
        request.set(http::field::host, "bench");
        const auto begin = clock_type::now();
        const auto result =
            co_await connection.exchange(std::move(request), timeout);
        if (std::get_if<http_response>(&result) == nullptr)
            throw std::runtime_error("no response");
        out.latency_ms.push_back(
            std::chrono::duration<double, std::milli>(clock_type::now() - begin)
                .count());
    }
}

figures measure(const endpoint& to, const std::string& target, unsigned callers)
{
    asio::io_context context(1);
    figures out;
    for (unsigned i = 0; i < callers; ++i)
        asio::co_spawn(
            context, run_caller(to, target, out), [](std::exception_ptr e) {
                if (e)
                    std::rethrow_exception(e);
            });
    const auto begin = clock_type::now();
    context.run();
    const std::chrono::duration<double> took = clock_type::now() - begin;
    out.per_second = static_cast<double>(out.latency_ms.size()) / took.count();
    std::ranges::sort(out.latency_ms);
    return out;
}

double quantile(const figures& f, double q)
{
    const auto last = static_cast<double>(f.latency_ms.size() - 1);
    return f.latency_ms[static_cast<std::size_t>(q * last)];
}

void request_path(benchmark::State& state)
{
    const auto callers = static_cast<unsigned>(state.range(0));
    path through;
    figures direct;
    figures forwarded;
    for (auto _ : state)
    {
        direct = measure(through.worker.where, "/x", callers);
        forwarded = measure(through.entry.where, "/services/bench/x", callers);
    }
    state.counters["added_median_ms"] =
        quantile(forwarded, 0.5) - quantile(direct, 0.5);
    state.counters["added_p99_ms"] =
        quantile(forwarded, 0.99) - quantile(direct, 0.99);
    state.counters["throughput_ratio"] =
        forwarded.per_second / direct.per_second;
    state.counters["direct_per_s"] = direct.per_second;
}
BENCHMARK(request_path)->Arg(1)->Arg(4)->Arg(32)->Iterations(1);

} // namespace
