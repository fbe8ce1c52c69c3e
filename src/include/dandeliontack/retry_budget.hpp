#pragma once

#include <cstdint>

namespace dandeliontack
{

/// Bounds retries to a share of the requests, so that a failing pool is not
/// loaded further by them.
class retry_budget
{
public:
    /// Every so many requests earn one retry.
    static constexpr std::uint64_t requests_per_retry = 10;
    /// Retries that may be saved up.
    static constexpr std::uint64_t most_saved = 20;

    void count_request();

    /// Takes one retry out of the budget; false where there is none.
    bool take_retry();

private:
    std::uint64_t saved_ = most_saved * requests_per_retry;
};

} // namespace dandeliontack
