#pragma once

#include <chrono>

namespace dandeliontack
{

/// How long answers of one peer take, and how long to wait for the next one.
/// The estimate is that of TCP's retransmission timer (RFC 6298): a smoothed
/// time and its deviation. For calls that may be repeated without harm.
class answer_times
{
public:
    struct bounds
    {
        /// Never less: a process whose processor time is a quota may stand
        /// still for a tenth of a second at either end.
        std::chrono::milliseconds least{200};
        /// Never more, however often the call was repeated.
        std::chrono::milliseconds most{1000};
    };

    explicit answer_times(bounds limits);

    /// An answer came after `took`.
    void observe(std::chrono::milliseconds took);

    /// How long to wait for an answer; doubles with each repeat of the call.
    std::chrono::milliseconds timeout(unsigned repeats) const;

private:
    using fraction_ms = std::chrono::duration<double, std::milli>;

    bounds limits_;
    fraction_ms smoothed_{0};
    fraction_ms deviation_{0};
    bool observed_ = false;
};

} // namespace dandeliontack
