#include <dandeliontack/shard_map.hpp>
#include <dandeliontack/stable_hash.hpp>

#include <platform/store_codec.hpp>

#include <algorithm>
#include <charconv>
#include <limits>
#include <ranges>

namespace dandeliontack
{

namespace
{

// Topics per cell. Together with the partitions of each topic, so many shards
// that few pools share one.
constexpr std::uint32_t pool_topics = 8;
// Distance between the shard ids of a pool in two adjacent cells.
constexpr shard_id cell_stride = 50'000;
constexpr std::string_view announcement_prefix = "node/";
constexpr std::string_view owner_prefix = "own/";
constexpr std::string_view queues_prefix = "queues/";
// After a longer gap between two reads of the registry, the time without
// announcements is counted from zero again.
constexpr auto max_read_gap = std::chrono::milliseconds(1200);

// A compacted topic of this service, which keeps the newest record per key.
topic_partition topic_of(const std::string& name, std::uint32_t partition)
{
    return {std::string(platform::keyed_prefix) + name, partition};
}

// The shard id relative to its cell; equal for a pool in all cells.
shard_id index_in_cell(shard_id shard)
{
    return shard % cell_stride;
}

// The shard that a key names after `prefix`.
std::optional<shard_id>
shard_in_key(std::string_view key, std::string_view prefix)
{
    shard_id shard = 0;
    const auto text = key.substr(prefix.size());
    const auto* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, shard);
    return error == std::errc() && stop == end ? std::optional(shard)
                                               : std::nullopt;
}

} // namespace

topic_partition registry_partition()
{
    return topic_of("nodes", 0);
}

topic_partition layout_partition()
{
    return topic_of("layout", 0);
}

topic_partition partition_of(shard_id shard, std::uint64_t partitions)
{
    if (shard == fleet_shard)
        return topic_of("fleet", 0);
    const auto topic =
        shard / cell_stride * pool_topics + index_in_cell(shard) / partitions;
    return topic_of(
        "pools" + std::to_string(topic),
        static_cast<std::uint32_t>(index_in_cell(shard) % partitions));
}

shard_id shard_of(std::string_view pool, cell_id cell, std::uint64_t partitions)
{
    return cell * cell_stride +
           static_cast<shard_id>(
               stable_hash(pool) % (pool_topics * partitions));
}

cell_id cell_of_shard(shard_id shard)
{
    return shard / cell_stride;
}

bool is_same_pool_shard(shard_id a, shard_id b)
{
    return index_in_cell(a) == index_in_cell(b);
}

std::string announcement_key(std::string_view node)
{
    return std::string(announcement_prefix) + std::string(node);
}

std::string owner_key(shard_id shard)
{
    return std::string(owner_prefix) + std::to_string(shard);
}

std::string queues_key(shard_id shard)
{
    return std::string(queues_prefix) + std::to_string(shard);
}

std::set<shard_id> wanted_shards(
    const queue_table& table, const std::optional<fleet_layout>& layout,
    std::uint64_t partitions)
{
    std::set<shard_id> out{fleet_shard};
    const auto cells = layout ? layout->cells : 0;
    for (cell_id cell = 0; cell < cells; ++cell)
    {
        for (const auto& pool : table.pools)
            if (!pool.standby)
                out.insert(shard_of(pool.name, cell, partitions));
        for (const auto& queue : table.queues)
            out.insert(shard_of(queue.terms.pool, cell, partitions));
    }
    return out;
}

bool has_lost_store(
    const store_health& health, boot_time now, const takeover_timing& timing)
{
    const auto is_old = [&](boot_time since) {
        return now - since >= timing.store_timeout;
    };
    return is_old(health.last_success) ||
           std::ranges::any_of(health.failing_since, is_old);
}

shard_map::shard_map(takeover_timing timing) : timing_(timing) {}

