#pragma once

#include <dandeliontack/http.hpp>
#include <dandeliontack/metrics.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace dandeliontack
{

/// Why a server ends a connection before it has a whole request, or takes
/// none.
enum class http_refusal : std::uint8_t
{
    header_too_large,
    body_too_large,
    trailers_too_large,
    /// The line that begins a chunk, with its extensions.
    chunk_line_too_long,
    malformed,
    /// The request gave way to others (see `buffer_budget`).
    no_room,
    /// The request didn't arrive in time.
    too_slow,
    no_room_for_connection,
    too_many_connections,
    /// A new connection has taken the place of one that was idle, incomplete or
    /// slow to read.
    displaced
};

inline constexpr std::size_t http_refusal_count = 10;

/// The cause as logs and metrics name it.
std::string_view to_string(http_refusal cause);

/// The answer to the sender, or nothing where the connection is closed without
/// one. `detail` replaces the usual text for this cause.
std::optional<http_response>
answer_to(http_refusal cause, std::string_view detail = {});

/// Lets one log line through for each cause and second.
class refusal_log_limit
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Counts a refusal. Returns how many there were for this cause since the
    /// last line, if one may be written now.
    std::optional<std::uint64_t> count(http_refusal cause, time_point now);

private:
    struct tally
    {
        std::optional<time_point> last_line;
        std::uint64_t refusals = 0;
    };
    std::array<tally, http_refusal_count> tallies_;
};

/// Counts the refusals of one server as `tack_http_refused_total{cause=...}`,
/// and reports them at most once a second for each cause.
class refusal_counter
{
public:
    using observer =
        std::function<void(http_refusal cause, std::uint64_t count)>;

    /// `server` labels the metrics if it isn't empty.
    refusal_counter(metric_registry& metrics, const std::string& server);

    /// Takes the place of the log lines.
    void set_observer(observer report)
    {
        report_ = std::move(report);
    }
    void count(http_refusal cause);

private:
    std::array<counter*, http_refusal_count> counters_{};
    refusal_log_limit log_limit_;
    observer report_;
};

} // namespace dandeliontack
