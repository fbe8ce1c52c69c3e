#include <dandeliontack/deflated_text.hpp>
#include <dandeliontack/shard_router.hpp>
#include <dandeliontack/spawn.hpp>
#include <dandeliontack/store_client.hpp>

#include <boost/asio.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

using namespace std::chrono_literals;

// Timeout of one attempt to call an owner, unless the call is large, and the
// delay before the next.
constexpr auto attempt_timeout = 900ms;
constexpr auto retry_delay = 60ms;
// Timeout of a message about an owner, which is not repeated.
constexpr auto tell_timeout = 500ms;
// Timeout of a question to a node about its version, asked in rounds.
constexpr auto version_timeout = 400ms;
// Until a configuration begins to arrive, which its sender may have to deflate
// first, and for its bytes: 100 KB take 0.4 s on a link of 2 Mbit/s that
// nothing else uses.
constexpr auto fetch_timeout = 800ms;
constexpr body_time fetch_time{.stall = 800ms, .longest = 2000ms};
constexpr auto longest_timeout = 60s;
// Several times what the store takes in one call.
constexpr std::size_t max_configuration_bytes = 16 * 1024 * 1024;
constexpr int http_version = 11;
constexpr std::size_t path_segments = 3;
constexpr std::string_view queue_field = "Tack-Queue";
constexpr std::string_view asked_field = "Tack-Asked";
constexpr std::string_view timeout_field = "Tack-Timeout-Ms";

struct verb_row
{
    shard_call::verb kind;
    std::string_view name;
};
constexpr std::array verbs{
    verb_row{shard_call::verb::submit, "submit"},
    verb_row{shard_call::verb::find, "find"},
    verb_row{shard_call::verb::cancel, "cancel"},
    verb_row{shard_call::verb::withdraw, "withdraw"},
    verb_row{shard_call::verb::state, "state"},
    verb_row{shard_call::verb::pending, "pending"},
    verb_row{shard_call::verb::evacuate, "evacuate"},
    verb_row{shard_call::verb::host_ended, "host-ended"},
    verb_row{shard_call::verb::demands, "demands"},
    verb_row{shard_call::verb::announce, "announce"},
    verb_row{shard_call::verb::owner_changed, "owner-changed"},
    verb_row{shard_call::verb::configuration_version, "configuration-version"},
    verb_row{shard_call::verb::configuration, "configuration"}};

struct outcome_row
{
    shard_outcome outcome;
    http::status status;
};
constexpr std::array outcomes{
    outcome_row{shard_outcome::done, http::status::ok},
    outcome_row{shard_outcome::not_found, http::status::not_found},
    outcome_row{shard_outcome::not_owner, http::status::misdirected_request},
    outcome_row{shard_outcome::unknown, http::status::gateway_timeout},
    outcome_row{shard_outcome::rejected, http::status::service_unavailable},
    outcome_row{shard_outcome::ask_others, http::status::precondition_failed},
    outcome_row{shard_outcome::withdrawn, http::status::gone}};

// The path is `/VERB/SHARD/SUBMISSION`, the body an encoded submission record
// or the call's `name`. Fields hold what was added later, so that nodes of
// earlier versions can read the rest.
http_request encode_call(const std::string& address, const shard_call& call)
{
    const auto* verb = std::ranges::find(verbs, call.kind, &verb_row::kind);
    const auto target = "/" + std::string(verb->name) + "/" +
                        std::to_string(call.shard) + "/" +
                        submission_name(call.submission);
    http_request request(http::verb::post, target, http_version);
    request.set(http::field::host, address);
    if (call.queue != 0)
        request.set(queue_field, std::to_string(call.queue));
    if (call.kind == shard_call::verb::submit)
        request.set(asked_field, encode(call.asked));
    request.body() = call.record ? encode(*call.record) : call.name;
    request.prepare_payload();
    return request;
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t number = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return number;
}

