// Takes the place of the platform that nodes run on: the store, the list of
// machines, and hosts that run tasks. Beside the platform's calls:
//   POST /configuration          puts the body into force
//   POST /wave?name=NAME         requests a wave of upkeep, the body; upkeep
//   and
//                                moves are accepted and change nothing
//   POST /fault?mode=MODE        none, down (503) or lose-answers (appends)
//   POST /entry                  an entry among the hosts', as another writer
//                                leaves it: its key, a line break, its bytes
//   POST /refuse?prefix=KEY      refuses records with such keys for good
//   GET  /runs                   every run of every host
//   GET  /records?topic=&key=    how many records were written under a key
// and the advice service, which permits every host.

#include "keyed_store.hpp"
#include "task_host.hpp"
#include <dandeliontack/http_server.hpp>
#include <dandeliontack/pause.hpp>
#include <dandeliontack/program.hpp>

#include <absl/flags/flag.h>
#include <boost/asio.hpp>

#include <algorithm>
#include <memory>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Where to serve.");
ABSL_FLAG(
    std::vector<std::string>, pools, {"pool"}, "The pools that have hosts.");
ABSL_FLAG(std::uint32_t, hosts, 3, "How many hosts run in each pool.");
ABSL_FLAG(
    std::uint32_t, advice_ms, 200, "How long the advice service needs a call.");
ABSL_FLAG(
    std::size_t, items_per_page, 500, "How many newest records a page lists.");
ABSL_FLAG(
    std::size_t, ends_per_answer, 500, "How many ends a host lists at most.");

namespace
{

using namespace dandeliontack;
using standins::keyed_store;
using standins::task_host;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

constexpr auto poll_interval = 5ms;
constexpr auto beat_interval = 500ms;

// Throwing this makes the server close the connection without an answer.
struct no_answer : std::exception
{
};

std::chrono::milliseconds wait_of(const std::string& text)
{
    return std::chrono::milliseconds(text.empty() ? 0 : std::stol(text));
}

struct running_host
{
    running_host(
        asio::any_io_executor executor, metric_registry& metrics,
        const std::string& id, std::string of_pool)
        : pool(std::move(of_pool)),
          host(id, absl::GetFlag(FLAGS_ends_per_answer)),
          server(executor, {}, metrics, [this](http_request request) {
              return handle(std::move(request));
          })
    {
        address = to_string(server.listen({"127.0.0.1", 0}));
    }

    asio::awaitable<http_response> handle(http_request request)
    {
        const std::string target(request.target());
        if (request["Dandeliontack-Target-Instance"] != host.id())
            co_return make_response(
                http::status::misdirected_request, "text/plain", {});
        if (target == "/run-start")
            co_return host.start(request);
        if (target == "/run-stop")
            co_return host.stop(request);
        if (target != "/hold")
            co_return make_response(http::status::not_found, "text/plain", {});
        const auto body = json::parse(request.body()).as_object();
        const auto* wait = body.if_contains("waitMs");
        const auto until = std::chrono::steady_clock::now() +
                           std::chrono::milliseconds(
                               wait ? wait->to_number<std::int64_t>() : 0);
        const auto executor = co_await asio::this_coro::executor;
        while (!host.has_ends() && std::chrono::steady_clock::now() < until)
            co_await pause_for(executor, poll_interval);
        co_return host.hold(request);
    }

    std::string pool;
    task_host host;
    http_server server;
    std::string address;
};

class fleet
{
public:
    explicit fleet(asio::any_io_executor executor) : executor_(executor)
    {
        for (const auto& pool : absl::GetFlag(FLAGS_pools))
            for (std::uint32_t i = 0; i < absl::GetFlag(FLAGS_hosts); ++i)
                hosts_.push_back(std::make_unique<running_host>(
                    executor, metrics_, "i-" + std::to_string(hosts_.size()),
                    pool));
    }

    asio::awaitable<void> beat()
    {
        std::uint64_t sequence = 0;
        while (true)
        {
            ++sequence;
            for (const auto& item : hosts_)
                store_.put(
                    "keyed.servers", item->host.id(),
                    item->host.entry(item->pool, item->address, sequence));
            co_await pause_for(executor_, beat_interval);
        }
    }

