#pragma once

#include <dandeliontack/log_client.hpp>
#include <dandeliontack/snapshot.hpp>

#include <deque>
#include <optional>

namespace dandeliontack
{

/// Finds where a fresh node goes on from: the newest whole snapshot in the
/// system's stream and the records behind it.
class snapshot_loader
{
public:
    /// What to go on from.
    struct start
    {
        state loaded;
        /// Records of the system's stream from the state's end on.
        std::deque<event> tail;
    };

    /// The offset to read next from the system's stream.
    std::uint64_t next_offset() const
    {
        return next_;
    }

    /// Takes a batch read from `next_offset`.
    void take(const log_batch& batch);

    /// Whether the end of the stream was reached.
    bool complete() const
    {
        return complete_;
    }

    /// Whether records are missing that no snapshot stands for. Meaningful
    /// once complete.
    bool gap() const;

    /// The first offset that the log had.
    std::uint64_t oldest() const
    {
        return oldest_;
    }

    /// Where to go on from; call once, when complete and without a gap.
    start finish();

private:
    void take_snapshot(state s);

    snapshot_assembler assembler_;
    std::optional<state> newest_;
    /// Records that no snapshot stands for so far.
    std::deque<event> tail_;
    std::uint64_t next_ = 0;
    std::uint64_t oldest_ = 0;
    bool complete_ = false;
};

} // namespace dandeliontack
