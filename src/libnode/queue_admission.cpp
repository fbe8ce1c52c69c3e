#include <dandeliontack/queue_admission.hpp>

#include <absl/strings/numbers.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace dandeliontack
{

namespace
{

// Of the keys of records that say which queues are closed.
constexpr std::string_view closed_prefix = "c/";

} // namespace

std::string_view to_string(admission decision)
{
    constexpr std::array<std::string_view, 5> names{
        "open", "closed", "unlisted", "outdated", "ask others"};
    return names.at(static_cast<std::size_t>(decision));
}

queue_admission::queue_admission(shard_queues listed)
    : listed_(listed), wanted_(std::move(listed))
{}

void queue_admission::apply(
    const queue_table& table, shard_id shard, std::uint64_t partitions,
    boot_time now)
{
    shard_ = shard;
    version_ = table.version;
    hear_of(table.version, now);
    routed_.clear();
    for (const auto& queue : table.queues)
    {
        const auto target =
            shard_of(queue.terms.pool, cell_of_shard(shard), partitions);
        if (target == shard)
        {
            routed_[queue.terms.queue] = queue.terms.pool;
            want(queue.terms.queue);
        }
        else if (is_listed(queue.terms.queue))
            close_at(queue.terms.queue, queue.terms.version);
    }
}

void queue_admission::hear_of(std::uint64_t version, boot_time now)
{
    if (version <= heard_version_)
        return;
    heard_version_ = version;
    heard_at_ = now;
}

void queue_admission::mark_claimed(boot_time now)
{
    claimed_at_ = now;
}

void queue_admission::want(std::uint64_t queue)
{
    wanted_.insert(queue);
}

void queue_admission::close_at(std::uint64_t queue, std::uint64_t version)
{
    auto& newest = closed_[queue];
    newest = std::max(newest, version);
}

void queue_admission::close(const queue_terms& terms, boot_time now)
{
    hear_of(terms.version, now);
    auto& stored = stored_closed_[terms.queue];
    if (terms.version <= stored)
        return;
    stored = terms.version;
    close_at(terms.queue, terms.version);
    unstored_closed_.insert(terms.queue);
}

std::vector<keyed_record> queue_admission::take_closed_records()
{
    std::vector<keyed_record> out;
    const auto queues = std::exchange(unstored_closed_, {});
    std::ranges::transform(
        queues, std::back_inserter(out), [this](std::uint64_t queue) {
            return keyed_record{
                std::string(closed_prefix) + std::to_string(queue),
                std::to_string(stored_closed_.at(queue)), 0};
        });
    return out;
}

bool queue_admission::has_closed_records() const
{
    return !unstored_closed_.empty();
}

bool queue_admission::restore_closed(const keyed_record& record)
{
    std::uint64_t queue = 0;
    std::uint64_t version = 0;
    if (!record.key.starts_with(closed_prefix) ||
        !absl::SimpleAtoi(record.key.substr(closed_prefix.size()), &queue) ||
        !absl::SimpleAtoi(record.value, &version))
        return false;
    close_at(queue, version);
    auto& stored = stored_closed_[queue];
    stored = std::max(stored, version);
    return true;
}

const shard_queues* queue_admission::unlisted() const
{
    return wanted_ == listed_ ? nullptr : &wanted_;
}

void queue_admission::set_listed(shard_queues list, boot_time now)
{
    if (list.all && !listed_.all)
        all_listed_at_ = now;
    for (const auto queue : list.queues)
        if (!is_listed(queue))
            listed_at_.try_emplace(queue, now);
    listed_ = std::move(list);
}

void queue_admission::merge_listed(const shard_queues& list)
{
    for (auto* known : {&listed_, &wanted_})
    {
        known->all = known->all || list.all;
        for (const auto queue : list.queues)
            known->insert(queue);
    }
}

bool queue_admission::is_listed(std::uint64_t queue) const
{
    return listed_.contains(queue);
}

// The version under which a submission would be accepted: the newer one of the
// caller's node and of this one.
std::uint64_t queue_admission::version_of(const queue_terms& terms) const
{
    return std::max(terms.version, version_);
}

// Two pools may share this shard, and have the submission in different cells.
bool queue_admission::is_open(const queue_terms& terms) const
{
    const auto version = version_of(terms);
    const auto routed = routed_.find(terms.queue);
    const bool leads_here =
        routed != routed_.end() && routed->second == terms.pool;
    if (version == version_ && !leads_here)
        return false;
    const auto closed = closed_.find(terms.queue);
    return closed == closed_.end() || version > closed->second;
}

admission queue_admission::decide(
    const admission_request& request, const admission_view& view)
{
    const auto& terms = request.terms;
    if (!is_open(terms))
        return admission::closed;
    if (!is_listed(terms.queue))
        return admission::unlisted;
    hear_of(terms.version, view.now);
    const auto listed = listed_at_.find(terms.queue);
    const auto needed = std::max(
        {claimed_at_, heard_at_, all_listed_at_,
         listed == listed_at_.end() ? boot_time() : listed->second});
    if (view.registry_as_of <= needed ||
        request.asked.version > version_of(terms))
        return admission::outdated;
    return has_asked_all(request, view) ? admission::open
                                        : admission::ask_others;
}

bool queue_admission::has_asked_all(
    const admission_request& request, const admission_view& view) const
{
    const auto version = version_of(request.terms);
    return std::ranges::all_of(view.listed, [&](shard_id other) {
        return other == shard_ ||
               (is_same_pool_shard(other, shard_) &&
                !request.cell_depends_on_pool) ||
               (request.asked.version >= version &&
                request.asked.shards.contains(other));
    });
}

std::uint64_t queue_admission::version() const
{
    return heard_version_;
}

boot_time queue_admission::claimed_at() const
{
    return claimed_at_;
}

} // namespace dandeliontack
