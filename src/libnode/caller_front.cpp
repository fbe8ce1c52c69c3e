#include <dandeliontack/append_split.hpp>
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

// Part of a caller's timeout that is reserved for the response.
constexpr auto answer_margin = 150ms;
constexpr auto default_timeout = 3000ms;
// The longest that a request is held, whatever its caller would wait.
constexpr auto longest_timeout = 60s;
// Shortest time in which a submission can be stored: batching for 10 ms, an
// append of 4 ms, and a round trip to another data centre. With less time left,
// the caller could only be told that the outcome is unknown.
constexpr auto min_submit_timeout = 25ms;
// How long a request waits for a shard without a reachable owner. A takeover
// can take longer; the caller then gets a Retry-After header.
constexpr auto owner_reach_timeout = 700ms;
// The values of Retry-After, in seconds, rotate through this range so that
// callers do not all retry at once.
constexpr std::uint64_t min_retry_after = 1;
constexpr std::uint64_t retry_after_choices = 3;

http_response error_response(
    http::status status, outcome result, std::string_view title,
    std::string_view detail)
{
    return make_problem(status, result, title, detail);
}

http_response retry_later(std::string_view title, std::string_view detail)
{
    auto response = error_response(
        http::status::service_unavailable, outcome::not_run, title, detail);
    static std::uint64_t retry_responses = 0;
    response.set(
        http::field::retry_after,
        std::to_string(
            min_retry_after + retry_responses++ % retry_after_choices));
    return response;
}

http_response
share_refused(const submission_refusal& refusal, const std::string& pool)
{
    auto response = error_response(
        http::status::too_many_requests, outcome::not_run, "share exceeded",
        "the account has sent more than it is entitled to, and pool " + pool +
            " has no room for that in time");
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(refusal.retry_after);
    response.set(http::field::retry_after, std::to_string(seconds.count()));
    return response;
}

std::string malformed_id_detail(std::string_view id)
{
    return "submission id \"" + std::string(id) +
           "\" is malformed: it must have 16 hexadecimal digits";
}

http_response submission_not_found(std::string_view detail)
{
    return error_response(
        http::status::gone, outcome::not_run, "no such submission", detail);
}

std::string join_faults(const std::vector<validation_error>& faults)
{
    std::string text;
    for (const auto& fault : faults)
        text += (text.empty() ? "" : "; ") + fault.path + ": " + fault.message;
    return text;
}

constexpr std::size_t longest_logged_id = 32;
constexpr std::size_t longest_logged_path = 64;

void count_request(
    metric_registry& metrics, const std::string& method,
    const http_response& response, std::chrono::nanoseconds took)
{
    metrics
        .get_counter(
            "tack_requests_total{method=\"" + method + "\",status=\"" +
            std::to_string(response.result_int()) + "\"}")
        .add();
    metrics.get_summary("tack_request_seconds{method=\"" + method + "\"}")
        .record(took);
}

// Labels and log lines are of a bounded number and length.
std::string method_label(http::verb method)
{
    return method == http::verb::unknown ? std::string("other")
                                         : std::string(to_string(method));
}

// How long the request may take, so that its response still comes in time.
std::chrono::milliseconds timeout_of(const http_request& request)
{
    const auto wanted =
        platform::decode_request_deadline(request).value_or(default_timeout);
    return std::max<std::chrono::milliseconds>(
        std::min<std::chrono::milliseconds>(wanted, longest_timeout) -
            answer_margin,
        1ms);
}

// In whose name a request is made.
struct caller_identity
{
    bool may_call = true;
    bool has_key = false;
    /// Empty for a public queue.
    std::string account;
};

caller_identity identify_caller(
    const http_request& request, const queue_table& table,
    const queue_entry& queue)
{
    if (!table.accounts || queue.is_public)
        return {};
    const auto key = platform::decode_account_key(request);
    const auto* holder = key ? table.accounts->find_by_key(*key) : nullptr;
    return {
        holder != nullptr, key.has_value(),
        holder ? holder->name : std::string()};
}

bool is_any_shard(shard_id /*shard*/)
{
    return true;
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

caller_front::caller_front(
    node_context& context, shard_router& router,
    const configuration_relay& configurations)
    : context_(context), router_(router), configurations_(configurations)
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
    context_.metrics.get_gauge("tack_configuration_version")
        .set(static_cast<std::int64_t>(table_->version));
}

const queue_table* caller_front::table() const
{
    return table_.get();
}

std::shared_ptr<const queue_table> caller_front::shared_table() const
{
    return table_;
}

