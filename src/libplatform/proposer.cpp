#include <dandeliontack/pause.hpp>
#include <dandeliontack/proposer.hpp>
#include <dandeliontack/record_codec.hpp>

#include <boost/asio.hpp>

#include <algorithm>
#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;

namespace
{

constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t largest_batch = 256;
constexpr auto shortest_backoff = std::chrono::milliseconds(20);
constexpr auto longest_backoff = std::chrono::milliseconds(2000);

std::chrono::sys_time<std::chrono::milliseconds> now()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

} // namespace

proposer::proposer(
    asio::any_io_executor executor, log_client& log, log_stream stream,
    incarnation writer, metric_registry& metrics)
    : log_(log),
      stream_(stream),
      writer_(writer),
      metrics_(metrics),
      wake_(executor)
{}

std::uint64_t proposer::propose(event_body body, std::uint64_t term)
{
    event e;
    e.origin.writer = writer_;
    e.origin.sequence = ++sequence_;
    e.origin.term = term;
    e.time = now();
    e.body = std::move(body);
    queue_.push_back(encode_record(e));
    wake_.cancel();
    return sequence_;
}

void proposer::stop()
{
    stopped_ = true;
    wake_.cancel();
}

asio::awaitable<bool> proposer::append_batch(std::size_t count)
{
    const auto end = queue_.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<std::string> batch(queue_.begin(), end);
    const auto result = co_await log_.append(stream_, std::move(batch));
    if (std::holds_alternative<appended>(result))
    {
        metrics_.get_counter("tack_log_appends_total").add();
        queue_.erase(
            queue_.begin(),
            queue_.begin() + static_cast<std::ptrdiff_t>(count));
        co_return true;
    }
    const bool unknown = std::holds_alternative<append_unknown>(result);
    metrics_
        .get_counter(
            unknown ? "tack_log_appends_unknown_total"
                    : "tack_log_appends_refused_total")
        .add();
    co_return false;
}

asio::awaitable<void> proposer::run()
{
    auto backoff = shortest_backoff;
    // The batch keeps its size while it is sent again, so that records with
    // an unknown outcome always go before newer ones.
    std::size_t batch = 0;
    while (!stopped_)
    {
        if (queue_.empty())
        {
            wake_.expires_at(asio::steady_timer::time_point::max());
            co_await wake_.async_wait(no_throw);
            continue;
        }
        if (batch == 0)
            batch = std::min(queue_.size(), largest_batch);
        const bool confirmed = co_await append_batch(batch);
        if (confirmed)
        {
            batch = 0;
            backoff = shortest_backoff;
            continue;
        }
        co_await pause_for(wake_.get_executor(), backoff);
        backoff =
            std::min(backoff * 2, std::chrono::milliseconds(longest_backoff));
    }
}

} // namespace dandeliontack
