#pragma once

#include <dandeliontack/event.hpp>

#include <cstdint>
#include <deque>
#include <optional>

namespace dandeliontack
{

/// Merges the two streams into the one order that every node applies:
/// operator records take their place where a record of the system's stream
/// says so. Holds what was read but can't be applied yet.
class log_order
{
public:
    /// Begins behind the given ends, as a snapshot or a new log has them.
    explicit log_order(
        std::uint64_t system_begin = 0, std::uint64_t operators_begin = 0);

    /// Takes a record just read. Those with an offset below the next expected
    /// one of their stream are ignored, since reads may overlap. Returns
    /// whether the record was new; a gap in the offsets is not accepted.
    bool push(event e);

    /// The next event in order, or nothing until more is read.
    std::optional<event> pop();

    /// The offset to read next from a stream.
    std::uint64_t next_offset(log_stream stream) const;

    /// The end of operator records that the system's stream has ordered.
    std::uint64_t ordered_end() const
    {
        return ordered_end_;
    }

private:
    struct lane
    {
        std::uint64_t next = 0;
        std::deque<event> held;
    };

    std::optional<event> pop_front(lane& from);

    lane system_;
    lane operators_;
    std::uint64_t ordered_end_ = 0;
};

} // namespace dandeliontack
