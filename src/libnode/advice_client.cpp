#include <dandeliontack/advice_client.hpp>

#include <boost/asio.hpp>
#include <platform/host_calls.hpp>

#include <random>
#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

std::string_view to_string(call_result result)
{
    constexpr std::array<std::string_view, 3> names{
        "answered", "refused", "unanswered"};
    return names.at(static_cast<std::size_t>(result));
}

} // namespace

advice_client::advice_client(node_context& context)
    : context_(context),
      limiter_({}, std::random_device{}()),
      call_ended_(context.executor)
{}

asio::awaitable<pool_event::advice_answered> advice_client::ask(
    pool_effect::advise question, std::function<bool()> is_wanted)
{
    pool_event::advice_answered answered{question.step, {}, {}, false};
    while (is_wanted() && !limiter_.may_call(read_clocks().steady))
        co_await call_ended_.wait(limiter_.wait(read_clocks().steady));
    if (!is_wanted())
        co_return answered;
    const auto began = read_clocks().steady;
    const auto timeout = limiter_.begin(question.need);
    auto result = call_result::unanswered;
    const auto& address = context_.settings.advice.address;
    if (const auto peer = parse_endpoint(address))
    {
        auto request = platform::encode_advice_request(address, question);
        auto exchanged = co_await context_.connections.exchange(
            *peer, std::move(request), timeout);
        if (const auto* response = std::get_if<http_response>(&exchanged))
        {
            answered = platform::decode_advice(question.step, *response);
            result = answered.answered ? call_result::answered
                                       : call_result::refused;
        }
    }
    const auto now = read_clocks().steady;
    limiter_.end(result, question.need, now - began, now);
    context_.metrics
        .get_counter(
            "tack_advice_calls_total{result=\"" +
            std::string(to_string(result)) + "\"}")
        .add();
    context_.metrics.get_summary("tack_advice_seconds").record(now - began);
    call_ended_.notify();
    co_return answered;
}

} // namespace dandeliontack