    asio::awaitable<http_response> handle(http_request request)
    {
        const std::string target(request.target());
        const std::string path(target_path(target));
        if (path.starts_with("/log-") && fault_ == "down")
            co_return plain(http::status::service_unavailable);
        if (path == "/log-append")
        {
            auto response = store_.append(request);
            if (fault_ == "lose-answers")
                throw no_answer();
            co_return response;
        }
        if (path == "/log-newest")
            co_return store_.newest(request);
        if (path == "/log-read")
            co_return co_await read(std::move(request));
        if (path == "/advise")
            co_return co_await advise(std::move(request));
        if (path == "/machines")
            co_return machines();
        if (path == "/runs")
            co_return runs();
        if (path == "/records")
            co_return plain(
                http::status::ok,
                std::to_string(store_
                                   .history(
                                       query_value(target, "topic"),
                                       query_value(target, "key"))
                                   .size()));
        if (path == "/machine-upkeep" || path == "/machine-move")
            co_return make_response(http::status::ok, "application/json", "{}");
        if (path == "/configuration")
            store_.put("keyed.op", "config", request.body());
        else if (path == "/wave")
            store_.put(
                "keyed.op", "wave/" + query_value(target, "name"),
                request.body());
        else if (path == "/entry")
            store_.put(
                "keyed.servers",
                request.body().substr(0, request.body().find('\n')),
                request.body().substr(request.body().find('\n') + 1));
        else if (path == "/refuse")
            store_.refuse_keys(query_value(target, "prefix"));
        else if (path == "/fault")
            fault_ = query_value(target, "mode");
        else
            co_return plain(http::status::not_found);
        co_return plain(http::status::ok);
    }

private:
    static http_response plain(http::status status, std::string text = {})
    {
        return make_response(status, "text/plain", std::move(text));
    }

    asio::awaitable<http_response> read(http_request request)
    {
        const auto wait =
            wait_of(query_value(std::string(request.target()), "waitMs"));
        const auto until = std::chrono::steady_clock::now() + wait;
        auto found = store_.read(request);
        while (!found && std::chrono::steady_clock::now() < until)
        {
            co_await pause_for(executor_, poll_interval);
            found = store_.read(request);
        }
        if (found)
            co_return std::move(*found);
        std::string target(request.target());
        target.erase(target.find("&waitMs="));
        request.target(target);
        co_return *store_.read(request);
    }

    // Handles one call at a time, also those whose caller has left.
    asio::awaitable<http_response> advise(http_request request)
    {
        constexpr std::size_t longest_queue = 32;
        if (advice_waiting_ >= longest_queue)
            co_return plain(http::status::too_many_requests);
        ++advice_waiting_;
        const auto now = std::chrono::steady_clock::now();
        advice_free_at_ =
            std::max(advice_free_at_, now) +
            std::chrono::milliseconds(absl::GetFlag(FLAGS_advice_ms));
        const auto until = advice_free_at_;
        while (std::chrono::steady_clock::now() < until)
            co_await pause_for(executor_, poll_interval);
        --advice_waiting_;
        json::array granted;
        const auto body = json::parse(request.body());
        for (const auto& host : body.at("workers").as_array())
            granted.push_back(json::array{host, "ticket"});
        json::object answer{{"granted", std::move(granted)}, {"validMs", 3000}};
        co_return make_response(
            http::status::ok, "application/json", json::serialize(answer));
    }

    http_response machines() const
    {
        json::array list;
        for (const auto& item : hosts_)
            list.push_back(
                {{"machine", "m-" + item->host.id()},
                 {"pool", item->pool},
                 {"state", "up"},
                 {"zone", "dc-1"},
                 {"labels", json::array{"a", "r1"}},
                 {"capacity", {{"cpu", 8000}, {"memMb", 8000}}},
                 {"id", item->host.id()}});
        return make_response(
            http::status::ok, "application/json",
            json::serialize(json::object{
                {"machines", std::move(list)}, {"nextToken", nullptr}}));
    }

    http_response runs() const
    {
        json::array all;
        for (const auto& item : hosts_)
        {
            item->host.advance();
            for (auto row : item->host.history())
            {
                row.as_object()["pool"] = item->pool;
                all.push_back(std::move(row));
            }
        }
        return make_response(
            http::status::ok, "application/json",
            json::serialize(json::object{{"runs", std::move(all)}}));
    }

    asio::any_io_executor executor_;
    metric_registry metrics_;
    keyed_store store_{absl::GetFlag(FLAGS_items_per_page)};
    std::vector<std::unique_ptr<running_host>> hosts_;
    std::string fault_ = "none";
    std::size_t advice_waiting_ = 0;
    std::chrono::steady_clock::time_point advice_free_at_;
};

int run()
{
    asio::io_context context(1);
    metric_registry metrics;
    fleet world(context.get_executor());
    http_server server(
        context.get_executor(), {}, metrics,
        [&](http_request request) { return world.handle(std::move(request)); });
    const auto where = parse_endpoint(absl::GetFlag(FLAGS_listen));
    if (!where)
        return exit_bad_input;
    announce("platform", server.listen(*where));
    asio::co_spawn(context, world.beat(), asio::detached);
    asio::co_spawn(context, wait_for_stop_signal(), [&](std::exception_ptr) {
        context.stop();
    });
    context.run();
    return exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    parse_flags(argc, argv, "Takes the platform's place in tests of nodes.");
    return run_guarded(run);
}