// Whether the fields are valid or not there.
bool decode_fields(const http_request& request, shard_call& call)
{
    const auto queue = request[queue_field];
    const auto asked = request[asked_field];
    const auto timeout = request[timeout_field];
    const auto number = parse_number({queue.data(), queue.size()});
    const auto limit = parse_number({timeout.data(), timeout.size()});
    auto shards = decode_asked_shards({asked.data(), asked.size()});
    if ((!queue.empty() && !number) || (!asked.empty() && !shards) ||
        (!timeout.empty() && !limit))
        return false;
    call.timeout = std::min<std::chrono::milliseconds>(
        std::chrono::milliseconds(limit.value_or(0)), longest_timeout);
    call.queue = number.value_or(0);
    call.asked = std::move(shards).value_or(asked_shards{});
    return true;
}

std::optional<shard_call> decode_call(const http_request& request)
{
    std::array<std::string_view, path_segments> parts;
    std::string_view rest(request.target().data(), request.target().size());
    for (auto& part : parts)
    {
        if (rest.empty() || rest.front() != '/')
            return std::nullopt;
        rest.remove_prefix(1);
        part = rest.substr(0, rest.find('/'));
        rest.remove_prefix(part.size());
    }
    shard_call call;
    const auto* verb = std::ranges::find(verbs, parts[0], &verb_row::name);
    const auto* end = parts[1].data() + parts[1].size();
    const auto id = parse_submission_name(parts[2]);
    const auto parsed = std::from_chars(parts[1].data(), end, call.shard);
    if (verb == verbs.end() || parsed.ec != std::errc() || parsed.ptr != end ||
        !id)
        return std::nullopt;
    call.kind = verb->kind;
    call.submission = *id;
    if (!decode_fields(request, call))
        return std::nullopt;
    if (call.kind != shard_call::verb::submit &&
        call.kind != shard_call::verb::find)
    {
        call.name = request.body();
        return call;
    }
    auto record = decode_submission_record(request.body());
    if (!record)
        return std::nullopt;
    call.record = std::make_shared<const submission_record>(std::move(*record));
    return call;
}

// `VERSION AGE`, the age in milliseconds.
std::string encode_version(const configuration_relay& source, boot_time now)
{
    return std::to_string(source.version()) + " " +
           std::to_string(source.age(now).count());
}

// The age counts from when the question was sent, as the answer may have been
// delayed.
std::optional<peer_version>
decode_version(std::string_view text, node_announcement node, boot_time sent)
{
    const auto space = text.find(' ');
    if (space == std::string_view::npos)
        return std::nullopt;
    const auto version = parse_number(text.substr(0, space));
    const auto age = parse_number(text.substr(space + 1));
    if (!version || !age)
        return std::nullopt;
    return peer_version{
        std::move(node), *version, sent - std::chrono::milliseconds(*age)};
}

// A retry would begin with the first byte again.
std::chrono::milliseconds attempt_time(std::uint64_t bytes)
{
    return std::max<std::chrono::milliseconds>(
        attempt_timeout, narrow_link_time(bytes));
}

http_response malformed_call()
{
    return make_problem(
        http::status::bad_request, outcome::not_run, "malformed call",
        "the path must be /VERB/SHARD/SUBMISSION, with a body that matches "
        "the verb");
}

shard_answer decode_answer(const http_response& response)
{
    const auto* row =
        std::ranges::find(outcomes, response.result(), &outcome_row::status);
    if (row == outcomes.end())
        return {shard_outcome::unknown, {}};
    if (row->outcome == shard_outcome::rejected)
        return {row->outcome, {}, decode_submission_refusal(response.body())};
    return {row->outcome, response.body()};
}

} // namespace

shard_router::shard_router(node_context& context, shard_map& shards)
    : context_(context), shards_(shards), owner_changed_(context.executor)
{}

void shard_router::add_owner(std::shared_ptr<shard_owner> owner)
{
    const auto shard = owner->shard();
    owners_[shard] = std::move(owner);
    owner_changed_.notify();
}

void shard_router::remove_owner(shard_id shard)
{
    owners_.erase(shard);
}

const std::map<shard_id, std::shared_ptr<shard_owner>>&
shard_router::owners() const
{
    return owners_;
}

void shard_router::notify_owner_change()
{
    owner_changed_.notify();
}

asio::awaitable<void>
shard_router::wait_for_owner_change(std::chrono::milliseconds longest)
{
    co_await owner_changed_.wait(longest);
}