bool shard_map::apply(const keyed_record& record, moment now)
{
    const std::string_view key = record.key;
    if (key.starts_with(announcement_prefix))
    {
        const auto name = std::string(key.substr(announcement_prefix.size()));
        if (record.value.empty())
        {
            nodes_.erase(name);
            return true;
        }
        const auto announcement = decode_announcement(record.value);
        if (!announcement)
            return false;
        if (is_outdated(name, *announcement))
            return true;
        // A starting process can't tell from a stored announcement whether
        // that node still runs, so old ones are not relied on.
        const bool departed =
            !first_read_ && announcement->at != wall_time{} &&
            now.wall - announcement->at > timing_.max_announcement_age;
        const auto known = nodes_.find(name);
        const bool was_available =
            known != nodes_.end() && is_available(known->second, now.steady) &&
            known->second.announcement.process_incarnation ==
                announcement->process_incarnation;
        const auto available_since =
            was_available ? known->second.available_since : now.steady;
        nodes_[name] = {*announcement, now.steady, departed, available_since};
        return true;
    }
    if (key.starts_with(queues_prefix))
    {
        const auto shard = shard_in_key(key, queues_prefix);
        const auto listed = decode_shard_queues(record.value);
        if (!shard || !listed)
            return false;
        // A shard's list only grows, so an older one takes nothing away.
        auto& known = queues_[*shard];
        known.all = known.all || listed->all;
        for (const auto queue : listed->queues)
            known.insert(queue);
        return true;
    }
    if (!key.starts_with(owner_prefix))
        return false;
    const auto shard = shard_in_key(key, owner_prefix);
    const auto owner = decode_owner(record.value);
    if (!shard || !owner)
        return false;
    auto& known = owners_[*shard];
    // An owner does not take a released epoch again; an older record of that
    // epoch may still be read.
    const bool is_past = owner->epoch < known.epoch ||
                         (owner->epoch == known.epoch && known.released);
    if (!is_past)
        known = *owner;
    return true;
}

// An announcement is stored by the node itself or through the holder of the
// fleet duty, so an older one may be stored after a newer one.
bool shard_map::is_outdated(
    const std::string& name, const node_announcement& announcement) const
{
    const auto known = nodes_.find(name);
    if (known == nodes_.end())
        return false;
    const auto& before = known->second.announcement;
    if (before.process_incarnation == announcement.process_incarnation)
        return announcement.sequence < before.sequence;
    return announcement.epoch != 0 && announcement.epoch < before.epoch;
}

void shard_map::mark_caught_up(boot_time now)
{
    if (!first_read_)
        first_read_ = now;
    // No node's announcements could be seen during a gap.
    if (now - last_read_ > max_read_gap)
        for (auto& [name, node] : nodes_)
            node.last_change = now;
    last_read_ = now;
}

void shard_map::mark_read(boot_time as_of)
{
    read_as_of_ = std::max(read_as_of_, as_of);
}

boot_time shard_map::read_as_of() const
{
    return read_as_of_;
}

bool shard_map::has_timed_out(const node_entry& node, boot_time now) const
{
    return now - node.last_change >
           std::max<std::chrono::milliseconds>(
               timing_.node_timeout,
               node.announcement.interval * timing_.missed_intervals);
}

bool shard_map::is_available(const node_entry& node, boot_time now) const
{
    return !has_timed_out(node, now) && !node.departed &&
           !node.announcement.leaving && !node.announcement.without_store;
}

std::optional<owner_record> shard_map::owner(shard_id shard) const
{
    const auto found = owners_.find(shard);
    if (found == owners_.end() || found->second.released)
        return std::nullopt;
    return found->second;
}

std::uint64_t shard_map::last_epoch(shard_id shard) const
{
    const auto found = owners_.find(shard);
    return found == owners_.end() ? 0 : found->second.epoch;
}

bool shard_map::is_alive(const owner_record& owner, boot_time now) const
{
    const auto found = nodes_.find(owner.node);
    return found != nodes_.end() &&
           found->second.announcement.process_incarnation ==
               owner.process_incarnation &&
           !found->second.announcement.without_store &&
           !has_timed_out(found->second, now);
}

std::vector<node_announcement> shard_map::alive_nodes(boot_time now) const
{
    std::vector<node_announcement> out;
    for (const auto& [name, node] : nodes_)
        if (is_available(node, now))
            out.push_back(node.announcement);
    return out;
}

std::vector<node_announcement> shard_map::last_read_nodes() const
{
    return alive_nodes(last_read_);
}

bool shard_map::has_been_read() const
{
    return first_read_.has_value();
}

shard_queues shard_map::queues_of(shard_id shard) const
{
    const auto found = queues_.find(shard);
    return found == queues_.end() ? shard_queues{} : found->second;
}

std::vector<shard_id> shard_map::shards_with(std::uint64_t queue) const
{
    std::vector<shard_id> out;
    for (const auto& [shard, listed] : queues_)
        if (listed.contains(queue))
            out.push_back(shard);
    return out;
}

std::set<shard_id> shard_map::shards_with_queues() const
{
    std::set<shard_id> out;
    for (const auto& [shard, listed] : queues_)
        out.insert(shard);
    return out;
}

void shard_map::set_layout(fleet_layout layout)
{
    layout_ = std::move(layout);
}