asio::awaitable<http_response>
caller_front::handle(http_request request, boot_time arrived)
{
    const auto began = read_clocks().steady;
    const auto timeout = timeout_of(request);
    const auto held = table_;
    if (!held)
        co_return retry_later(
            "no configuration", "this node has not read a configuration yet");
    const std::string target(request.target());
    const std::string path(target_path(target));
    const auto host_field = request[http::field::host];
    const auto* queue = find_queue(
        *held, std::string_view(host_field.data(), host_field.size()), path);
    if (!queue)
        co_return refuse_queue(path);
    auto caller = identify_caller(request, *held, *queue);
    if (!caller.may_call)
        co_return refuse_key(*held, *queue, caller.has_key);
    if (!router_.shards().has_been_read())
        co_return retry_later(
            "no registry",
            "this node has not read which shards hold the queue's submissions "
            "yet");
    const auto& layout = router_.layout();
    if (!layout)
        co_return retry_later(
            "no layout",
            "this node has not read the layout of the deployment's cells yet");
    // Its caller has given it up, and may have cancelled it elsewhere.
    if (began - arrived >= timeout)
        co_return refuse_as_expired(path, began - arrived, timeout);
    request_scope scope{
        *queue,
        std::move(caller.account),
        *layout,
        0,
        path.substr(queue->path_prefix.size()),
        arrived + timeout};
    http_response response;
    const auto method = request.method();
    if (method == http::verb::get && scope.path_suffix.empty())
        response = co_await pending(scope);
    else if (method == http::verb::get)
        response = co_await state(scope);
    else if (method == http::verb::delete_)
        response = co_await cancel(scope);
    else if (method == http::verb::post)
        response = co_await submit(std::move(request.body()), scope);
    else
        response = error_response(
            http::status::method_not_allowed, outcome::not_run,
            "method not allowed", "use GET, POST or DELETE");
    const auto took = read_clocks().steady - began;
    const auto method_name = method_label(method);
    count_request(context_.metrics, method_name, response, took);
    if (method != http::verb::get || response.result() != http::status::ok)
        context_.log.write(
            "front", "request_answered",
            log_line()
                .add(
                    "submission", std::string_view(scope.path_suffix)
                                      .substr(0, longest_logged_id))
                .add("method", method_name)
                .add("route", queue->terms.route)
                .add("configuration", held->version)
                .add("shard", scope.shard)
                .add("status", std::uint32_t{response.result_int()})
                .add("patience_ms", timeout.count())
                .add("took_ms", took.count()));
    co_return response;
}

// A node that may have missed a configuration can't say that there is no such
// queue.
http_response caller_front::refuse_queue(std::string_view path) const
{
    if (!configurations_.is_overdue(read_clocks().steady))
        return error_response(
            http::status::not_found, outcome::not_run, "no such queue", path);
    context_.metrics.get_counter("tack_queues_unknown_total").add();
    return refuse_as_outdated("no such queue");
}

http_response caller_front::refuse_as_outdated(std::string_view unknown) const
{
    const auto age = configurations_.age(read_clocks().steady).count();
    const auto bound = configurations_.terms().bound.count();
    context_.log.write(
        "front", "configuration_outdated",
        log_line()
            .add("reason", unknown)
            .add("configuration", table_->version)
            .add("age_ms", age)
            .add("bound_ms", bound));
    return retry_later(
        "configuration may be outdated",
        "this node knows " + std::string(unknown) +
            ", but has not read the configuration for " + std::to_string(age) +
            " ms; a new one comes into force within " + std::to_string(bound) +
            " ms");
}

// A node that may have missed a configuration can't say that the account does
// not exist, or that the queue needs one.
http_response caller_front::refuse_key(
    const queue_table& table, const queue_entry& queue, bool has_key)
{
    if (configurations_.is_overdue(read_clocks().steady))
        return refuse_as_outdated("no client account with the request's key");
    context_.metrics
        .get_counter(
            has_key ? "tack_keys_refused_total{cause=\"unknown\"}"
                    : "tack_keys_refused_total{cause=\"missing\"}")
        .add();
    context_.log.write(
        "front", "key_refused",
        log_line()
            .add("route", queue.terms.route)
            .add("configuration", table.version)
            .add("reason", has_key ? "no account has the key" : "no key"));
    return error_response(
        http::status::unauthorized, outcome::not_run, "key needed",
        has_key ? "the request's key belongs to no client account"
                : "the request carries no readable key of a client account");
}

