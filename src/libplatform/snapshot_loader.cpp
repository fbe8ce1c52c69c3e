#include <dandeliontack/record_codec.hpp>
#include <dandeliontack/snapshot_loader.hpp>

#include <algorithm>
#include <utility>

namespace dandeliontack
{

void snapshot_loader::take(const log_batch& batch)
{
    if (batch.first_offset > next_)
    {
        // The records so far are of no use without those that are missing.
        tail_.clear();
        newest_.reset();
        assembler_ = {};
        oldest_ = batch.first_offset;
        next_ = batch.first_offset;
    }
    auto offset = batch.first_offset;
    for (const auto& record : batch.records)
    {
        auto e = decode_record(log_stream::system, offset++, record);
        auto s = assembler_.push(e);
        tail_.push_back(std::move(e));
        if (s)
            take_snapshot(std::move(*s));
    }
    next_ = std::max(next_, offset);
    complete_ = next_ >= batch.end;
}

void snapshot_loader::take_snapshot(state s)
{
    // A snapshot whose following records are gone already can't be gone on
    // from, and one that was written late may be older than another.
    const auto end = s.order.system_end;
    const bool older = newest_ && newest_->order.system_end >= end;
    if (end < oldest_ || older)
        return;
    while (!tail_.empty() && tail_.front().origin.offset < end)
        tail_.pop_front();
    newest_ = std::move(s);
}

bool snapshot_loader::gap() const
{
    return oldest_ != 0 && !newest_;
}

snapshot_loader::start snapshot_loader::finish()
{
    return {std::move(newest_).value_or(state{}), std::move(tail_)};
}

} // namespace dandeliontack
