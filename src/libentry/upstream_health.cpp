#include <dandeliontack/upstream_health.hpp>

#include <algorithm>

namespace dandeliontack
{

void upstream_health::succeeded(const endpoint& at)
{
    const auto found = records_.find(at);
    if (found == records_.end())
        return;
    found->second.failures = 0;
    found->second.ejections = 0;
}

void upstream_health::failed(const endpoint& at, time_point now)
{
    auto& r = records_[at];
    ++r.failures;
    // What was sent before the ejection says nothing new.
    if (r.failures < failures_to_eject || now < r.ejected_until)
        return;
    std::chrono::milliseconds wait = first_ejection;
    for (unsigned i = 0; i < r.ejections && wait < longest_ejection; ++i)
        wait *= 2;
    r.ejected_until =
        now + std::min<std::chrono::milliseconds>(wait, longest_ejection);
    ++r.ejections;
}

void upstream_health::leaves(const endpoint& at, time_point now)
{
    records_[at].leaving_until = now + leaving_time;
}

std::uint64_t upstream_health::limit(
    const endpoint& at, std::uint64_t share, time_point now) const
{
    const auto found = records_.find(at);
    if (found == records_.end())
        return share;
    const auto& r = found->second;
    if (now < r.leaving_until || now < r.ejected_until)
        return 0;
    return r.failures >= failures_to_eject ? std::min<std::uint64_t>(share, 1)
                                           : share;
}

bool upstream_health::leaving(const endpoint& at, time_point now) const
{
    const auto found = records_.find(at);
    return found != records_.end() && now < found->second.leaving_until;
}

} // namespace dandeliontack