http_response caller_front::owner_error_response(
    const shard_answer& answer, const request_scope& scope)
{
    if (answer.outcome == shard_outcome::rejected &&
        answer.refusal.cause != refusal_cause::unavailable)
        return share_refused(answer.refusal, scope.queue.terms.pool);
    if (answer.outcome == shard_outcome::rejected)
        return retry_later(
            "no owner",
            "the owner of pool " + scope.queue.terms.pool +
                " can't be reached or can't accept the request at the moment");
    return error_response(
        http::status::gateway_timeout, outcome::unknown, "no answer",
        "the owner of pool " + scope.queue.terms.pool +
            " did not answer in time");
}

asio::awaitable<http_response>
caller_front::submit(std::string body, request_scope& scope)
{
    const auto id = parse_submission_name(scope.path_suffix);
    if (!id)
        co_return error_response(
            http::status::bad_request, outcome::not_run,
            "malformed submission id", malformed_id_detail(scope.path_suffix));
    auto decoded = platform::decode_submission(
        body, decoded_bytes_of(context_.settings.limits));
    // The decoded form takes its place.
    std::string().swap(body);
    if (const auto* wrong = std::get_if<findings>(&decoded))
        co_return error_response(
            http::status::bad_request, outcome::not_run, "malformed submission",
            to_string(*wrong));
    auto& spec = std::get<submission_spec>(decoded);
    auto faults = check_submission(spec);
    if (faults.empty())
        faults = check_limits(spec);
    if (!faults.empty())
        co_return error_response(
            http::status::unprocessable_entity, outcome::not_run,
            "submission can't be run", join_faults(faults));
    const auto left = scope.time_left();
    if (left < min_submit_timeout)
        co_return retry_later(
            "too little time",
            "the remaining request timeout of " + std::to_string(left.count()) +
                " ms is below the minimum of " +
                std::to_string(min_submit_timeout.count()) +
                " ms for storing a submission; nothing was sent to the owner");
    scope.shard = shard_in(
        scope,
        cell_of_submission(scope.layout, *id, spec, scope.queue.terms.pool));
    shard_call call{shard_call::verb::submit, scope.shard, *id, {}, {}};
    call.record = std::make_shared<const submission_record>(submission_record{
        *id, std::move(spec), scope.queue.terms, read_clocks().wall, 0,
        scope.account});
    if (auto refusal = check_stored_size(*call.record))
        co_return std::move(*refusal);
    const auto answer = co_await submit_once(std::move(call), scope);
    if (answer.outcome == shard_outcome::done)
        co_return make_response(http::status::ok, "application/json", "{}");
    if (answer.outcome == shard_outcome::withdrawn)
        co_return error_response(
            http::status::gone, outcome::not_run, "submission was cancelled",
            "it was cancelled before it was accepted, and never runs");
    co_return owner_error_response(answer, scope);
}

http_response caller_front::refuse_as_expired(
    std::string_view path, std::chrono::milliseconds waited,
    std::chrono::milliseconds timeout)
{
    context_.metrics.get_counter("tack_requests_expired_total").add();
    context_.log.write(
        "front", "request_expired",
        log_line()
            .add("path", path.substr(0, longest_logged_path))
            .add("waited_ms", waited.count())
            .add("patience_ms", timeout.count()));
    return retry_later(
        "request expired", "the request may have waited here for " +
                               std::to_string(waited.count()) +
                               " ms, longer than its timeout of " +
                               std::to_string(timeout.count()) +
                               " ms; nothing was sent to the owner");
}

std::optional<http_response>
caller_front::check_stored_size(const submission_record& record) const
{
    const keyed_record to_store{submission_key(record.id), encode(record), 0};
    const auto bytes = stored_size(to_store);
    const auto limit = context_.settings.store.record_bytes;
    if (bytes <= limit)
        return std::nullopt;
    return error_response(
        http::status::payload_too_large, outcome::not_run,
        "submission can't be stored",
        "the submission needs " + std::to_string(bytes) +
            " bytes in the store, which accepts at most " +
            std::to_string(limit) + " bytes in a record");
}

