#include <dandeliontack/queue_admission.hpp>

#include <algorithm>
#include <utility>

namespace dandeliontack
{

queue_admission::queue_admission(shard_queues listed)
    : listed_(listed), wanted_(std::move(listed))
{}

void queue_admission::apply(
    const queue_table& table, shard_id shard, std::uint64_t partitions)
{
    for (const auto& queue : table.queues)
    {
        const auto target =
            shard_of(queue.terms.pool, cell_of_shard(shard), partitions);
        if (target == shard)
            want(queue.terms.queue);
        else if (is_listed(queue.terms.queue))
            close(queue.terms);
    }
}

void queue_admission::want(std::uint64_t queue)
{
    wanted_.insert(queue);
}

void queue_admission::close(const queue_terms& terms)
{
    auto& newest = closed_[terms.queue];
    newest = std::max(newest, terms.version);
}

const shard_queues* queue_admission::unlisted() const
{
    return wanted_ == listed_ ? nullptr : &wanted_;
}

void queue_admission::set_listed(shard_queues list)
{
    listed_ = std::move(list);
}

bool queue_admission::is_listed(std::uint64_t queue) const
{
    return listed_.contains(queue);
}

bool queue_admission::is_open(const queue_terms& terms) const
{
    const auto closed = closed_.find(terms.queue);
    return closed == closed_.end() || terms.version > closed->second;
}

} // namespace dandeliontack
