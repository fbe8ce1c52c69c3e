#pragma once

#include <dandeliontack/endpoint.hpp>

#include <chrono>
#include <cstdint>
#include <map>

namespace dandeliontack
{

/// What the answers of upstreams say about their health. An upstream that
/// fails several requests in a row gets none for a while, then one at a time
/// until one goes well. Reads no clock.
class upstream_health
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    static constexpr unsigned failures_to_eject = 3;
    static constexpr auto first_ejection = std::chrono::milliseconds(500);
    static constexpr auto longest_ejection = std::chrono::seconds(30);
    /// How long an upstream that says it is leaving gets no new work, unless
    /// it says so again.
    static constexpr auto leaving_time = std::chrono::seconds(30);

    void succeeded(const endpoint& at);
    void failed(const endpoint& at, time_point now);
    void leaves(const endpoint& at, time_point now);

    /// How many of `share` slots may be used now.
    std::uint64_t
    limit(const endpoint& at, std::uint64_t share, time_point now) const;

    bool leaving(const endpoint& at, time_point now) const;

private:
    struct record
    {
        unsigned failures = 0;
        unsigned ejections = 0;
        time_point ejected_until{};
        time_point leaving_until{};
    };

    std::map<endpoint, record> records_;
};

} // namespace dandeliontack
