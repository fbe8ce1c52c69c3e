#include <dandeliontack/refusal.hpp>
#include <dandeliontack/request_fields.hpp>
#include <dandeliontack/ticket_service.hpp>

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);
/// Requests that may be under way to one other entry process.
constexpr std::uint64_t forwards_per_peer = 256;
/// What a forwarded request may take beyond its deadline, so that the
/// issuer's own refusal still arrives.
constexpr auto forward_grace = std::chrono::milliseconds(250);

// What a verdict without an answer tells the caller.
struct verdict_text
{
    ticket_verdict verdict;
    http::status status;
    outcome result;
    const char* title;
    const char* detail;
};

constexpr std::array verdict_texts{
    verdict_text{
        ticket_verdict::wait, http::status::gateway_timeout, outcome::unknown,
        "still running", "a copy of the request has not ended in time"},
    verdict_text{
        ticket_verdict::answer_gone, http::status::conflict, outcome::unknown,
        "already run", "the request has run; its answer is no longer kept"},
    verdict_text{
        ticket_verdict::not_run, http::status::conflict, outcome::not_run,
        "ticket closed",
        "a copy was refused; the request did not run and needs a new ticket"},
    verdict_text{
        ticket_verdict::unknown, http::status::conflict, outcome::unknown,
        "outcome unknown", "a copy was sent to an upstream and not answered"},
    verdict_text{
        ticket_verdict::other_request, http::status::unprocessable_entity,
        outcome::not_run, "ticket of another request",
        "the ticket was used with another method, target or body"},
    verdict_text{
        ticket_verdict::forgotten, http::status::conflict, outcome::unknown,
        "ticket not known", "it has expired or was never issued"}};

ticket_limits limits_of(const entry_settings& settings)
{
    constexpr std::uint64_t bytes_per_mb = 1024 * 1024;
    constexpr std::uint64_t tickets_divisor = 16;
    constexpr std::uint64_t answers_divisor = 8;
    const auto memory = settings.limits.memory_mb * bytes_per_mb;
    return {
        std::min(
            settings.tickets.capacity,
            memory / tickets_divisor / ticket_table::bytes_per_ticket),
        settings.tickets.lifetime,
        std::min(settings.tickets.answer_bytes, memory / answers_divisor)};
}

} // namespace

ticket_service::ticket_service(
    asio::any_io_executor executor, const entry_settings& settings,
    metric_registry& metrics, std::shared_ptr<buffer_budget> responses)
    : executor_(std::move(executor)),
      metrics_(metrics),
      self_(make_incarnation()),
      address_(settings.tickets.advertise.value_or(settings.callers.listen)),
      peers_(settings.tickets.peers.begin(), settings.tickets.peers.end()),
      table_(limits_of(settings)),
      issuers_(
          executor_, {.body_bytes = settings.upstreams.body_bytes,
                      .budget = std::move(responses)})
{}

void ticket_service::set_address(endpoint address)
{
    address_ = std::move(address);
}

bool ticket_service::is_peer(const endpoint& where) const
{
    return peers_.contains(where.address) || peers_.contains(to_string(where));
}

void ticket_service::stop_issuing()
{
    issuing_ = false;
}

http_response ticket_service::issue()
{
    const auto number = make_incarnation().low;
    if (!issuing_ || !table_.issue(number, std::chrono::steady_clock::now()))
    {
        auto response = refuse(
            metrics_, http::status::service_unavailable, outcome::not_run,
            "no ticket", issuing_ ? "too many tickets are unused" : "stopping");
        response.set(http::field::retry_after, "1");
        return response;
    }
    metrics_.get_counter("tack_tickets_issued_total").add();
    const auto text = to_string(ticket{self_, number, address_});
    auto response = make_response(
        http::status::created, "application/json",
        boost::json::serialize(boost::json::object{{"ticket", text}}) + "\n");
    response.set(ticket_header, text);
    return response;
}

