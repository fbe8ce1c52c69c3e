#pragma once

#include <dandeliontack/boot_clock.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>

namespace dandeliontack
{

/// How a call to a service ended.
enum class call_result : std::uint8_t
{
    answered,
    /// The service is overloaded and did nothing.
    refused,
    /// No answer within the timeout.
    unanswered
};

/// Limits the calls to a service that handles one call of a caller after the
/// other. A call that is given up has to wait again at the end of the service's
/// queue, so few calls are made at a time, each is given the time that the
/// service says it needs, and failures are followed by a pause with jitter.
/// Does no I/O and reads no clock. Not thread-safe.
class call_limiter
{
public:
    struct bounds
    {
        /// Calls in flight: one that is handled and one that waits behind it.
        std::size_t in_flight = 2;
        /// Allowance for the network and the processors at both ends.
        std::chrono::milliseconds slack{500};
        /// The longest wait for an answer.
        std::chrono::milliseconds max_timeout{20'000};
        /// The pause after the first failure, which doubles with each failure
        /// in a row.
        std::chrono::milliseconds min_pause{100};
        std::chrono::milliseconds max_pause{2000};
    };

    call_limiter(bounds limits, std::uint64_t seed);

    /// Time until a call may be made; 0 if now. `max_pause` while as many calls
    /// as allowed are in flight.
    std::chrono::milliseconds wait(boot_time now) const;
    bool may_call(boot_time now) const;

    /// Counts a call that the service needs `need` to handle, and returns its
    /// timeout.
    std::chrono::milliseconds begin(std::chrono::milliseconds need);
    /// The call ended, `took` after it began.
    void
    end(call_result result, std::chrono::milliseconds need,
        std::chrono::milliseconds took, boot_time now);

    std::size_t in_flight() const;

private:
    std::size_t allowed() const;

    bounds limits_;
    std::mt19937_64 random_;
    std::size_t in_flight_ = 0;
    /// Sum of what the calls in flight need.
    std::chrono::milliseconds needed_{0};
    unsigned failures_ = 0;
    boot_time paused_until_;
    /// Smoothed ratio of an answer's time to the time that the service said.
    double slowness_ = 1;
};

} // namespace dandeliontack
