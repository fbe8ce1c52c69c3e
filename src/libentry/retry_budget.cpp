#include <dandeliontack/retry_budget.hpp>

#include <algorithm>

namespace dandeliontack
{

void retry_budget::count_request()
{
    saved_ = std::min(saved_ + 1, most_saved * requests_per_retry);
}

bool retry_budget::take_retry()
{
    if (saved_ < requests_per_retry)
        return false;
    saved_ -= requests_per_retry;
    return true;
}

} // namespace dandeliontack
