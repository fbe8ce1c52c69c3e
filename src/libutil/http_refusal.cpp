#include <dandeliontack/http_refusal.hpp>
#include <dandeliontack/log.hpp>

#include <boost/beast/http.hpp>

#include <algorithm>
#include <utility>

namespace dandeliontack
{

namespace http = boost::beast::http;

namespace
{

constexpr auto line_interval = std::chrono::seconds(1);
constexpr auto no_answer = http::status::unknown;

struct refusal_terms
{
    http_refusal cause;
    std::string_view name;
    http::status status;
    std::string_view title;
    std::string_view detail;
};

constexpr std::array<refusal_terms, http_refusal_count> terms{{
    {http_refusal::header_too_large, "header-too-large",
     http::status::request_header_fields_too_large, "header too large",
     "the request's header exceeds the limit"},
    {http_refusal::body_too_large, "body-too-large",
     http::status::payload_too_large, "body too large",
     "the request's body exceeds the limit"},
    {http_refusal::trailers_too_large, "trailers-too-large",
     http::status::request_header_fields_too_large, "trailers too large",
     "the fields behind the request's body exceed the limit"},
    {http_refusal::chunk_line_too_long, "chunk-line-too-long",
     http::status::bad_request, "malformed request",
     "the line that begins a chunk exceeds the limit"},
    {http_refusal::malformed, "malformed", http::status::bad_request,
     "malformed request", ""},
    {http_refusal::no_room, "no-room", http::status::service_unavailable,
     "no room", "too many requests are being received"},
    {http_refusal::too_slow, "too-slow", no_answer, "", ""},
    {http_refusal::no_room_for_connection, "no-room-for-connection", no_answer,
     "", ""},
    {http_refusal::too_many_connections, "too-many-connections", no_answer, "",
     ""},
    {http_refusal::displaced, "displaced", no_answer, "", ""},
}};

constexpr const char* retry_seconds = "1";

} // namespace

std::string_view to_string(http_refusal cause)
{
    return terms.at(static_cast<std::size_t>(cause)).name;
}

std::optional<http_response>
answer_to(http_refusal cause, std::string_view detail)
{
    const auto& with = terms.at(static_cast<std::size_t>(cause));
    if (with.status == no_answer)
        return std::nullopt;
    auto response = make_problem(
        with.status, outcome::not_run, with.title,
        detail.empty() ? with.detail : detail);
    if (with.status == http::status::service_unavailable)
        response.set(http::field::retry_after, retry_seconds);
    return response;
}

std::optional<std::uint64_t>
refusal_log_limit::count(http_refusal cause, time_point now)
{
    auto& tally = tallies_.at(static_cast<std::size_t>(cause));
    ++tally.refusals;
    if (tally.last_line && now - *tally.last_line < line_interval)
        return std::nullopt;
    tally.last_line = now;
    return std::exchange(tally.refusals, 0);
}

refusal_counter::refusal_counter(
    metric_registry& metrics, const std::string& server)
{
    const auto label =
        server.empty() ? std::string() : ",server=\"" + server + "\"";
    std::ranges::transform(
        terms, counters_.begin(), [&](const refusal_terms& with) {
            return &metrics.get_counter(
                "tack_http_refused_total{cause=\"" + std::string(with.name) +
                "\"" + label + "}");
        });
    report_ = [server](http_refusal cause, std::uint64_t refusals) {
        const part_log out(server.empty() ? "http.server" : "http." + server);
        out.warn("Refused ", refusals, " by cause: ", to_string(cause), ".");
    };
}

void refusal_counter::count(http_refusal cause)
{
    counters_.at(static_cast<std::size_t>(cause))->add();
    const auto refusals =
        log_limit_.count(cause, std::chrono::steady_clock::now());
    if (refusals)
        report_(cause, *refusals);
}

} // namespace dandeliontack
