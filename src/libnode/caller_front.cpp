#include <dandeliontack/caller_front.hpp>

#include <boost/asio.hpp>
#include <platform/submission_calls.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

using namespace std::chrono_literals;

// What is kept of a caller's patience for the way back.
constexpr auto answer_margin = 150ms;
constexpr auto default_patience = 3000ms;
// What storing a submission takes: what gathers for 10 ms, an append of 4 ms,
// and a call to another data centre and back. With less time left the outcome
// would only be unknown to the caller.
constexpr auto least_patience = 25ms;
// How long a request waits for a shard without an owner that can be reached.
// A takeover takes longer at times; the caller is then told when to return.
constexpr auto reach_patience = 700ms;
// Callers come back after one of these times, in seconds, so that they don't
// all return at once.
constexpr std::uint64_t retry_after_least = 1;
constexpr std::uint64_t retry_after_choices = 3;

http_response refusal(
    http::status status, outcome result, std::string_view title,
    std::string_view detail)
{
    return make_problem(status, result, title, detail);
}

http_response retry_later(std::string_view title, std::string_view detail)
{
    auto response = refusal(
        http::status::service_unavailable, outcome::not_run, title, detail);
    static std::uint64_t refusals = 0;
    response.set(
        http::field::retry_after,
        std::to_string(retry_after_least + refusals++ % retry_after_choices));
    return response;
}

http_response no_such_submission(std::string_view detail)
{
    return refusal(
        http::status::gone, outcome::not_run, "no such submission", detail);
}

std::string all_faults(const std::vector<submission_fault>& faults)
{
    std::string text;
    for (const auto& fault : faults)
        text += (text.empty() ? "" : "; ") + fault.place + ": " + fault.message;
    return text;
}

std::optional<submission_phase> phase_of(std::string_view name)
{
    for (const auto phase :
         {submission_phase::queued, submission_phase::running,
          submission_phase::completed, submission_phase::failed,
          submission_phase::cancelled})
        if (to_string(phase) == name)
            return phase;
    return std::nullopt;
}

} // namespace

caller_front::caller_front(node_context& context, shard_router& router)
    : context_(context), router_(router)
{}

void caller_front::set_table(std::shared_ptr<const queue_table> table)
{
    if (table_ && table->version <= table_->version)
        return;
    context_.log.write(
        "front", "configuration_in_force",
        log_line()
            .add("version", table->version)
            .add("queues", std::uint64_t{table->queues.size()})
            .add("before", table_ ? table_->version : 0));
    table_ = std::move(table);
}

const queue_table* caller_front::table() const
{
    return table_.get();
}

std::shared_ptr<const queue_table> caller_front::shared_table() const
{
    return table_;
}

asio::awaitable<http_response> caller_front::handle(http_request request)
{
    const auto began = read_clocks().steady;
    const auto held = table_;
    if (!held)
        co_return retry_later(
            "no configuration", "this node has no configuration yet");
    const std::string target(request.target());
    const std::string path(target_path(target));
    const auto host_field = request[http::field::host];
    const auto* queue = find_queue(
        *held, std::string_view(host_field.data(), host_field.size()), path);
    if (!queue)
        co_return refusal(
            http::status::not_found, outcome::not_run, "no such queue", path);
    const auto& layout = router_.layout();
    if (!layout)
        co_return retry_later(
            "no layout", "the deployment is not divided into cells yet");
    subject what{
        *queue, *layout, 0, path.substr(queue->path_prefix.size()),
        platform::decode_patience(request).value_or(default_patience) -
            answer_margin};
    what.patience = std::max<std::chrono::milliseconds>(what.patience, 1ms);
    http_response response;
    const auto method = request.method();
    if (method == http::verb::get && what.rest.empty())
        response = co_await pending(what);
    else if (method == http::verb::get)
        response = co_await state(what);
    else if (method == http::verb::delete_)
        response = co_await cancel(what);
    else if (method == http::verb::post)
        response = co_await submit(request, what);
    else
        response = refusal(
            http::status::method_not_allowed, outcome::not_run,
            "method not allowed", "use GET, POST or DELETE");
    const auto took = read_clocks().steady - began;
    const std::string method_name(request.method_string());
    context_.metrics
        .get_counter(
            "tack_requests_total{method=\"" + method_name + "\",status=\"" +
            std::to_string(response.result_int()) + "\"}")
        .add();
    context_.metrics
        .get_summary("tack_request_seconds{method=\"" + method_name + "\"}")
        .record(took);
    if (method != http::verb::get || response.result() != http::status::ok)
        context_.log.write(
            "front", "request_answered",
            log_line()
                .add("submission", what.rest)
                .add("method", method_name)
                .add("route", queue->terms.route)
                .add("configuration", held->version)
                .add("shard", what.shard)
                .add("status", std::uint32_t{response.result_int()})
                .add("patience_ms", what.patience.count())
                .add("took_ms", took.count()));
    co_return response;
}

