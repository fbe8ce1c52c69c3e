#pragma once

#include <dandeliontack/endpoint.hpp>
#include <dandeliontack/event.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace dandeliontack
{

/// The log took the batch; its records have offsets from this one on.
struct appended
{
    std::uint64_t first_offset = 0;
};

/// The log did not take the batch, for certain.
struct append_refused
{
    std::string reason;
};

/// The log may or may not have taken the batch. Only reading it back tells.
struct append_unknown
{
    std::string reason;
};

using append_outcome = std::variant<appended, append_refused, append_unknown>;

/// Records of one stream that follow each other.
struct log_batch
{
    /// The oldest offset that the log still keeps.
    std::uint64_t oldest = 0;
    std::uint64_t first_offset = 0;
    std::vector<std::string> records;
    /// The offset that the next append will get.
    std::uint64_t end = 0;
};

/// The read failed; nothing is known but the reason.
struct read_failed
{
    std::string reason;
};

using read_outcome = std::variant<log_batch, read_failed>;

/// The platform's append-only log.
class log_client
{
public:
    virtual ~log_client() = default;

    /// Appends all records of the batch, in order and without others between
    /// them, or none.
    virtual boost::asio::awaitable<append_outcome>
    append(log_stream stream, std::vector<std::string> records) = 0;

    /// Reads records from an offset on. Where there is none yet, waits for
    /// one up to `wait` and then returns an empty batch.
    virtual boost::asio::awaitable<read_outcome> read(
        log_stream stream, std::uint64_t from,
        std::chrono::milliseconds wait) = 0;
};

/// The log over HTTP (src/proto/log.proto). `timeout` bounds each call
/// beyond the wait that a read asks for.
std::unique_ptr<log_client> make_http_log_client(
    boost::asio::any_io_executor executor, endpoint service,
    std::chrono::milliseconds timeout);

} // namespace dandeliontack
