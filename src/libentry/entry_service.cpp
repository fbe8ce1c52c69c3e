#include <dandeliontack/entry_service.hpp>
#include <dandeliontack/refusal.hpp>

#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <sstream>
#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace
{

/// How long a copy waits for its ticket's issuer without a deadline.
constexpr auto default_patience = std::chrono::seconds(30);

std::string_view view_of(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

std::string_view result_name(const served& result)
{
    switch (result.end)
    {
    case run_end::answered:
        return result.response.result_int() < 500 ? "answered" : "failed";
    case run_end::not_run:
        return "not-run";
    case run_end::unknown:
        break;
    }
    return "unknown";
}

// Counts what became of a request that had a route, for reports on service
// levels.
void count_result(
    metric_registry& metrics, const service_config& service,
    const served& result)
{
    std::ostringstream name;
    name << "tack_service_requests_total{service=\"" << service.key.name
         << "\",version=\"" << service.key.schema_version << "\",pool=\""
         << service.pool << "\",result=\"" << result_name(result) << "\"}";
    metrics.get_counter(name.str()).add();
}

} // namespace

entry_service::entry_service(
    asio::any_io_executor executor, const entry_settings& settings,
    metric_registry& metrics)
    : settings_(settings),
      metrics_(metrics),
      requests_(metrics.get_counter("tack_requests_total")),
      request_times_(metrics.get_summary("tack_request_seconds")),
      out_("entry.service"),
      responses_(
          std::make_shared<buffer_budget>(buffered_bytes_of(settings.limits))),
      upstreams_(
          executor,
          {settings.upstreams.entry_processes, settings.upstreams.entry_index,
           settings.upstreams.body_bytes, responses_}),
      admission_(
          executor, upstreams_, settings.upstreams.queue,
          [this](const service_key& key) -> const std::vector<upstream>& {
              return upstreams_of(key);
          }),
      tickets_(executor, settings, metrics, responses_),
      request_prefix_(to_string(make_incarnation()) + "-")
{}

void entry_service::set_address(endpoint address)
{
    tickets_.set_address(std::move(address));
}

void entry_service::prepare_stop()
{
    tickets_.stop_issuing();
}

const std::vector<upstream>&
entry_service::upstreams_of(const service_key& key) const
{
    static const std::vector<upstream> none;
    const auto found = table_.routes.find(key);
    return found == table_.routes.end() ? none : found->second.upstreams;
}

void entry_service::set_table(routing_table table)
{
    const applied_position position{table.system_end, table.operators_end};
    if (has_table_ && position < applied_)
    {
        metrics_.get_counter("tack_routing_older_ignored_total").add();
        return;
    }
    table_ = std::move(table);
    has_table_ = true;
    advance_to(position);
    admission_.dispatch();
    out_.info("Routes by offset ", table_.system_end, ".");
}

void entry_service::set_confirmed(
    std::chrono::steady_clock::time_point when, const applied_position& applied)
{
    confirmed_ = when;
    if (has_table_)
        advance_to(applied);
}

void entry_service::advance_to(const applied_position& position)
{
    applied_ = std::max(applied_, position);
    metrics_.get_gauge("tack_routing_system_end")
        .set(static_cast<std::int64_t>(applied_.system_end));
}

http_response entry_service::not_run(
    http::status status, std::string_view title, std::string_view detail)
{
    return refuse(metrics_, status, outcome::not_run, title, detail);
}

http_response entry_service::too_old()
{
    auto response = not_run(
        http::status::service_unavailable, "state too old",
        "this process has not applied the offset that tack-offset asks for");
    response.set(http::field::retry_after, "1");
    return response;
}

asio::awaitable<http_response> entry_service::handle(http_request request)
{
    requests_.add();
    const std::string forward_id(request[forward_id_header]);
    auto response = co_await answer(std::move(request));
    if (!forward_id.empty())
        response.set(forward_id_header, forward_id);
    co_return response;
}

asio::awaitable<http_response> entry_service::answer(http_request request)
{
    if (request.target() == "/tickets" && request.method() == http::verb::post)
        co_return tickets_.issue();
    const auto target = parse_target(view_of(request.target()));
    if (!target)
        co_return not_run(
            http::status::not_found, "no service named",
            "the target must be /services/NAME/PATH");
    const char* bad_field = nullptr;
    const auto options = parse_options(request, bad_field);
    if (!options)
        co_return not_run(
            http::status::bad_request, "bad field",
            std::string(bad_field) + " can't be read");
    const auto serve_it = [this, &target, &options](http_request copy) {
        call c{
            {target->service, options->schema_version},
            *options,
            std::move(copy),
            std::chrono::steady_clock::now(),
            {}};
        c.request.target(target->path);
        c.request.erase(forward_id_header);
        return serve(std::move(c));
    };
    if (!options->idempotent)
        co_return co_await tickets_.handle(
            std::move(request), options->deadline.value_or(default_patience),
            serve_it);
    auto result = co_await serve_it(std::move(request));
    co_return std::move(result.response);
}

bool entry_service::is_stale(const route& to) const
{
    return to.when_stale == stale_policy::refuse &&
           std::chrono::steady_clock::now() - confirmed_ > to.staleness_bound;
}

asio::awaitable<served> entry_service::serve(call c)
{
    if (!has_table_)
        co_return served{
            not_run(
                http::status::service_unavailable, "no routing state",
                "this process has not got its state yet"),
            run_end::not_run};
    if (applied_.system_end < c.options.least_offset)
        co_return served{too_old(), run_end::not_run};
    const auto found = table_.routes.find(c.service);
    if (found == table_.routes.end())
        co_return served{
            not_run(
                http::status::not_found, "unknown service",
                "no service of that name and schema version is in force"),
            run_end::not_run};
    if (is_stale(found->second))
        co_return served{
            not_run(
                http::status::service_unavailable, "state not confirmed",
                "the configuration could not be confirmed to be current for "
                "longer than the pool's staleness_bound"),
            run_end::not_run};
    // The table may change while the request is under way.
    const auto service = found->second.service;
    c.deadline = c.started + c.options.deadline.value_or(service.deadline);
    auto result = co_await serve_routed(std::move(c));
    count_result(metrics_, service, result);
    co_return result;
}

asio::awaitable<served> entry_service::serve_routed(call c)
{
    const auto offset = applied_.system_end;
    strip_connection_fields(c.request);
    retries_.count_request();
    auto last = co_await try_once(c);
    bool may_have_run = last.end == run_end::unknown;
    for (std::uint64_t i = 0;
         i < settings_.upstreams.retries && may_retry(c, last); ++i)
    {
        last = co_await try_once(c);
        may_have_run = may_have_run || last.end == run_end::unknown;
    }
    request_times_.record(std::chrono::steady_clock::now() - c.started);
    if (last.end == run_end::not_run && may_have_run)
        co_return served{
            refuse(
                metrics_, http::status::bad_gateway, outcome::unknown,
                "no whole answer", "an attempt was not answered"),
            run_end::unknown};
    last.response.set(offset_header, std::to_string(offset));
    co_return served{std::move(last.response), last.end};
}

bool entry_service::may_retry(const call& c, const attempt& last)
{
    const bool certain = last.end == run_end::not_run || c.options.idempotent;
    if (!last.worth_retry || !certain ||
        std::chrono::steady_clock::now() >= c.deadline ||
        !retries_.take_retry())
        return false;
    metrics_.get_counter("tack_retries_total").add();
    return true;
}

asio::awaitable<entry_service::attempt> entry_service::try_once(call& c)
{
    auto admitted =
        co_await admission_.admit(c.service, c.options.rank, c.deadline);
    if (const auto* why = std::get_if<admission_refusal>(&admitted))
        co_return refused(*why);
    co_return co_await send(
        c, std::get<upstream_pool::lease>(std::move(admitted)));
}

entry_service::attempt entry_service::refused(admission_refusal why)
{
    auto response = not_run(
        http::status::service_unavailable, "no free upstream",
        why == admission_refusal::queue_full
            ? "as many requests of its class wait as may"
            : "no upstream becomes free before the deadline");
    response.set(http::field::retry_after, "1");
    return {std::move(response), run_end::not_run, false};
}

asio::awaitable<entry_service::attempt>
entry_service::send(call& c, upstream_pool::lease lease)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        c.deadline - std::chrono::steady_clock::now());
    if (left.count() <= 0)
        co_return refused(admission_refusal::too_late);
    const auto id = request_prefix_ + std::to_string(++last_request_);
    auto& request = c.request;
    request.set(http::field::host, to_string(lease.target().address));
    request.set(request_id_header, id);
    request.set(deadline_header, std::to_string(left.count()));
    request.prepare_payload();
    auto result = co_await lease.connection().exchange_in_place(request, left);
    co_return judge(std::move(result), id, lease);
}