// Asks the shards that may have accepted the submission under an earlier
// configuration first. The owner checks that all of them were asked, and names
// those that this node doesn't know. What was said before the owner's shard was
// listed doesn't count: the others could not know of it then.
asio::awaitable<shard_answer>
caller_front::submit_once(shard_call call, request_scope& scope)
{
    const auto target = scope.shard;
    place_search search(scope.queue.terms.version);
    const auto listed = router_.shards().shards_with(scope.queue.terms.queue);
    if (std::ranges::find(listed, target) != listed.end())
        std::ranges::for_each(
            former_shards(scope), [&](shard_id shard) { search.add(shard); });
    auto question = call;
    question.kind = shard_call::verb::find;
    while (true)
    {
        while (!search.unasked().empty())
        {
            if (question.record->terms.version != search.asked().version)
            {
                auto record = *call.record;
                record.terms.version = search.asked().version;
                question.record = std::make_shared<const submission_record>(
                    std::move(record));
            }
            const auto former = co_await ask_places(scope, question, search);
            if (former.outcome != shard_outcome::not_found)
                co_return former;
            search.raise_version();
        }
        scope.shard = target;
        auto copy = call;
        copy.asked = search.asked();
        const auto answer = co_await router_.ask(
            std::move(copy), scope.time_left(), owner_reach_timeout);
        if (answer.outcome != shard_outcome::ask_others)
            co_return answer;
        const auto places = read_places(answer.value);
        search.hear_of(places.version);
        search.raise_version();
        learn(places, search, [&](shard_id shard) {
            return is_cell_of_pool(call.record->spec) ||
                   !is_same_pool_shard(shard, target);
        });
        search.mark_asked({target});
        if (search.unasked().empty())
            co_return shard_answer{shard_outcome::rejected, {}};
    }
}

std::chrono::milliseconds caller_front::request_scope::time_left() const
{
    return std::max<std::chrono::milliseconds>(
        deadline - read_clocks().steady, 1ms);
}

queue_places caller_front::read_places(std::string_view encoded)
{
    auto places = decode_queue_places(encoded);
    if (!places)
        context_.log.write(
            "front", "places_unreadable",
            log_line().add("bytes", std::uint64_t{encoded.size()}));
    return std::move(places).value_or(queue_places{});
}

void caller_front::learn(
    const queue_places& places, place_search& search,
    const std::function<bool(shard_id)>& may_have)
{
    const auto before = search.unasked().size();
    for (const auto& place : places.places)
        if (may_have(place.shard))
            search.add(place.shard);
    const auto unasked = search.unasked().size();
    if (unasked == before)
        return;
    router_.learn_owners(places);
    context_.metrics.get_counter("tack_places_learned_total").add();
    context_.log.write(
        "front", "places_learned",
        log_line()
            .add("configuration", table_->version)
            .add("owner_version", places.version)
            .add("places", std::uint64_t{places.places.size()})
            .add("unasked", std::uint64_t{unasked})
            .add(
                "registry_age_ms",
                (read_clocks().steady - router_.shards().read_as_of())
                    .count()));
}

shard_id caller_front::shard_in(const request_scope& scope, cell_id cell) const
{
    return shard_of(
        scope.queue.terms.pool, cell, context_.settings.store.partitions);
}

std::vector<shard_id>
caller_front::former_shards(const request_scope& scope) const
{
    auto shards = router_.shards().shards_with(scope.queue.terms.queue);
    std::erase_if(shards, [&](shard_id shard) {
        return shard == shard_in(scope, cell_of_shard(shard));
    });
    return shards;
}

asio::awaitable<shard_answer> caller_front::ask_places(
    request_scope& scope, const shard_call& call, place_search& search)
{
    const auto shards = search.unasked();
    std::vector<shard_call> calls;
    std::ranges::transform(
        shards, std::back_inserter(calls), [&](shard_id shard) {
            auto copy = call;
            copy.shard = shard;
            return copy;
        });
    const auto answers = co_await router_.ask_all(
        std::move(calls), scope.time_left(), owner_reach_timeout);
    shard_answer undecided{shard_outcome::not_found, {}};
    for (std::size_t i = 0; i < shards.size(); ++i)
    {
        if (answers[i].outcome == shard_outcome::not_found)
            continue;
        scope.shard = shards[i];
        undecided = answers[i];
        if (undecided.outcome == shard_outcome::done ||
            undecided.outcome == shard_outcome::withdrawn)
            break;
    }
    search.mark_asked(shards);
    for (const auto& answer : answers)
        if (answer.outcome == shard_outcome::not_found)
        {
            const auto places = read_places(answer.value);
            search.hear_of(places.version);
            learn(places, search, is_any_shard);
        }
    co_return undecided;
}

// The last cell names the places: an owner has to read the registry for that,
// which would hold up the search in the cells.
asio::awaitable<shard_answer> caller_front::ask_cells(
    request_scope& scope, shard_call call, std::uint64_t queue)
{
    const auto cells =
        candidate_cells(scope.layout, call.submission, scope.queue.terms.pool);
    shard_answer answer;
    for (const auto cell : cells)
    {
        scope.shard = shard_in(scope, cell);
        auto copy = call;
        copy.shard = scope.shard;
        copy.queue = cell == cells.back() ? queue : 0;
        answer = co_await router_.ask(
            std::move(copy), scope.time_left(), owner_reach_timeout);
        if (answer.outcome != shard_outcome::not_found)
            break;
    }
    co_return answer;
}

