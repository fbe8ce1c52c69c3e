#pragma once

#include <dandeliontack/request_class.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>

namespace dandeliontack
{

/// What became of a request that was to wait.
enum class push_result
{
    queued,
    /// Its class's part of the queue is full.
    full,
    /// It would not get a slot before its deadline.
    too_late
};

/// Requests that wait for a slot. Each class has its own bounded part, so that
/// a burst of one can't fill the others'; classes get slots by weight, and
/// within a class the earliest deadline goes first. Reads no clock.
class request_queue
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// `limit` bounds each class's part.
    explicit request_queue(std::size_t limit);

    /// Adds a request. `slot_interval` is the mean time between two slots
    /// that become free; zero where it isn't known.
    push_result push(
        std::uint64_t id, request_class of, time_point deadline, time_point now,
        std::chrono::nanoseconds slot_interval);

    /// Takes the request that is next to get a slot.
    std::optional<std::uint64_t> pop();

    /// Takes out a request that waits no longer. No effect if it isn't there.
    void remove(std::uint64_t id, request_class of, time_point deadline);

    bool empty() const;
    std::size_t size(request_class of) const;

private:
    using waiting = std::pair<time_point, std::uint64_t>;

    std::uint64_t weight_of_waiting() const;

    std::size_t limit_;
    std::array<std::set<waiting>, request_classes> parts_;
    std::array<std::int64_t, request_classes> credit_{};
};

} // namespace dandeliontack