entry_service::attempt entry_service::judge(
    exchange_result result, const std::string& id, upstream_pool::lease& lease)
{
    if (const auto* error = std::get_if<exchange_error>(&result))
    {
        lease.report(false);
        return {
            refuse(
                metrics_, http::status::bad_gateway, error->result,
                "no whole answer", error->reason),
            error->result == outcome::not_run ? run_end::not_run
                                              : run_end::unknown,
            true};
    }
    auto& response = std::get<http_response>(result);
    if (response[request_id_header] != id)
    {
        lease.connection().close();
        lease.report(false);
        metrics_.get_counter("tack_answers_mismatched_total").add();
        return {
            refuse(
                metrics_, http::status::bad_gateway, outcome::unknown,
                "answer out of turn", "the upstream answered another request"),
            run_end::unknown, true};
    }
    const bool failed = http::to_status_class(response.result()) ==
                        http::status_class::server_error;
    lease.report(!failed);
    if (response[leaving_header] == "yes")
        lease.report_leaving();
    if (response[outcome_header] == "not-run")
        return {
            not_run(
                http::status::service_unavailable, "upstream refused",
                "the upstream did not run the request"),
            run_end::not_run, true};
    strip_connection_fields(response);
    response.prepare_payload();
    return {std::move(response), run_end::answered, false};
}

http_response entry_status(const entry_service& service)
{
    json::array routes;
    for (const auto& [key, route] : service.table().routes)
    {
        json::array upstreams;
        for (const auto& target : route.upstreams)
            upstreams.push_back(json::value(target.host));
        routes.push_back(
            {{"service", key.name},
             {"schema_version", key.schema_version},
             {"revision", route.revision},
             {"upstreams", upstreams}});
    }
    const json::object body{
        {"has_table", service.has_table()},
        {"system_end", service.applied().system_end},
        {"operators_end", service.applied().operators_end},
        {"routes", routes}};
    return make_response(
        http::status::ok, "application/json", json::serialize(body) + "\n");
}

} // namespace dandeliontack