void shard_router::tell_nodes(shard_id shard, const owner_record& owner)
{
    shards_.apply({owner_key(shard), encode(owner), 0}, read_clocks());
    owner_changed_.notify();
    for (const auto& node : shards_.alive_nodes(read_clocks().steady))
        if (node.process_incarnation != context_.process_incarnation)
            spawn(
                context_, "owner news",
                tell_node(
                    node.address, {shard_call::verb::owner_changed,
                                   shard,
                                   0,
                                   encode(owner),
                                   {}}));
}

asio::awaitable<void>
shard_router::tell_node(std::string address, shard_call call)
{
    const auto peer = parse_endpoint(address);
    if (!peer)
        co_return;
    // A node that this does not reach reads the same in the registry.
    co_await context_.connections.exchange(
        *peer, encode_call(address, call), tell_timeout);
}

void shard_router::set_configuration_source(configuration_relay& source)
{
    configuration_source_ = &source;
}

asio::awaitable<std::optional<peer_version>>
shard_router::ask_version(node_announcement node)
{
    const auto peer = parse_endpoint(node.address);
    if (!peer)
        co_return std::nullopt;
    const shard_call call{
        shard_call::verb::configuration_version, 0, 0, {}, {}};
    const auto sent = read_clocks().steady;
    auto result = co_await context_.connections.exchange(
        *peer, encode_call(node.address, call), version_timeout);
    const auto* response = std::get_if<http_response>(&result);
    if (!response || response->result() != http::status::ok)
        co_return std::nullopt;
    co_return decode_version(response->body(), std::move(node), sent);
}

asio::awaitable<std::vector<peer_version>> shard_router::ask_versions(
    std::vector<node_announcement> nodes, std::uint64_t known)
{
    // Outlives this call if a late answer is not waited for.
    struct question_round
    {
        std::vector<peer_version> answers;
        std::size_t unanswered;
        wake_signal answered;
    };
    const auto round = std::make_shared<question_round>(
        question_round{{}, nodes.size(), wake_signal(context_.executor)});
    for (auto& node : nodes)
        asio::co_spawn(
            context_.executor, ask_version(std::move(node)),
            [round](
                const std::exception_ptr& error,
                std::optional<peer_version> answer) {
                if (!error && answer)
                    round->answers.push_back(std::move(*answer));
                --round->unanswered;
                round->answered.notify();
            });
    const auto is_newer = [known](const peer_version& answer) {
        return answer.version > known;
    };
    while (round->unanswered > 0 &&
           std::ranges::none_of(round->answers, is_newer))
        co_await round->answered.wait(version_timeout);
    co_return round->answers;
}

asio::awaitable<peer_configuration>
shard_router::fetch_configuration(node_announcement node, std::uint64_t version)
{
    peer_configuration out;
    const auto peer = parse_endpoint(node.address);
    if (!peer)
    {
        out.reason = "address \"" + node.address + "\" is malformed";
        co_return out;
    }
    const shard_call call{
        shard_call::verb::configuration, 0, 0, std::to_string(version), {}};
    auto result = co_await context_.connections.exchange(
        *peer, encode_call(node.address, call), fetch_timeout, {}, fetch_time);
    if (const auto* error = std::get_if<exchange_error>(&result))
    {
        out.reason = error->reason;
        out.received = error->received;
        co_return out;
    }
    const auto& response = std::get<http_response>(result);
    out.received = response.body().size();
    if (response.result() != http::status::ok)
    {
        out.reason = "status " + std::to_string(response.result_int());
        co_return out;
    }
    auto text = inflate(response.body(), max_configuration_bytes);
    if (text)
        out.encoded = std::move(*text);
    else
        out.reason = "the answer of " + std::to_string(out.received) +
                     " bytes can't be inflated to at most " +
                     std::to_string(max_configuration_bytes) + " bytes";
    co_return out;
}

shard_answer shard_router::answer_configuration(const shard_call& call) const
{
    if (!configuration_source_)
        return {shard_outcome::not_found, {}};
    if (call.kind == shard_call::verb::configuration_version)
        return {
            shard_outcome::done,
            encode_version(*configuration_source_, read_clocks().steady)};
    const auto known = parse_number(call.name);
    const auto* newer =
        known ? configuration_source_->deflated_newer_than(*known) : nullptr;
    if (!newer)
        return {shard_outcome::not_found, {}};
    return {shard_outcome::done, *newer};
}