asio::awaitable<http_response> ticket_service::handle(
    http_request request, std::chrono::milliseconds patience, run_function run)
{
    const auto found = request.find(ticket_header);
    if (found == request.end())
        co_return refuse(
            metrics_, http::status::precondition_required, outcome::not_run,
            "ticket needed",
            "a request that is not idempotent needs a tack-ticket");
    const auto value = found->value();
    const auto of = parse_ticket({value.data(), value.size()});
    if (!of || request.count(ticket_header) > 1)
        co_return refuse(
            metrics_, http::status::bad_request, outcome::not_run, "bad ticket",
            "the tack-ticket is not one that was issued");
    const auto deadline = std::chrono::steady_clock::now() + patience;
    if (of->issuer == self_)
        co_return co_await handle_own(
            of->number, std::move(request), deadline, std::move(run));
    const bool forwarded = request.count(forward_id_header) != 0;
    if (forwarded || !is_peer(of->address))
        co_return refuse(
            metrics_, http::status::conflict, outcome::unknown, "issuer gone",
            "the process that issued the ticket is gone or not known here");
    co_return co_await pass_on(*of, std::move(request), patience);
}

asio::awaitable<http_response> ticket_service::handle_own(
    std::uint64_t number, http_request request, time_point deadline,
    run_function run)
{
    const auto fingerprint = fingerprint_of(request);
    const auto claim = [&] {
        return table_.claim(
            number, fingerprint, std::chrono::steady_clock::now());
    };
    auto claimed = claim();
    if (claimed.verdict == ticket_verdict::run)
        co_return co_await run_once(number, std::move(request), std::move(run));
    metrics_.get_counter("tack_ticket_copies_total").add();
    if (claimed.verdict == ticket_verdict::wait)
    {
        co_await wait_for_end(number, deadline);
        claimed = claim();
    }
    co_return answer_to(claimed);
}

// Whatever ends the run, the ticket is ended with it: an exception leaves
// its outcome unknown.
asio::awaitable<http_response> ticket_service::run_once(
    std::uint64_t number, http_request request, run_function run)
{
    std::exception_ptr thrown;
    try
    {
        auto result = co_await run(std::move(request));
        finish(number, result.end, &result.response);
        co_return std::move(result.response);
    }
    catch (...)
    {
        thrown = std::current_exception();
    }
    finish(number, run_end::unknown, nullptr);
    std::rethrow_exception(thrown);
}

void ticket_service::finish(
    std::uint64_t number, run_end end, const http_response* answer)
{
    table_.finish(
        number, end,
        end == run_end::answered
            ? std::make_shared<const http_response>(*answer)
            : nullptr);
    const auto [first, last] = waiting_.equal_range(number);
    for (auto item = first; item != last; ++item)
        item->second.cancel();
}

asio::awaitable<void>
ticket_service::wait_for_end(std::uint64_t number, time_point deadline)
{
    const auto place = waiting_.emplace(
        std::piecewise_construct, std::forward_as_tuple(number),
        std::forward_as_tuple(executor_, deadline));
    co_await place->second.async_wait(no_throw);
    waiting_.erase(place);
}

http_response ticket_service::answer_to(const ticket_claim& claim)
{
    if (claim.verdict == ticket_verdict::replay)
        return *claim.answer;
    const auto* found =
        std::ranges::find(verdict_texts, claim.verdict, &verdict_text::verdict);
    return refuse(
        metrics_, found->status, found->result, found->title, found->detail);
}

// Whatever keeps the issuer from answering, the outcome is unknown: another
// copy may have reached it.
asio::awaitable<http_response> ticket_service::pass_on(
    const ticket& of, http_request request, std::chrono::milliseconds patience)
{
    metrics_.get_counter("tack_ticket_copies_forwarded_total").add();
    upstream issuer;
    issuer.address = of.address;
    issuer.slots = issuer.connections = forwards_per_peer;
    const std::vector<upstream> candidates{issuer};
    auto lease = issuers_.acquire(candidates);
    if (!lease)
        co_return refuse(
            metrics_, http::status::service_unavailable, outcome::unknown,
            "issuer busy", "too many copies are under way to the issuer");
    const auto id = to_string(self_) + "-" + std::to_string(++last_forward_);
    strip_connection_fields(request);
    request.set(forward_id_header, id);
    request.set(deadline_header, std::to_string(patience.count()));
    request.prepare_payload();
    auto result = co_await lease->connection().exchange(
        std::move(request), patience + forward_grace);
    auto* response = std::get_if<http_response>(&result);
    if (!response || (*response)[forward_id_header] != id)
    {
        lease->connection().close();
        co_return refuse(
            metrics_, http::status::bad_gateway, outcome::unknown,
            "issuer not reached", "the ticket's issuer gave no whole answer");
    }
    strip_connection_fields(*response);
    response->erase(forward_id_header);
    response->prepare_payload();
    co_return std::move(*response);
}

} // namespace dandeliontack