asio::awaitable<shard_answer>
caller_front::find_state(request_scope& scope, std::uint64_t id)
{
    shard_call call{shard_call::verb::state, 0, id, {}, {}};
    auto answer = co_await ask_cells(scope, call, scope.queue.terms.queue);
    if (answer.outcome != shard_outcome::not_found)
        co_return answer;
    place_search search(scope.queue.terms.version);
    for (cell_id cell = 0; cell < scope.layout.cells; ++cell)
        search.mark_asked({shard_in(scope, cell)});
    std::ranges::for_each(
        former_shards(scope), [&](shard_id shard) { search.add(shard); });
    learn(read_places(answer.value), search, is_any_shard);
    if (search.unasked().empty())
        co_return answer;
    co_return co_await ask_places(scope, call, search);
}

// A submission that no cell has may still be on its way here, so that each
// shard that could accept it has to know of the cancelling.
asio::awaitable<shard_answer>
caller_front::withdraw(request_scope& scope, std::uint64_t id)
{
    shard_call call{shard_call::verb::cancel, 0, id, {}, {}};
    auto answer = co_await ask_cells(scope, call, 0);
    if (answer.outcome != shard_outcome::not_found)
        co_return answer;
    call.kind = shard_call::verb::withdraw;
    call.name = scope.account;
    call.queue = scope.queue.terms.queue;
    place_search search(scope.queue.terms.version);
    for (cell_id cell = 0; cell < scope.layout.cells; ++cell)
        search.add(shard_in(scope, cell));
    std::ranges::for_each(
        former_shards(scope), [&](shard_id shard) { search.add(shard); });
    while (answer.outcome == shard_outcome::not_found &&
           !search.unasked().empty())
        answer = co_await ask_places(scope, call, search);
    co_return answer;
}

asio::awaitable<http_response> caller_front::state(request_scope& scope)
{
    const auto id = parse_submission_name(scope.path_suffix);
    if (!id)
        co_return submission_not_found(malformed_id_detail(scope.path_suffix));
    const auto answer = co_await find_state(scope, *id);
    const auto phase = phase_of(answer.value);
    if (answer.outcome == shard_outcome::done && phase)
        co_return platform::encode_state(*phase);
    if (answer.outcome == shard_outcome::not_found)
        co_return submission_not_found(
            "it was never accepted, or its state is no longer kept");
    co_return owner_error_response(answer, scope);
}

asio::awaitable<http_response> caller_front::cancel(request_scope& scope)
{
    const auto id = parse_submission_name(scope.path_suffix);
    if (!id)
        co_return submission_not_found(malformed_id_detail(scope.path_suffix));
    const auto answer = co_await withdraw(scope, *id);
    if (answer.outcome == shard_outcome::done)
        co_return make_response(http::status::ok, "application/json", "{}");
    if (answer.outcome == shard_outcome::not_found)
        co_return submission_not_found(
            "it was never accepted, or its state is no longer kept");
    co_return owner_error_response(answer, scope);
}

asio::awaitable<http_response> caller_front::pending(const request_scope& scope)
{
    place_search search(scope.queue.terms.version);
    for (cell_id cell = 0; cell < scope.layout.cells; ++cell)
        search.add(shard_in(scope, cell));
    std::ranges::for_each(
        former_shards(scope), [&](shard_id shard) { search.add(shard); });
    std::size_t sum = 0;
    for (auto shards = search.unasked(); !shards.empty();
         shards = search.unasked())
    {
        std::vector<shard_call> calls;
        std::ranges::transform(
            shards, std::back_inserter(calls), [&](shard_id shard) {
                return shard_call{
                    shard_call::verb::pending, shard, 0,
                    scope.queue.terms.route,   {},    scope.queue.terms.queue};
            });
        search.mark_asked(shards);
        const auto answers = co_await router_.ask_all(
            std::move(calls), scope.time_left(), owner_reach_timeout);
        for (const auto& answer : answers)
        {
            std::size_t number = 0;
            const std::string_view value = answer.value;
            const auto end = std::min(value.find('\n'), value.size());
            const auto parsed =
                std::from_chars(value.data(), value.data() + end, number);
            if (answer.outcome != shard_outcome::done ||
                parsed.ec != std::errc())
                co_return owner_error_response(answer, scope);
            sum += number;
            learn(
                read_places(value.substr(std::min(end + 1, value.size()))),
                search, is_any_shard);
        }
    }
    co_return platform::encode_pending(sum);
}

} // namespace dandeliontack