const std::optional<fleet_layout>& shard_map::layout() const
{
    return layout_;
}

bool shard_map::has_pool_owners() const
{
    return std::ranges::any_of(
        owners_, [](const auto& item) { return item.first != fleet_shard; });
}

// Every node computes the same assignment from the same records. Each shard
// without an owner goes to the live node with the least load relative to its
// CPU; a shard of the same pool in another cell counts twice, as both are busy
// at the same time. Among equally loaded nodes, a shard that was released in a
// planned stop goes to the node that started last, as the others may be stopped
// next. The node that released it comes last: it is being stopped, or can't
// reach the store. If the first candidate does not claim it, the next does.
std::vector<shard_id> shard_map::shards_to_claim(
    const std::set<shard_id>& wanted, const claimant& self, boot_time now)
{
    const auto stagger = std::max<std::chrono::milliseconds>(
        timing_.stagger, self.append_delay * timing_.stagger_appends);
    std::vector<shard_id> out;
    if (!first_read_ || now - *first_read_ < timing_.startup_delay ||
        now - last_read_ > max_read_gap)
        return out;
    auto nodes = alive_nodes(now);
    std::map<std::string, std::uint32_t> load;
    std::map<std::pair<std::string, shard_id>, std::uint32_t> same_pool;
    const auto count = [&](const std::string& node, shard_id shard) {
        ++load[node];
        ++same_pool[{node, index_in_cell(shard)}];
    };
    std::vector<shard_id> unowned;
    for (const auto shard : wanted)
    {
        const auto known = owner(shard);
        const bool given_up = known && known->node == self.announcement.name &&
                              known->process_incarnation ==
                                  self.announcement.process_incarnation &&
                              !self.held.contains(shard);
        if (known && is_alive(*known, now) && !given_up)
        {
            count(known->node, shard);
            unowned_since_.erase(shard);
        }
        else
        {
            unowned.push_back(shard);
            unowned_since_.try_emplace(shard, now);
        }
    }
    for (const auto shard : unowned)
    {
        const auto known = owners_.find(shard);
        const bool released = known != owners_.end() && known->second.released;
        const auto has_released = [&](const node_announcement& node) {
            return released && node.name == known->second.node &&
                   node.process_incarnation ==
                       known->second.process_incarnation;
        };
        std::ranges::sort(nodes, {}, [&](const node_announcement& node) {
            const auto cpu = std::max<std::uint32_t>(node.cpu_milli, 1);
            const auto shards = load[node.name] +
                                same_pool[{node.name, index_in_cell(shard)}] +
                                1;
            const double share = static_cast<double>(shards) / cpu;
            const auto age = std::numeric_limits<std::uint64_t>::max() -
                             (released ? node.epoch : 0);
            return std::tuple(
                has_released(node), share, age,
                stable_hash(node.name + std::to_string(shard)));
        });
        for (std::size_t rank = 0; rank < nodes.size(); ++rank)
            if (nodes[rank].name == self.announcement.name &&
                nodes[rank].process_incarnation ==
                    self.announcement.process_incarnation &&
                now - unowned_since_[shard] >= stagger * rank)
                out.push_back(shard);
        if (!nodes.empty())
            count(nodes.front().name, shard);
    }
    return out;
}

bool shard_map::should_hand_over(
    const std::set<shard_id>& wanted, const claimant& self, boot_time now) const
{
    // A handover must bring the load of this node down by a good part.
    constexpr double max_remaining_load = 0.75;
    if (timing_.balance_after.count() == 0 || !first_read_ ||
        now - last_read_ > max_read_gap)
        return false;
    std::map<std::string, std::uint32_t> load;
    for (const auto shard : wanted)
    {
        const auto known = owner(shard);
        // Shards without an owner go to the nodes with the least load anyway.
        if (!known || !is_alive(*known, now))
            return false;
        ++load[known->node];
    }
    const auto share = [](std::uint32_t shards, std::uint32_t cpu_milli) {
        return static_cast<double>(shards) /
               std::max<std::uint32_t>(cpu_milli, 1);
    };
    const auto& own = self.announcement;
    const auto most = share(load[own.name], own.cpu_milli) * max_remaining_load;
    return std::ranges::any_of(nodes_, [&](const auto& item) {
        const auto& [name, node] = item;
        return name != own.name && is_available(node, now) &&
               now - node.available_since >= timing_.balance_after &&
               share(load[name] + 1, node.announcement.cpu_milli) <= most;
    });
}

} // namespace dandeliontack
