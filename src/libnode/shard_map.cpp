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

// Topics of the pools of a cell; with the partitions of each, few pools share
// a shard.
constexpr std::uint32_t pool_topics = 8;
// Between the shards of a pool in one cell and the next.
constexpr shard_id cell_stride = 50'000;
constexpr std::string_view announcement_prefix = "node/";
constexpr std::string_view owner_prefix = "own/";
// A gap between two reads of the registry after which silence counts anew.
constexpr auto longest_read_gap = std::chrono::milliseconds(1200);

// A topic of ours that keeps the newest record of each key.
store_place topic_of(const std::string& name, std::uint32_t partition)
{
    return {std::string(platform::keyed_prefix) + name, partition};
}

// What the shards of a pool have in common over all cells.
shard_id pool_part(shard_id shard)
{
    return shard % cell_stride;
}

} // namespace

store_place registry_place()
{
    return topic_of("nodes", 0);
}

store_place layout_place()
{
    return topic_of("layout", 0);
}

store_place place_of(shard_id shard, std::uint64_t partitions)
{
    if (shard == fleet_shard)
        return topic_of("fleet", 0);
    const auto topic =
        shard / cell_stride * pool_topics + pool_part(shard) / partitions;
    return topic_of(
        "pools" + std::to_string(topic),
        static_cast<std::uint32_t>(pool_part(shard) % partitions));
}

shard_id shard_of(std::string_view pool, cell_id cell, std::uint64_t partitions)
{
    return cell * cell_stride +
           static_cast<shard_id>(
               stable_hash(pool) % (pool_topics * partitions));
}

std::string announcement_key(std::string_view node)
{
    return std::string(announcement_prefix) + std::string(node);
}

std::string owner_key(shard_id shard)
{
    return std::string(owner_prefix) + std::to_string(shard);
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

bool is_cut_off(
    const store_use& use, boot_time now, const takeover_terms& terms)
{
    const auto is_old = [&](boot_time since) {
        return now - since >= terms.cut_off;
    };
    return is_old(use.last_success) ||
           std::ranges::any_of(use.failing_since, is_old);
}

shard_map::shard_map(takeover_terms terms) : terms_(terms) {}

bool shard_map::take(const keyed_record& record, moment now)
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
        const auto said = decode_announcement(record.value);
        if (!said)
            return false;
        if (is_outdated(name, *said))
            return true;
        // A process that starts can't tell from a record whether its node still
        // lives; one that was said long ago is no node to count on.
        const bool left = !first_read_ && said->at != wall_time{} &&
                          now.wall - said->at > terms_.forgotten;
        nodes_[name] = {*said, now.steady, left};
        return true;
    }
    if (!key.starts_with(owner_prefix))
        return false;
    shard_id shard = 0;
    const auto text = key.substr(owner_prefix.size());
    const auto* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, shard);
    const auto owner = decode_owner(record.value);
    if (error != std::errc() || stop != end || !owner)
        return false;
    auto& known = owners_[shard];
    if (owner->epoch >= known.epoch)
        known = *owner;
    return true;
}

// Announcements come on two ways, and one may be stored late.
bool shard_map::is_outdated(
    const std::string& name, const node_announcement& said) const
{
    const auto known = nodes_.find(name);
    if (known == nodes_.end())
        return false;
    const auto& before = known->second.said;
    if (before.life == said.life)
        return said.beat < before.beat;
    return said.epoch != 0 && said.epoch < before.epoch;
}

void shard_map::confirmed(boot_time now)
{
    if (!first_read_)
        first_read_ = now;
    // Nobody's announcements could be seen during a gap.
    if (now - last_read_ > longest_read_gap)
        for (auto& [name, node] : nodes_)
            node.changed = now;
    last_read_ = now;
}

bool shard_map::is_silent(const seen_node& node, boot_time now) const
{
    return now - node.changed >
           std::max<std::chrono::milliseconds>(
               terms_.silence, node.said.interval * terms_.silent_intervals);
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
    return found != nodes_.end() && found->second.said.life == owner.life &&
           !found->second.said.without_store && !is_silent(found->second, now);
}

std::vector<node_announcement> shard_map::alive_nodes(boot_time now) const
{
    std::vector<node_announcement> out;
    for (const auto& [name, node] : nodes_)
        if (!is_silent(node, now) && !node.left && !node.said.leaving &&
            !node.said.without_store)
            out.push_back(node.said);
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

bool shard_map::has_owners() const
{
    return std::ranges::any_of(
        owners_, [](const auto& item) { return item.first != fleet_shard; });
}

// Every node works out the same plan from the same records: each orphan goes
// to the live node with the least load for its processor, where the same pool
// of another cell counts twice, as its turn comes at the same time; one that
// was given back in a planned stop goes to the node that started last, as the
// others may be stopped next. The next in line steps in if that node does not.
std::vector<shard_id> shard_map::to_claim(
    const std::set<shard_id>& wanted, const claimant& self, boot_time now)
{
    const auto stagger = std::max<std::chrono::milliseconds>(
        terms_.stagger, self.append_delay * terms_.stagger_appends);
    std::vector<shard_id> out;
    if (!first_read_ || now - *first_read_ < terms_.settle ||
        now - last_read_ > longest_read_gap)
        return out;
    auto nodes = alive_nodes(now);
    std::map<std::string, std::uint32_t> load;
    std::map<std::pair<std::string, shard_id>, std::uint32_t> alike;
    const auto count = [&](const std::string& node, shard_id shard) {
        ++load[node];
        ++alike[{node, pool_part(shard)}];
    };
    std::vector<shard_id> orphans;
    for (const auto shard : wanted)
    {
        const auto known = owner(shard);
        const bool given_up = known && known->node == self.said.name &&
                              known->life == self.said.life &&
                              !self.held.contains(shard);
        if (known && is_alive(*known, now) && !given_up)
        {
            count(known->node, shard);
            orphaned_.erase(shard);
        }
        else
        {
            orphans.push_back(shard);
            orphaned_.try_emplace(shard, now);
        }
    }
    for (const auto shard : orphans)
    {
        const auto known = owners_.find(shard);
        const bool released = known != owners_.end() && known->second.released;
        std::ranges::sort(nodes, {}, [&](const node_announcement& node) {
            const auto cpu = std::max<std::uint32_t>(node.cpu_milli, 1);
            const auto shards =
                load[node.name] + alike[{node.name, pool_part(shard)}] + 1;
            const double share = static_cast<double>(shards) / cpu;
            const auto age = std::numeric_limits<std::uint64_t>::max() -
                             (released ? node.epoch : 0);
            return std::tuple(
                share, age, stable_hash(node.name + std::to_string(shard)));
        });
        for (std::size_t rank = 0; rank < nodes.size(); ++rank)
            if (nodes[rank].name == self.said.name &&
                nodes[rank].life == self.said.life &&
                now - orphaned_[shard] >= stagger * rank)
                out.push_back(shard);
        if (!nodes.empty())
            count(nodes.front().name, shard);
    }
    return out;
}

} // namespace dandeliontack
