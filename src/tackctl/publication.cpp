#include "publication.hpp"

#include <dandeliontack/http_get.hpp>
#include <dandeliontack/pause.hpp>
#include <dandeliontack/program.hpp>

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <iostream>
#include <utility>

namespace dandeliontack::tackctl
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace
{

constexpr auto poll_interval = std::chrono::milliseconds(20);

// The revision in force, 0 for a value that is not.
std::uint64_t revision_of(const config_event& e, const json::object& status)
{
    const auto& revisions = status.at("revisions").as_object();
    const auto* known = revisions.if_contains(subject_of(e));
    return known ? known->to_number<std::uint64_t>() : 0;
}

} // namespace

asio::awaitable<json_answer>
get_json(http_connection& connection, const options& chosen, std::string target)
{
    auto request = to_http(
        page_request{chosen.control, target, chosen.token, chosen.timeout});
    const auto result =
        co_await connection.exchange(std::move(request), chosen.timeout);
    const auto* response = std::get_if<http_response>(&result);
    if (!response || response->result() != http::status::ok)
        co_return std::nullopt;
    boost::system::error_code ec;
    auto parsed = json::parse(response->body(), ec);
    if (ec || !parsed.is_object())
        co_return std::nullopt;
    co_return std::move(parsed.as_object());
}

publication::publication(
    asio::any_io_executor executor, const options& chosen,
    std::vector<config_event> events)
    : chosen_(chosen),
      events_(std::move(events)),
      until_(std::chrono::steady_clock::now() + chosen.timeout),
      executor_(std::move(executor)),
      log_(make_http_log_client(executor_, chosen.log, chosen.timeout)),
      proposals_(
          executor_, *log_, log_stream::operators, make_incarnation(),
          metrics_),
      control_(executor_, chosen.control)
{}

bool publication::timed_out() const
{
    return std::chrono::steady_clock::now() >= until_;
}

asio::awaitable<int> publication::run()
{
    const auto status = co_await get_json(control_, chosen_, "/v1/status");
    if (!status)
    {
        std::cerr << "no control process answers at "
                  << to_string(chosen_.control) << "; nothing was published\n";
        co_return exit_unreachable;
    }
    for (auto& e : events_)
    {
        const auto base = revision_of(e, *status);
        std::visit(
            [&](auto& change) {
                change.publisher = chosen_.publisher;
                change.base = base;
            },
            e);
        sequences_.push_back(proposals_.propose(e));
    }
    asio::co_spawn(executor_, proposals_.run(), asio::detached);
    co_return co_await run_to_outcome();
}

asio::awaitable<int> publication::run_to_outcome()
{
    const bool confirmed = co_await append();
    if (!confirmed)
    {
        const auto unknown =
            metrics_.get_counter("tack_log_appends_unknown_total").value();
        std::cerr << "the log did not confirm in time; "
                  << (unknown == 0 ? "nothing was published\n"
                                   : "what was published is unknown\n");
        co_return unknown == 0 ? exit_unreachable : exit_timed_out;
    }
    int code = exit_ok;
    for (const auto sequence : sequences_)
        code = std::max(code, co_await wait_for_outcome(sequence));
    co_return code;
}

// Whether the log confirmed all records in time.
asio::awaitable<bool> publication::append()
{
    while (proposals_.backlog() != 0 && !timed_out())
        co_await pause_for(executor_, poll_interval);
    proposals_.stop();
    co_return proposals_.backlog() == 0;
}

asio::awaitable<int> publication::wait_for_outcome(std::uint64_t sequence)
{
    const auto& e = events_.at(sequence - 1);
    const auto target = "/v1/outcome?writer=" + to_string(proposals_.writer()) +
                        "&sequence=" + std::to_string(sequence);
    do
    {
        const auto answer = co_await get_json(control_, chosen_, target);
        const auto state =
            answer ? std::string(answer->at("state").as_string()) : "pending";
        if (state != "pending")
        {
            report(e, state, *answer);
            co_return state == "accepted" ? exit_ok : exit_rejected;
        }
        co_await pause_for(executor_, poll_interval);
    } while (!timed_out());
    std::cerr << subject_of(e) << ": published, outcome not known in time\n";
    co_return exit_timed_out;
}

void publication::report(
    const config_event& e, std::string_view state,
    const json::object& details) const
{
    if (chosen_.json)
    {
        json::object line = details;
        line["subject"] = subject_of(e);
        std::cout << line << "\n";
        return;
    }
    std::cout << subject_of(e) << ": " << state << " at offset "
              << details.at("offset") << "\n";
    for (const auto& item : details.at("findings").as_array())
        std::cout << "  " << item.at("place").as_string() << ": "
                  << item.at("key").as_string() << ": "
                  << item.at("message").as_string() << "\n";
}

} // namespace dandeliontack::tackctl
