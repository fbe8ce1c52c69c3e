#pragma once

#include <dandeliontack/http.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

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
    too_many_connections
};

inline constexpr std::size_t http_refusal_count = 9;

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

} // namespace dandeliontack
