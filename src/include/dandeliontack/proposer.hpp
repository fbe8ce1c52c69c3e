#pragma once

#include <dandeliontack/event.hpp>
#include <dandeliontack/incarnation.hpp>
#include <dandeliontack/log_client.hpp>
#include <dandeliontack/metrics.hpp>

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>

namespace dandeliontack
{

/// Appends events to one stream of the log as one writer. What gathers while
/// an append is under way goes with the next one. A batch whose outcome is
/// unknown or refused is sent again unchanged, before anything newer, until
/// the log answers; the reducer drops second copies by their sequence.
class proposer
{
public:
    /// `log` and `metrics` must outlive the proposer.
    proposer(
        boost::asio::any_io_executor executor, log_client& log,
        log_stream stream, incarnation writer, metric_registry& metrics);

    /// Queues an event and returns the sequence it got.
    std::uint64_t propose(event_body body, std::uint64_t term = 0);

    /// Appends until cancelled or `stop`.
    boost::asio::awaitable<void> run();
    void stop();

    /// Records queued or under way.
    std::size_t backlog() const
    {
        return queue_.size();
    }
    const incarnation& writer() const
    {
        return writer_;
    }

private:
    boost::asio::awaitable<bool> append_batch(std::size_t count);

    log_client& log_;
    log_stream stream_;
    incarnation writer_;
    metric_registry& metrics_;
    boost::asio::steady_timer wake_;
    std::deque<std::string> queue_;
    std::uint64_t sequence_ = 0;
    bool stopped_ = false;
};

} // namespace dandeliontack
