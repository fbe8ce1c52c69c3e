#include <dandeliontack/entry_service.hpp>
#include <dandeliontack/request_target.hpp>

#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace
{

constexpr const char* request_id_header = "tack-request-id";
constexpr const char* deadline_header = "tack-deadline-ms";
constexpr const char* version_header = "tack-schema-version";
constexpr std::uint64_t longest_deadline_ms = 3'600'000;

constexpr std::array hop_by_hop{
    http::field::connection,
    http::field::keep_alive,
    http::field::proxy_authenticate,
    http::field::proxy_authorization,
    http::field::te,
    http::field::trailer,
    http::field::transfer_encoding,
    http::field::upgrade,
    http::field::proxy_connection};

// Fields that concern one connection only are not forwarded (RFC 9110, 7.6.1).
template <class Message>
void strip_connection_fields(Message& message)
{
    for (const auto name : hop_by_hop)
        message.erase(name);
}

std::string_view view_of(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

// Where the caller names no deadline, the service's own holds.
std::optional<std::chrono::milliseconds>
deadline_of(const http_request& request, const route& to)
{
    const auto found = request.find(deadline_header);
    if (found == request.end())
        return to.service.deadline;
    const auto value =
        parse_bounded(view_of(found->value()), 1, longest_deadline_ms);
    if (!value)
        return std::nullopt;
    return std::chrono::milliseconds(*value);
}

// Counts what became of a request that had a route, for reports on service
// levels. Only refusals of this process lack the request's id.
void count_result(
    metric_registry& metrics, const service_config& service,
    const http_response& response)
{
    const bool refused = response[request_id_header].empty();
    const auto result = refused ? std::string(response[outcome_header])
                        : response.result_int() < 500 ? std::string("answered")
                                                      : std::string("failed");
    metrics
        .get_counter(
            "tack_service_requests_total{service=\"" + service.key.name +
            "\",version=\"" + std::to_string(service.key.schema_version) +
            "\",pool=\"" + service.pool + "\",result=\"" + result + "\"}")
        .add();
}

std::optional<std::uint64_t> version_of(const http_request& request)
{
    const auto found = request.find(version_header);
    if (found == request.end())
        return 1;
    return parse_bounded(view_of(found->value()), 1, 1'000'000);
}

} // namespace

entry_service::entry_service(
    asio::any_io_executor executor, const entry_settings& settings,
    metric_registry& metrics)
    : settings_(settings),
      metrics_(metrics),
      out_("entry.service"),
      upstreams_(
          std::move(executor), settings.upstreams.entry_processes,
          settings.upstreams.body_bytes),
      request_prefix_(to_string(make_incarnation()) + "-")
{}

void entry_service::set_table(routing_table table)
{
    const auto position = [](const routing_table& t) {
        return std::pair(t.system_end, t.operators_end);
    };
    if (has_table_ && position(table) < position(table_))
    {
        metrics_.get_counter("tack_routing_older_ignored_total").add();
        return;
    }
    table_ = std::move(table);
    has_table_ = true;
    metrics_.get_gauge("tack_routing_system_end")
        .set(static_cast<std::int64_t>(table_.system_end));
    out_.info("Routes by offset ", table_.system_end, ".");
}

http_response entry_service::refuse(
    http::status status, outcome result, std::string_view title,
    std::string_view detail)
{
    const auto kind = std::string(to_string(result));
    metrics_.get_counter("tack_refusals_total{outcome=\"" + kind + "\"}").add();
    return make_problem(status, result, title, detail);
}

asio::awaitable<http_response> entry_service::handle(http_request request)
{
    metrics_.get_counter("tack_requests_total").add();
    const auto target = parse_target(view_of(request.target()));
    if (!target)
        co_return refuse(
            http::status::not_found, outcome::not_run, "no service named",
            "the target must be /services/NAME/PATH");
    if (!has_table_)
        co_return refuse(
            http::status::service_unavailable, outcome::not_run,
            "no routing state", "this process has not got its state yet");
    const auto version = version_of(request);
    if (!version)
        co_return refuse(
            http::status::bad_request, outcome::not_run, "bad schema version",
            "tack-schema-version must be a whole number above 0");
    const auto found = table_.routes.find({target->service, *version});
    if (found == table_.routes.end())
        co_return refuse(
            http::status::not_found, outcome::not_run, "unknown service",
            "no service of that name and schema version is in force");
    // The table may change while the request is under way.
    const route to = found->second;
    auto response = co_await forward(to, std::move(request), target->path);
    count_result(metrics_, to.service, response);
    co_return response;
}

asio::awaitable<http_response>
entry_service::forward(const route& to, http_request request, std::string path)
{
    const auto started = std::chrono::steady_clock::now();
    const auto deadline = deadline_of(request, to);
    if (!deadline)
        co_return refuse(
            http::status::bad_request, outcome::not_run, "bad deadline",
            "tack-deadline-ms must be from 1 to 3600000");
    auto lease = upstreams_.acquire(to.upstreams);
    if (!lease)
    {
        auto response = refuse(
            http::status::service_unavailable, outcome::not_run,
            "no free upstream", "every upstream of the service is busy");
        response.set(http::field::retry_after, "1");
        co_return response;
    }
    const auto id = request_prefix_ + std::to_string(++last_request_);
    strip_connection_fields(request);
    request.target(path);
    request.set(http::field::host, to_string(lease->target().address));
    request.set(request_id_header, id);
    request.set(deadline_header, std::to_string(deadline->count()));
    request.prepare_payload();
    const auto result =
        co_await lease->connection().exchange(std::move(request), *deadline);
    auto response = finish(result, id);
    if (response[request_id_header] != id)
        lease->connection().close();
    metrics_.get_summary("tack_request_seconds")
        .record(std::chrono::steady_clock::now() - started);
    co_return response;
}

http_response entry_service::finish(
    const exchange_result& result, const std::string& request_id)
{
    if (const auto* error = std::get_if<exchange_error>(&result))
        return refuse(
            http::status::bad_gateway, error->result, "no whole answer",
            error->reason);
    auto response = std::get<http_response>(result);
    if (response[request_id_header] != request_id)
    {
        metrics_.get_counter("tack_answers_mismatched_total").add();
        return refuse(
            http::status::bad_gateway, outcome::unknown, "answer out of turn",
            "the upstream answered another request");
    }
    strip_connection_fields(response);
    response.prepare_payload();
    return response;
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
        {"system_end", service.table().system_end},
        {"operators_end", service.table().operators_end},
        {"routes", routes}};
    return make_response(
        http::status::ok, "application/json", json::serialize(body) + "\n");
}

} // namespace dandeliontack