asio::awaitable<shard_answer>
shard_router::ask_local(shard_owner& owner, shard_call call)
{
    switch (call.kind)
    {
    case shard_call::verb::submit:
        return owner.submit(std::move(call.record), std::move(call.asked));
    case shard_call::verb::find:
        return owner.find(
            call.submission, call.record->account, call.record->terms);
    case shard_call::verb::cancel:
        return owner.cancel(call.submission);
    case shard_call::verb::withdraw:
        return owner.withdraw(
            call.submission, std::move(call.name), call.queue);
    case shard_call::verb::pending:
        return owner.pending(std::move(call.name), call.queue);
    case shard_call::verb::evacuate:
        return owner.evacuate(std::move(call.name));
    case shard_call::verb::host_ended:
        return owner.host_ended(
            decode_host_departure(call.name).value_or(host_departure{}));
    case shard_call::verb::demands:
        return owner.demands(std::move(call.name));
    default:
        return owner.state(call.submission, call.queue);
    }
}

asio::awaitable<shard_answer> shard_router::ask_remote(
    const owner_record& owner, const shard_call& call, http_request request,
    std::chrono::milliseconds timeout)
{
    const auto peer = parse_endpoint(owner.address);
    if (!peer)
        co_return shard_answer{shard_outcome::not_owner, {}};
    const auto deadline = read_clocks().steady + timeout;
    auto result = co_await context_.connections.exchange(
        *peer, std::move(request), timeout,
        [deadline] { return read_clocks().steady <= deadline; });
    const auto* error = std::get_if<exchange_error>(&result);
    if (!error)
        co_return decode_answer(std::get<http_response>(result));
    context_.log.write(
        "router", "owner_unreachable",
        log_line()
            .add("shard", call.shard)
            .add("owner", owner.node)
            .add("epoch", owner.epoch)
            .add("submission", submission_name(call.submission))
            .add("reason", error->reason));
    co_return shard_answer{
        error->result == outcome::not_run ? shard_outcome::not_owner
                                          : shard_outcome::unknown,
        {}};
}

asio::awaitable<shard_answer> shard_router::ask(
    shard_call call, std::chrono::milliseconds total_timeout,
    std::chrono::milliseconds reach_timeout)
{
    const auto began = read_clocks().steady;
    bool may_have_run = false;
    while (true)
    {
        const auto remaining = total_timeout - (read_clocks().steady - began);
        // The process may have been frozen since the last attempt.
        if (remaining <= 0ms)
            co_return shard_answer{
                may_have_run ? shard_outcome::unknown : shard_outcome::rejected,
                {}};
        shard_answer answer{shard_outcome::not_owner, {}};
        const auto local = owners_.find(call.shard);
        if (local != owners_.end() && !local->second->is_lost())
        {
            // Keeps the object alive during the call.
            const auto owner = local->second;
            auto copy = call;
            answer = co_await ask_local(*owner, std::move(copy));
        }
        else if (const auto owner = shards_.owner(call.shard);
                 owner &&
                 owner->process_incarnation != context_.process_incarnation)
        {
            auto request = encode_call(owner->address, call);
            const auto bounded = std::clamp<std::chrono::milliseconds>(
                remaining, 1ms, attempt_time(request.body().size()));
            request.set(timeout_field, std::to_string(bounded.count()));
            answer =
                co_await ask_remote(*owner, call, std::move(request), bounded);
        }
        switch (answer.outcome)
        {
        case shard_outcome::done:
        case shard_outcome::not_found:
        case shard_outcome::ask_others:
        case shard_outcome::withdrawn:
            co_return answer;
        case shard_outcome::rejected:
            // The owner may still accept an earlier attempt that it has not
            // read yet.
            if (may_have_run &&
                answer.refusal.cause != refusal_cause::unavailable)
                answer = shard_answer{shard_outcome::unknown, {}};
            co_return answer;
        case shard_outcome::unknown:
            may_have_run = true;
            break;
        case shard_outcome::not_owner:
            break;
        }
        const auto spent = read_clocks().steady - began;
        if (spent + retry_delay >=
            (may_have_run ? total_timeout
                          : std::min(reach_timeout, total_timeout)))
            co_return shard_answer{
                may_have_run ? shard_outcome::unknown : shard_outcome::rejected,
                {}};
        co_await owner_changed_.wait(retry_delay);
    }
}

