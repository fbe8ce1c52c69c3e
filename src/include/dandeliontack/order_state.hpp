#pragma once

#include <dandeliontack/event.hpp>

#include <cstdint>
#include <deque>
#include <map>

namespace dandeliontack
{

/// A record that was not accepted, kept for reports.
struct rejection
{
    log_stream stream = log_stream::operators;
    std::uint64_t offset = 0;
    incarnation writer;
    findings found;

    bool operator==(const rejection&) const = default;
};

/// How far the log is applied, and which writers were seen.
struct order_state
{
    /// The next offset of the system's stream.
    std::uint64_t system_end = 0;
    /// The next offset of the operators' stream.
    std::uint64_t operators_end = 0;

    /// The last sequence of a writer and the count of records when it came.
    struct writer_mark
    {
        std::uint64_t sequence = 0;
        std::uint64_t seen = 0;

        bool operator==(const writer_mark&) const = default;
    };
    std::map<incarnation, writer_mark> writers;
    /// Counts all records; orders the writers by age.
    std::uint64_t records = 0;
    /// The newest rejections, oldest first.
    std::deque<rejection> rejections;

    /// The system's end that the newest whole snapshot was taken at.
    std::uint64_t snapshot_end = 0;
    /// The snapshot that is being written, up to its last part seen.
    struct snapshot_progress
    {
        incarnation writer;
        std::uint64_t system_end = 0;
        std::uint64_t next_index = 0;

        bool operator==(const snapshot_progress&) const = default;
    };
    snapshot_progress progress;

    bool operator==(const order_state&) const = default;
};

} // namespace dandeliontack
