#include "load.hpp"

#include <dandeliontack/http_connection.hpp>

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <optional>
#include <random>

namespace dandeliontack::harness
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);
constexpr auto call_grace = std::chrono::seconds(5);
constexpr auto pause_without_entry = std::chrono::milliseconds(5);
constexpr const char* ticket_header = "tack-ticket";

copy_end end_of(const exchange_result& result)
{
    if (const auto* error = std::get_if<exchange_error>(&result))
        return error->result == outcome::not_run ? copy_end::unreached
                                                 : copy_end::cut;
    const auto& response = std::get<http_response>(result);
    if (response[http::field::content_type] != "application/problem+json")
        return response.result() == http::status::ok ? copy_end::answered
                                                     : copy_end::failed;
    const bool not_run =
        response.body().find("\"outcome\":\"not-run\"") != std::string::npos;
    return not_run ? copy_end::not_run : copy_end::unknown;
}

} // namespace

void balancer::add(const endpoint& where)
{
    const std::scoped_lock lock(mutex_);
    ready_.push_back(where);
}

void balancer::remove(const endpoint& where)
{
    const std::scoped_lock lock(mutex_);
    std::erase(ready_, where);
}

std::vector<endpoint> balancer::ready() const
{
    const std::scoped_lock lock(mutex_);
    return ready_;
}

struct load::core
{
    core(const balancer& b, load_options o) : entries(b), options(std::move(o))
    {}

    asio::awaitable<void> run_caller(unsigned number);
    asio::awaitable<void> read(std::mt19937_64& random, std::string token);
    asio::awaitable<void> write(std::mt19937_64& random, std::string token);
    asio::awaitable<std::optional<std::string>>
    take_ticket(std::mt19937_64& random);
    asio::awaitable<void>
    send(endpoint to, http_request request, bool idempotent);
    asio::awaitable<exchange_result>
    exchange(endpoint to, http_request request);
    asio::awaitable<endpoint> choose(std::mt19937_64& random);
    http_request make(http::verb method, const std::string& token) const;

    const balancer& entries;
    load_options options;
    asio::io_context context{1};
    std::multimap<endpoint, std::unique_ptr<http_connection>> idle;
    std::vector<caller_record> records;
    std::atomic<std::size_t> ended{0};
    std::atomic<bool> stopping{false};
};

asio::awaitable<void> load::core::run_caller(unsigned number)
{
    std::mt19937_64 random(options.seed * 1000 + number);
    for (unsigned i = 0; i < options.requests && !stopping; ++i)
    {
        const auto token =
            options.name + std::to_string(number) + "-" + std::to_string(i);
        if (random() % 2 == 0)
            co_await read(random, token);
        else
            co_await write(random, token);
        ++ended;
    }
}

asio::awaitable<endpoint> load::core::choose(std::mt19937_64& random)
{
    for (;;)
    {
        const auto ready = entries.ready();
        if (!ready.empty())
            co_return ready[random() % ready.size()];
        asio::steady_timer pause(context, pause_without_entry);
        co_await pause.async_wait(no_throw);
    }
}

http_request load::core::make(http::verb method, const std::string& token) const
{
    http_request request{method, "/services/citations/r/" + token, 11};
    request.set(http::field::host, "test");
    request.set("tack-deadline-ms", std::to_string(options.deadline.count()));
    request.set("tack-class", options.rank);
    return request;
}

asio::awaitable<void>
load::core::read(std::mt19937_64& random, std::string token)
{
    const auto to = co_await choose(random);
    co_await send(to, make(http::verb::get, token), true);
}

asio::awaitable<void>
load::core::write(std::mt19937_64& random, std::string token)
{
    const auto ticket = co_await take_ticket(random);
    if (!ticket)
        co_return;
    auto request = make(http::verb::post, token);
    request.set(ticket_header, *ticket);
    request.body() = token;
    const auto copies = 1 + random() % options.copies;
    const bool together = random() % 2 == 0;
    unsigned under_way = 0;
    asio::steady_timer all_ended(
        context, asio::steady_timer::time_point::max());
    for (unsigned i = 0; i < copies; ++i)
    {
        const auto to = co_await choose(random);
        if (!together)
        {
            co_await send(to, request, false);
            continue;
        }
        ++under_way;
        asio::co_spawn(
            context, send(to, request, false), [&](std::exception_ptr) {
                if (--under_way == 0)
                    all_ended.cancel();
            });
    }
    if (under_way != 0)
        co_await all_ended.async_wait(no_throw);
}

// Nothing where the call brought none: then nothing was asked for yet.
asio::awaitable<std::optional<std::string>>
load::core::take_ticket(std::mt19937_64& random)
{
    const auto to = co_await choose(random);
    http_request request{http::verb::post, "/tickets", 11};
    request.set(http::field::host, "test");
    const auto result = co_await exchange(to, std::move(request));
    const auto* response = std::get_if<http_response>(&result);
    if (!response || response->result() != http::status::created)
        co_return std::nullopt;
    co_return std::string((*response)[ticket_header]);
}

asio::awaitable<void>
load::core::send(endpoint to, http_request request, bool idempotent)
{
    const std::string target(request.target());
    const auto result = co_await exchange(to, std::move(request));
    caller_record r{
        target.substr(target.rfind('/') + 1), idempotent, end_of(result), {}};
    if (const auto* response = std::get_if<http_response>(&result))
        r.body = response->body();
    records.push_back(std::move(r));
}

asio::awaitable<exchange_result>
load::core::exchange(endpoint to, http_request request)
{
    std::unique_ptr<http_connection> connection;
    const auto found = idle.find(to);
    if (found == idle.end())
        connection =
            std::make_unique<http_connection>(context.get_executor(), to);
    else
    {
        connection = std::move(found->second);
        idle.erase(found);
    }
    request.prepare_payload();
    auto result = co_await connection->exchange(
        std::move(request), options.deadline + call_grace);
    if (connection->reusable())
        idle.emplace(to, std::move(connection));
    co_return result;
}

load::load(const balancer& entries, load_options options)
    : core_(std::make_unique<core>(entries, std::move(options)))
{
    for (unsigned i = 0; i < core_->options.callers; ++i)
        asio::co_spawn(core_->context, core_->run_caller(i), asio::detached);
    thread_ = std::thread([this] { core_->context.run(); });
}

load::~load()
{
    core_->context.stop();
    if (thread_.joinable())
        thread_.join();
}

std::size_t load::ended() const
{
    return core_->ended;
}

void load::stop()
{
    core_->stopping = true;
}

std::vector<caller_record> load::finish()
{
    thread_.join();
    return core_->records;
}

} // namespace dandeliontack::harness
