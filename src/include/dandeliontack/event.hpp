#pragma once

#include <dandeliontack/config_events.hpp>
#include <dandeliontack/fleet_events.hpp>
#include <dandeliontack/incarnation.hpp>
#include <dandeliontack/job_events.hpp>
#include <dandeliontack/membership_events.hpp>
#include <dandeliontack/order_events.hpp>

#include <chrono>
#include <cstdint>
#include <variant>

namespace dandeliontack
{

/// The two streams of the platform's log that the system reads.
enum class log_stream : std::uint8_t
{
    /// Configuration that operators publish.
    operators,
    /// The system's own records.
    system
};

/// Where a record stands and who wrote it.
struct event_origin
{
    log_stream stream = log_stream::system;
    std::uint64_t offset = 0;
    /// The writer, new at each start of its process.
    incarnation writer;
    /// Rises with each record of one writer; a resent record keeps its own.
    std::uint64_t sequence = 0;
    /// The leader term that the record was written under; 0 for records that
    /// need none.
    std::uint64_t term = 0;
};

using event_body = std::variant<
    order_event, config_event, membership_event, fleet_event, job_event>;

/// One record of the log, decoded.
struct event
{
    event_origin origin;
    /// The writer's clock when it wrote the record. The reducer has no other.
    std::chrono::sys_time<std::chrono::milliseconds> time;
    event_body body;
};

/// Whether a record only keeps the system's own books, on its members and on
/// the order of the streams: nothing is routed or planned by it.
inline bool is_bookkeeping(const event& e)
{
    return std::holds_alternative<membership_event>(e.body) ||
           std::holds_alternative<order_event>(e.body);
}

} // namespace dandeliontack
