#include <dandeliontack/pause.hpp>
#include <dandeliontack/store_client.hpp>

#include <boost/asio.hpp>
#include <platform/store_codec.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;

namespace
{

using namespace std::chrono_literals;

// Above the answer of a store that is sixty times as slow as usual.
constexpr auto call_timeout = 1000ms;
// Above the answer of a store that turns fifty times as slow as its usual 4 ms
// and takes one append of a partition after the other: a repeat before that
// takes the time of the next one. Two in a row stay under an owner's right.
constexpr auto least_append_timeout = 300ms;
// Pauses between repeats of a call; they double up to the longest.
constexpr auto first_pause = 30ms;
constexpr auto longest_pause = 500ms;
constexpr std::uint64_t most_epoch_steps = 10;

boot_time now_steady()
{
    return read_clocks().steady;
}

// A first sequence number that two claimants of one epoch don't share.
std::uint64_t random_sequence()
{
    static std::mt19937_64 source(std::random_device{}());
    constexpr std::uint64_t most = 1'000'000'000;
    return std::uniform_int_distribution<std::uint64_t>(1, most)(source);
}

std::chrono::milliseconds jittered(std::chrono::milliseconds pause)
{
    static std::mt19937 source(std::random_device{}());
    return std::chrono::milliseconds(
        std::uniform_int_distribution<std::int64_t>(
            pause.count() / 2, pause.count())(source));
}

} // namespace

store_client::store_client(node_context& context)
    : context_(context),
      address_(to_string(context.settings.store.address)),
      append_times_({.least = least_append_timeout, .most = call_timeout})
{}

std::chrono::milliseconds store_client::usual_delay() const
{
    return append_times_.timeout(0);
}

boot_time store_client::last_success() const
{
    return last_success_;
}

void store_client::note(bool answered, const std::string& reason)
{
    const auto now = now_steady();
    if (answered)
    {
        last_success_ = now;
        if (lost_since_)
            context_.log.write(
                "store", "store_regained",
                log_line().add("away_ms", (now - *lost_since_).count()));
        lost_since_.reset();
        return;
    }
    context_.metrics.get_counter("tack_store_failures_total").add();
    if (lost_since_)
        return;
    lost_since_ = now;
    context_.log.write(
        "store", "store_lost",
        log_line()
            .add("reason", reason)
            .add("last_success_age_ms", (now - last_success_).count()));
}

asio::awaitable<exchange_result>
store_client::call(http_request request, std::chrono::milliseconds timeout)
{
    context_.metrics.get_counter("tack_store_calls_total").add();
    const auto sent = now_steady();
    auto result = co_await context_.connections.exchange(
        context_.settings.store.address, std::move(request), timeout);
    context_.metrics.get_summary("tack_store_call_seconds")
        .record(now_steady() - sent);
    co_return result;
}

asio::awaitable<append_answer>
store_client::append(append_call to_append, unsigned repeats)
{
    auto request = platform::encode_append(address_, to_append);
    const auto sent = now_steady();
    auto result =
        co_await call(std::move(request), append_times_.timeout(repeats));
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
    note(
        answer.outcome != append_outcome::refused &&
            answer.outcome != append_outcome::unknown,
        answer.reason);
    co_return answer;
}

asio::awaitable<read_answer> store_client::read(
    store_place place, std::uint64_t from, std::chrono::milliseconds wait)
{
    auto request = platform::encode_read(address_, place, from, wait);
    auto result = co_await call(std::move(request), call_timeout + wait);
    read_answer answer;
    if (const auto* error = std::get_if<exchange_error>(&result))
        answer.reason = error->reason;
    else
        answer = platform::decode_read(std::get<http_response>(result));
    note(answer.answered, answer.reason);
    co_return answer;
}

asio::awaitable<newest_page>
store_client::newest(store_place place, std::string after)
{
    auto request = platform::encode_newest(address_, place, after);
    auto result = co_await call(std::move(request), call_timeout);
    newest_page page;
    if (const auto* error = std::get_if<exchange_error>(&result))
        page.reason = error->reason;
    else
        page = platform::decode_newest(std::get<http_response>(result));
    note(page.answered, page.reason);
    co_return page;
}

fenced_writer::fenced_writer(
    node_context& context, store_client& store, store_place place,
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

fenced_writer::state fenced_writer::standing() const
{
    return state_;
}

std::optional<boot_time> fenced_writer::failing_since() const
{
    return failing_since_;
}

bool fenced_writer::is_unclear() const
{
    return unclear_;
}

boot_time fenced_writer::confirmed() const
{
    return confirmed_;
}

void fenced_writer::abandon()
{
    state_ = state::lost;
}

// Repeats a call under one sequence number until its outcome is known.
asio::awaitable<append_outcome>
fenced_writer::settle(append_call call, std::chrono::milliseconds patience)
{
    const auto began = now_steady();
    std::chrono::milliseconds pause = first_pause;
    unsigned repeats = 0;
    unclear_ = false;
    while (state_ != state::lost)
    {
        const auto sent = now_steady();
        auto copy = call;
        const auto answer = co_await store_.append(std::move(copy), repeats++);
        switch (answer.outcome)
        {
        case append_outcome::stored:
            confirmed_ = sent;
            unclear_ = false;
            failing_since_.reset();
            co_return answer.outcome;
        case append_outcome::fenced:
        case append_outcome::wrong_sequence:
        case append_outcome::not_at_end:
            co_return answer.outcome;
        default:
            failing_since_ = failing_since_.value_or(sent);
            unclear_ = unclear_ || answer.outcome == append_outcome::unknown;
            if (now_steady() - began > patience)
                co_return answer.outcome;
            break;
        }
        co_await pause_for(context_.executor, jittered(pause));
        pause = std::min<std::chrono::milliseconds>(pause * 2, longest_pause);
    }
    co_return append_outcome::unknown;
}

asio::awaitable<bool> fenced_writer::claim(
    std::uint64_t last, std::vector<keyed_record> records,
    std::chrono::milliseconds patience, bool insists)
{
    state_ = state::idle;
    epoch_ = last;
    std::uint64_t step = 1;
    for (std::uint64_t tries = 0; tries < most_epoch_steps; ++tries)
    {
        epoch_ += step;
        step *= 2;
        // A claim that is repeated after it was given up keeps its number, as
        // the first may have been stored.
        if (std::exchange(claimed_, epoch_) != epoch_)
            sequence_ = random_sequence();
        append_call call{
            place_, records, append_writer{producer_, epoch_, sequence_}, {}};
        const auto result = co_await settle(std::move(call), patience);
        if (result == append_outcome::stored)
        {
            state_ = state::held;
            co_return true;
        }
        const bool taken = result == append_outcome::fenced ||
                           result == append_outcome::wrong_sequence;
        if (!insists || !taken)
            co_return false;
    }
    co_return false;
}

asio::awaitable<bool> fenced_writer::append(std::vector<keyed_record> records)
{
    if (state_ != state::held)
        co_return false;
    ++sequence_;
    append_call call{
        place_,
        std::move(records),
        append_writer{producer_, epoch_, sequence_},
        {}};
    constexpr auto without_end = std::chrono::hours(24);
    const auto result = co_await settle(std::move(call), without_end);
    if (result == append_outcome::stored)
        co_return true;
    state_ = state::lost;
    co_return false;
}

} // namespace dandeliontack