asio::awaitable<std::vector<shard_answer>> shard_router::ask_all(
    std::vector<shard_call> calls, std::chrono::milliseconds total_timeout,
    std::chrono::milliseconds reach_timeout)
{
    std::vector<shard_answer> answers(calls.size());
    std::size_t unanswered = calls.size();
    wake_signal done(context_.executor);
    for (std::size_t i = 0; i < calls.size(); ++i)
        asio::co_spawn(
            context_.executor,
            ask(std::move(calls[i]), total_timeout, reach_timeout),
            [&, i](const std::exception_ptr& error, shard_answer answer) {
                answers[i] = error ? shard_answer{shard_outcome::unknown, {}}
                                   : std::move(answer);
                --unanswered;
                done.notify();
            });
    while (unanswered > 0)
        co_await done.wait(attempt_timeout);
    co_return answers;
}

asio::awaitable<shard_answer>
shard_router::ask_once(shard_call call, std::chrono::milliseconds timeout)
{
    const auto owner = shards_.owner(call.shard);
    if (!owner || owner->process_incarnation == context_.process_incarnation)
        co_return shard_answer{shard_outcome::not_owner, {}};
    auto request = encode_call(owner->address, call);
    const auto answer =
        co_await ask_remote(*owner, call, std::move(request), timeout);
    co_return answer;
}

const std::optional<fleet_layout>& shard_router::layout() const
{
    return shards_.layout();
}

const shard_map& shard_router::shards() const
{
    return shards_;
}

void shard_router::learn_owners(const queue_places& places)
{
    for (const auto& place : places.places)
        if (place.owner)
            shards_.apply(
                {owner_key(place.shard), encode(*place.owner), 0},
                read_clocks());
    owner_changed_.notify();
}

bool shard_router::has_pool_owners() const
{
    return shards_.has_pool_owners();
}

void shard_router::set_announcement_store(announcement_store store)
{
    announcement_store_ = std::move(store);
}

asio::awaitable<http_response>
shard_router::serve(http_request request, boot_time arrived)
{
    auto call = decode_call(request);
    if (!call)
        co_return malformed_call();
    const auto waited = read_clocks().steady - arrived;
    if (call->timeout > 0ms && waited >= call->timeout)
    {
        context_.log.write(
            "router", "call_expired",
            log_line()
                .add("shard", call->shard)
                .add("submission", submission_name(call->submission))
                .add("waited_ms", waited.count())
                .add("timeout_ms", call->timeout.count()));
        co_return make_response(
            http::status::misdirected_request, "application/octet-stream", {});
    }
    // The decoded form takes its place.
    std::string().swap(request.body());
    shard_answer answer{shard_outcome::not_owner, {}};
    const auto local = owners_.find(call->shard);
    if (call->kind == shard_call::verb::announce && announcement_store_)
    {
        answer = co_await announcement_store_(std::move(call->name));
    }
    else if (
        call->kind == shard_call::verb::configuration ||
        call->kind == shard_call::verb::configuration_version)
    {
        answer = answer_configuration(*call);
    }
    else if (call->kind == shard_call::verb::owner_changed)
    {
        if (!shards_.apply(
                {owner_key(call->shard), std::move(call->name), 0},
                read_clocks()))
            co_return malformed_call();
        answer.outcome = shard_outcome::done;
        owner_changed_.notify();
    }
    else if (local != owners_.end())
    {
        const auto owner = local->second;
        answer = co_await ask_local(*owner, std::move(*call));
    }
    const auto* row =
        std::ranges::find(outcomes, answer.outcome, &outcome_row::outcome);
    if (answer.outcome == shard_outcome::rejected)
        answer.value = encode(answer.refusal);
    co_return make_response(
        row->status, "application/octet-stream", std::move(answer.value));
}

} // namespace dandeliontack