http_response
caller_front::unserved(const shard_answer& answer, const subject& what)
{
    if (answer.outcome == shard_outcome::rejected)
        return retry_later(
            "no owner", "no node can decide for pool " + what.queue.terms.pool +
                            " at the moment");
    return refusal(
        http::status::gateway_timeout, outcome::unknown, "no answer",
        "the owner of pool " + what.queue.terms.pool +
            " did not answer in time");
}

asio::awaitable<http_response>
caller_front::submit(const http_request& request, subject& what)
{
    const auto id = parse_submission_name(what.rest);
    if (!id)
        co_return refusal(
            http::status::bad_request, outcome::not_run,
            "malformed submission id", "it must be 16 hexadecimal digits");
    auto decoded = platform::decode_submission(request.body());
    if (const auto* wrong = std::get_if<findings>(&decoded))
        co_return refusal(
            http::status::bad_request, outcome::not_run, "malformed submission",
            to_string(*wrong));
    auto& spec = std::get<submission_spec>(decoded);
    const auto faults = check_submission(spec);
    if (!faults.empty())
        co_return refusal(
            http::status::unprocessable_entity, outcome::not_run,
            "submission can't be run", all_faults(faults));
    if (what.patience < least_patience)
        co_return retry_later(
            "too little time", "the time that is left is too short to store a "
                               "submission; nothing was sent to its owner");
    what.shard = shard_in(
        what,
        cell_of_submission(what.layout, *id, spec, what.queue.terms.pool));
    shard_call call{shard_call::verb::submit, what.shard, *id, {}, {}};
    call.record = submission_record{
        *id, std::move(spec), what.queue.terms, read_clocks().wall, 0};
    const auto answer =
        co_await router_.ask(std::move(call), what.patience, reach_patience);
    if (answer.outcome == shard_outcome::done)
        co_return make_response(http::status::ok, "application/json", "{}");
    co_return unserved(answer, what);
}

shard_id caller_front::shard_in(const subject& what, cell_id cell) const
{
    return shard_of(
        what.queue.terms.pool, cell, context_.settings.store.partitions);
}

asio::awaitable<shard_answer>
caller_front::ask_about(subject& what, shard_call::verb verb, std::uint64_t id)
{
    const auto began = read_clocks().steady;
    shard_answer answer;
    for (const auto cell : cells_to_ask(what.layout, id, what.queue.terms.pool))
    {
        what.shard = shard_in(what, cell);
        shard_call call{verb, what.shard, id, {}, {}};
        const auto left = std::max<std::chrono::milliseconds>(
            what.patience - (read_clocks().steady - began), 1ms);
        answer = co_await router_.ask(std::move(call), left, reach_patience);
        if (answer.outcome != shard_outcome::not_found)
            break;
    }
    co_return answer;
}

asio::awaitable<http_response> caller_front::state(subject& what)
{
    const auto id = parse_submission_name(what.rest);
    if (!id)
        co_return no_such_submission("an id is 16 hexadecimal digits");
    const auto answer = co_await ask_about(what, shard_call::verb::state, *id);
    const auto phase = phase_of(answer.value);
    if (answer.outcome == shard_outcome::done && phase)
        co_return platform::encode_state(*phase);
    if (answer.outcome == shard_outcome::not_found)
        co_return no_such_submission(
            "it was never accepted, or ended long ago");
    co_return unserved(answer, what);
}

asio::awaitable<http_response> caller_front::cancel(subject& what)
{
    const auto id = parse_submission_name(what.rest);
    if (!id)
        co_return no_such_submission("an id is 16 hexadecimal digits");
    const auto answer = co_await ask_about(what, shard_call::verb::cancel, *id);
    if (answer.outcome == shard_outcome::done)
        co_return make_response(http::status::ok, "application/json", "{}");
    if (answer.outcome == shard_outcome::not_found)
        co_return no_such_submission(
            "it was never accepted, or ended long ago");
    co_return unserved(answer, what);
}

asio::awaitable<http_response> caller_front::pending(const subject& what)
{
    std::vector<shard_call> calls;
    calls.reserve(what.layout.cells);
    for (cell_id cell = 0; cell < what.layout.cells; ++cell)
        calls.push_back(
            {shard_call::verb::pending,
             shard_in(what, cell),
             0,
             what.queue.terms.route,
             {}});
    const auto answers = co_await router_.ask_all(
        std::move(calls), what.patience, reach_patience);
    std::size_t sum = 0;
    for (const auto& answer : answers)
    {
        std::size_t number = 0;
        const auto* end = answer.value.data() + answer.value.size();
        const auto parsed = std::from_chars(answer.value.data(), end, number);
        if (answer.outcome != shard_outcome::done || parsed.ec != std::errc())
            co_return unserved(answer, what);
        sum += number;
    }
    co_return platform::encode_pending(sum);
}

} // namespace dandeliontack
