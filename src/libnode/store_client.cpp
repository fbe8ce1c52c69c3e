#include <dandeliontack/append_split.hpp>
#include <dandeliontack/pause.hpp>
#include <dandeliontack/store_client.hpp>

#include <boost/asio.hpp>
#include <platform/store_codec.hpp>

#include <algorithm>
#include <deque>
#include <iterator>
#include <random>
#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;

namespace
{

using namespace std::chrono_literals;

// Until a response begins. Exceeds the latency of a store that is sixty times
// slower than usual.
constexpr auto call_timeout = 1000ms;
// A page of 1 MB takes 4 s on a link of 2 Mbit/s that nothing else uses, and
// longer beside other calls. A link that has gone silent is noticed by the
// stall.
constexpr body_time response_time{.stall = 1000ms, .longest = 15'000ms};
// Exceeds the latency of a store that slows down by a factor of fifty from its
// usual 4 ms. The store handles the appends of a partition one after the other,
// so an earlier retry would delay the next append. Two such timeouts in a row
// are shorter than `lease_terms::claim_validity`, the time for which a shard
// owner may act without a stored append.
constexpr auto min_append_timeout = 300ms;
// 2 Mbit/s, the narrowest link that nodes are made for.
constexpr std::uint64_t narrow_link_bytes_per_ms = 250;
// Pauses between the attempts of an append; they double up to the maximum.
constexpr auto first_pause = 30ms;
constexpr auto max_pause = 500ms;
constexpr std::uint64_t max_claim_attempts = 10;
// Pause after a page that failed.
constexpr auto load_pause = 150ms;

boot_time now_steady()
{
    return read_clocks().steady;
}

// Random, so that two writers that claim the same epoch start with different
// sequence numbers.
std::uint64_t random_sequence()
{
    static std::mt19937_64 source(std::random_device{}());
    constexpr std::uint64_t max_sequence = 1'000'000'000;
    return std::uniform_int_distribution<std::uint64_t>(1, max_sequence)(
        source);
}

std::chrono::milliseconds jittered(std::chrono::milliseconds pause)
{
    static std::mt19937 source(std::random_device{}());
    return std::chrono::milliseconds(
        std::uniform_int_distribution<std::int64_t>(
            pause.count() / 2, pause.count())(source));
}

} // namespace

std::chrono::milliseconds narrow_link_time(std::uint64_t bytes)
{
    constexpr std::uint64_t flows = 2;
    return std::chrono::milliseconds(flows * bytes / narrow_link_bytes_per_ms);
}

store_client::store_client(node_context& context)
    : context_(context),
      address_(to_string(context.settings.store.address)),
      append_times_({.least = min_append_timeout, .most = call_timeout})
{}

std::chrono::milliseconds store_client::append_latency_estimate() const
{
    return append_times_.timeout(0);
}

boot_time store_client::last_success() const
{
    return last_success_;
}

void store_client::record_result(bool answered, const std::string& reason)
{
    const auto now = now_steady();
    if (answered)
    {
        last_success_ = now;
        if (unavailable_since_)
            context_.log.write(
                "store", "store_regained",
                log_line().add("away_ms", (now - *unavailable_since_).count()));
        unavailable_since_.reset();
        return;
    }
    context_.metrics.get_counter("tack_store_failures_total").add();
    if (unavailable_since_)
        return;
    unavailable_since_ = now;
    context_.log.write(
        "store", "store_lost",
        log_line()
            .add("reason", reason)
            .add("last_success_age_ms", (now - last_success_).count()));
}

// A response that was cut off tells a narrow link from a store that does not
// answer, which `store_lost` reports.
void store_client::log_partial_response(
    std::string_view call, const topic_partition& place,
    std::chrono::milliseconds took, const exchange_error& error)
{
    if (error.received == 0)
        return;
    context_.metrics.get_counter("tack_store_partial_bytes_total")
        .add(error.received);
    context_.log.write(
        "store", "response_cut_off",
        log_line()
            .add("call", call)
            .add("topic", place.topic)
            .add("partition", place.partition)
            .add("received_bytes", error.received)
            .add("took_ms", took.count())
            .add("reason", error.reason));
}

asio::awaitable<exchange_result> store_client::call(
    http_request request, std::chrono::milliseconds timeout, body_time limits)
{
    context_.metrics.get_counter("tack_store_calls_total").add();
    const auto sent = now_steady();
    auto result = co_await context_.connections.exchange(
        context_.settings.store.address, std::move(request), timeout, {},
        limits);
    context_.metrics.get_summary("tack_store_call_seconds")
        .record(now_steady() - sent);
    co_return result;
}

asio::awaitable<append_answer>
store_client::append(append_call to_append, unsigned attempts)
{
    auto request = platform::encode_append(address_, to_append);
    const auto timeout = std::max(
        append_times_.timeout(attempts),
        narrow_link_time(request.body().size()));
    const auto sent = now_steady();
    auto result = co_await call(std::move(request), timeout, response_time);
    append_answer answer;
    if (const auto* error = std::get_if<exchange_error>(&result))
    {
        answer.outcome = error->result == outcome::not_run
                             ? append_outcome::refused
                             : append_outcome::unknown;
        answer.reason = error->reason;
    }
    else
    {
        answer = platform::decode_append(std::get<http_response>(result));
        if (answer.outcome == append_outcome::stored)
            append_times_.observe(now_steady() - sent);
    }
    record_result(
        answer.outcome != append_outcome::refused &&
            answer.outcome != append_outcome::unknown,
        answer.reason);
    co_return answer;
}

asio::awaitable<read_answer>
store_client::read(topic_partition place, std::uint64_t from, read_terms terms)
{
    auto request = platform::encode_read(address_, place, from, terms);
    const auto sent = now_steady();
    auto result = co_await call(
        std::move(request), call_timeout + terms.wait, response_time);
    read_answer answer;
    if (const auto* error = std::get_if<exchange_error>(&result))
    {
        answer.reason = error->reason;
        log_partial_response("read", place, now_steady() - sent, *error);
    }
    else
        answer = platform::decode_read(std::get<http_response>(result));
    record_result(answer.answered, answer.reason);
    co_return answer;
}

asio::awaitable<newest_page> store_client::newest(
    topic_partition place, std::string after,
    std::optional<std::chrono::milliseconds> longest)
{
    auto request = platform::encode_newest(address_, place, after);
    const auto sent = now_steady();
    auto limits = response_time;
    limits.longest = std::min(longest.value_or(limits.longest), limits.longest);
    const auto timeout =
        std::min<std::chrono::milliseconds>(call_timeout, limits.longest);
    auto result = co_await call(std::move(request), timeout, limits);
    newest_page page;
    if (const auto* error = std::get_if<exchange_error>(&result))
    {
        page.reason = error->reason;
        log_partial_response("newest", place, now_steady() - sent, *error);
    }
    else
        page = platform::decode_newest(std::get<http_response>(result));
    record_result(page.answered, page.reason);
    co_return page;
}

asio::awaitable<std::optional<std::vector<keyed_record>>>
store_client::load(topic_partition place, std::chrono::milliseconds longest)
{
    const auto deadline = now_steady() + longest;
    std::vector<keyed_record> records;
    std::string after;
    while (now_steady() < deadline)
    {
        auto page = co_await newest(place, after, deadline - now_steady());
        if (!page.answered)
        {
            co_await pause_for(context_.executor, load_pause);
            continue;
        }
        const bool is_last = !page.has_more || page.records.empty();
        std::ranges::move(page.records, std::back_inserter(records));
        if (is_last)
            co_return records;
        after = records.back().key;
    }
    co_return std::nullopt;
}

fenced_writer::fenced_writer(
    node_context& context, store_client& store, topic_partition place,
    std::string producer)
    : context_(context),
      store_(store),
      place_(std::move(place)),
      producer_(std::move(producer))
{}

std::uint64_t fenced_writer::epoch() const
{
    return epoch_;
}

fenced_writer::state fenced_writer::current_state() const
{
    return state_;
}

std::optional<boot_time> fenced_writer::failing_since() const
{
    return failing_since_;
}

bool fenced_writer::may_be_stored() const
{
    return may_be_stored_;
}

boot_time fenced_writer::last_stored_sent_at() const
{
    return last_stored_sent_at_;
}

void fenced_writer::abandon()
{
    state_ = state::lost;
}

// Retries an append under the same sequence number until its outcome is known
// or `retry_time` has passed.
asio::awaitable<append_outcome> fenced_writer::append_with_retries(
    append_call call, std::chrono::milliseconds retry_time)
{
    const auto started = now_steady();
    std::chrono::milliseconds pause = first_pause;
    unsigned attempts = 0;
    may_be_stored_ = false;
    while (state_ != state::lost)
    {
        const auto sent = now_steady();
        auto copy = call;
        const auto answer = co_await store_.append(std::move(copy), attempts++);
        switch (answer.outcome)
        {
        case append_outcome::stored:
            last_stored_sent_at_ = sent;
            may_be_stored_ = false;
            failing_since_.reset();
            co_return answer.outcome;
        case append_outcome::fenced:
        case append_outcome::wrong_sequence:
        case append_outcome::unexpected_end:
        case append_outcome::invalid:
            co_return answer.outcome;
        default:
            failing_since_ = failing_since_.value_or(sent);
            may_be_stored_ =
                may_be_stored_ || answer.outcome == append_outcome::unknown;
            if (now_steady() - started > retry_time)
                co_return answer.outcome;
            break;
        }
        co_await pause_for(context_.executor, jittered(pause));
        pause = std::min<std::chrono::milliseconds>(pause * 2, max_pause);
    }
    co_return append_outcome::unknown;
}

asio::awaitable<bool> fenced_writer::claim(
    std::uint64_t last, std::vector<keyed_record> records,
    std::chrono::milliseconds retry_time, bool force)
{
    state_ = state::idle;
    epoch_ = last;
    std::uint64_t step = 1;
    for (std::uint64_t attempt = 0; attempt < max_claim_attempts; ++attempt)
    {
        epoch_ += step;
        step *= 2;
        // A claim of the same epoch keeps its sequence number: the earlier one
        // may have been stored although its response was lost.
        if (std::exchange(last_claim_epoch_, epoch_) != epoch_)
            sequence_ = random_sequence();
        append_call call{
            place_, records, append_writer{producer_, epoch_, sequence_}, {}};
        const auto result =
            co_await append_with_retries(std::move(call), retry_time);
        if (result == append_outcome::stored)
        {
            state_ = state::held;
            co_return true;
        }
        const bool taken = result == append_outcome::fenced ||
                           result == append_outcome::wrong_sequence;
        if (!force || !taken)
            co_return false;
    }
    co_return false;
}

asio::awaitable<bool> fenced_writer::append(std::vector<keyed_record> records)
{
    refused_keys_.clear();
    std::deque<std::vector<keyed_record>> calls;
    std::ranges::move(
        split_by_size(std::move(records), context_.settings.store.call_bytes),
        std::back_inserter(calls));
    while (!calls.empty())
    {
        if (state_ != state::held)
            co_return false;
        const auto batch = std::move(calls.front());
        calls.pop_front();
        append_call call{
            place_, batch, append_writer{producer_, epoch_, sequence_ + 1}, {}};
        constexpr auto unlimited_retry_time = std::chrono::hours(24);
        const auto result =
            co_await append_with_retries(std::move(call), unlimited_retry_time);
        if (result == append_outcome::stored)
        {
            ++sequence_;
            continue;
        }
        if (result != append_outcome::invalid)
        {
            state_ = state::lost;
            co_return false;
        }
        isolate_refused(batch, calls);
    }
    co_return true;
}

// The store refuses a call for good. Its halves are tried on their own, until
// each record that can be stored is, and the others are known.
void fenced_writer::isolate_refused(
    const std::vector<keyed_record>& batch,
    std::deque<std::vector<keyed_record>>& calls)
{
    if (batch.size() > 1)
    {
        const auto middle =
            batch.begin() + static_cast<std::ptrdiff_t>(batch.size() / 2);
        calls.emplace_front(middle, batch.end());
        calls.emplace_front(batch.begin(), middle);
        return;
    }
    const auto& record = batch.front();
    refused_keys_.push_back(record.key);
    context_.metrics.get_counter("tack_store_records_refused_total").add();
    context_.log.write(
        "store", "record_refused",
        log_line()
            .add("topic", place_.topic)
            .add("partition", place_.partition)
            .add("key", record.key)
            .add("bytes", std::uint64_t{stored_size(record)})
            .add("limit", context_.settings.store.record_bytes));
}

const std::vector<std::string>& fenced_writer::refused_keys() const
{
    return refused_keys_;
}

} // namespace dandeliontack
