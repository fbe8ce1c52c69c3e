#pragma once

#include <dandeliontack/event.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <limits>
#include <mutex>
#include <string>
#include <vector>

namespace dandeliontack
{

/// The newest records of both streams as this node read them, for peers that
/// can't read the log. Its methods may be called from any thread.
class relay_buffer
{
public:
    /// Keeps a record. One that does not follow the last starts anew.
    void keep(log_stream stream, std::uint64_t offset, std::string record);

    /// Notes when the state was last known to be current.
    void confirm(std::chrono::steady_clock::time_point when);

    /// The records of a stream from an offset on, as far as they are held: at
    /// most so many, and of `most_bytes` together unless the first is longer.
    std::vector<std::string> read(
        log_stream stream, std::uint64_t from, std::size_t most,
        std::size_t most_bytes = std::numeric_limits<std::size_t>::max()) const;

    /// The offset behind the newest record held.
    std::uint64_t end(log_stream stream) const;

    std::chrono::steady_clock::time_point confirmed() const;

private:
    struct lane
    {
        std::uint64_t first = 0;
        std::deque<std::string> records;
    };

    mutable std::mutex mutex_;
    std::array<lane, 2> lanes_;
    std::chrono::steady_clock::time_point confirmed_;
};

} // namespace dandeliontack
