// Tests that a submission keeps its place while configurations send its queue
// from pool to pool, in front of several nodes that apply them at other times.

#include <dandeliontack/queue_admission.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <ranges>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t partitions = 8;
constexpr boot_time now{1h};
constexpr std::array pools{"north", "south", "east"};

queue_table table_of(std::uint64_t version, const std::string& pool)
{
    queue_entry queue;
    queue.host = "h";
    queue.path_prefix = "/q/";
    queue.terms.pool = pool;
    queue.terms.queue = queue_id_of(queue.host, queue.path_prefix);
    queue.terms.version = version;
    queue_table table;
    table.version = version;
    table.queues.push_back(queue);
    return table;
}

shard_id shard_for(const queue_table& table)
{
    return shard_of(table.queues.front().terms.pool, 0, partitions);
}

// The registry, and the owners and submissions of all shards.
class deployment
{
public:
    deployment()
    {
        for (const auto* pool : pools)
            take_over(shard_of(pool, 0, partitions));
    }

    // The owner of the shard is lost; what its successor knows is stored.
    void take_over(shard_id shard)
    {
        owners_.insert_or_assign(
            shard, queue_admission(read_registry().queues_of(shard)));
        if (newest_)
            owners_.at(shard).apply(*newest_, shard, partitions, now);
    }

    // The nodes of some owners have applied the configuration already.
    void configure(const queue_table& table)
    {
        newest_ = table;
        for (auto& [shard, owner] : owners_)
            if (*rc::gen::arbitrary<bool>())
                owner.apply(table, shard, partitions, now);
    }

    // A node that has applied `table` takes a request. Returns whether it was
    // accepted, now or before.
    bool submit(std::uint64_t id, const queue_table& table)
    {
        const auto& terms = table.queues.front().terms;
        const auto target = shard_for(table);
        for (const auto shard : read_registry().shards_with(terms.queue))
            if (shard != target)
            {
                owners_.at(shard).close(terms, now);
                if (places_[id].contains(shard))
                    return true;
            }
        auto& owner = owners_.at(target);
        if (!owner.is_open(terms))
            return false;
        owner.want(terms.queue);
        if (const auto* list = owner.unlisted())
        {
            registry_[queues_key(target)] = encode(*list);
            owner.set_listed(*list, now);
        }
        places_[id].insert(target);
        return true;
    }

    // The shards that a node asks for a submission.
    std::set<shard_id> candidates(const queue_table& table) const
    {
        std::set<shard_id> out{shard_for(table)};
        for (const auto shard :
             read_registry().shards_with(table.queues.front().terms.queue))
            out.insert(shard);
        return out;
    }

    const std::map<std::uint64_t, std::set<shard_id>>& places() const
    {
        return places_;
    }

    shard_map read_registry() const
    {
        shard_map map{takeover_timing{}};
        for (const auto& [key, value] : registry_)
            map.apply({key, value, 0}, {});
        return map;
    }

private:
    std::map<std::string, std::string> registry_;
    std::map<shard_id, queue_admission> owners_;
    std::map<std::uint64_t, std::set<shard_id>> places_;
    std::optional<queue_table> newest_;
};

} // namespace

RC_GTEST_PROP(queue_admission, submission_has_one_place_that_all_nodes_find, ())
{
    deployment all;
    std::vector<queue_table> versions{table_of(1, pools[0])};
    const auto steps = *rc::gen::inRange(5, 40);
    for (int i = 0; i < steps; ++i)
    {
        const auto pool = *rc::gen::elementOf(
            std::vector<std::string>{pools.begin(), pools.end()});
        switch (*rc::gen::inRange(0, 4))
        {
        case 0:
            versions.push_back(table_of(versions.size() + 1, pool));
            all.configure(versions.back());
            break;
        case 1:
            all.take_over(shard_of(pool, 0, partitions));
            // Its node has applied the newest configuration, and so have the
            // nodes in front within the time that a takeover needs.
            versions.erase(versions.begin(), versions.end() - 1);
            break;
        default:
            all.submit(
                *rc::gen::inRange<std::uint64_t>(0, 4),
                *rc::gen::elementOf(versions));
        }
    }
    for (const auto& [id, places] : all.places())
    {
        RC_ASSERT(places.size() <= 1U);
        for (const auto& table : versions)
            for (const auto shard : places)
                RC_ASSERT(all.candidates(table).contains(shard));
    }
    for (const auto& places : all.places() | std::views::values)
        for (const auto shard : places)
            RC_ASSERT(all.read_registry().shards_with_queues().contains(shard));
}

TEST(queue_admission, shard_is_closed_for_queues_that_moved)
{
    const auto first = table_of(1, pools[0]);
    const auto second = table_of(2, pools[1]);
    const auto shard = shard_for(first);
    queue_admission admission{{}};
    admission.apply(first, shard, partitions, now);
    ASSERT_TRUE(admission.unlisted());
    admission.set_listed(*admission.unlisted(), now);
    EXPECT_FALSE(admission.unlisted());
    EXPECT_TRUE(admission.is_open(first.queues.front().terms));
    admission.apply(second, shard, partitions, now);
    EXPECT_FALSE(admission.is_open(first.queues.front().terms));
    // And open again once it is sent back.
    EXPECT_TRUE(admission.is_open(table_of(3, pools[0]).queues.front().terms));
}

// Guards against accepting by a registry that was read before this shard's own
// list was stored: other shards that were listed meanwhile would not be asked.
TEST(queue_admission, nothing_is_accepted_before_the_registry_shows_the_list)
{
    const auto table = table_of(1, pools[0]);
    const auto shard = shard_for(table);
    const admission_request request{table.queues.front().terms, {1, {}}, false};
    for (const bool lists_all : {false, true})
    {
        queue_admission admission{{}};
        admission.apply(table, shard, partitions, now);
        admission.mark_claimed(now);
        EXPECT_EQ(
            admission.decide(request, {now, now + 1s, {}}),
            admission::unlisted);
        shard_queues list;
        list.all = lists_all;
        if (!lists_all)
            list.insert(request.terms.queue);
        admission.set_listed(list, now + 1s);
        EXPECT_EQ(
            admission.decide(request, {now + 1s, now + 1s, {shard}}),
            admission::outdated);
        EXPECT_EQ(
            admission.decide(request, {now + 2s, now + 2s, {shard}}),
            admission::open);
        EXPECT_EQ(
            admission.decide(request, {now + 2s, now + 2s, {shard, shard + 1}}),
            admission::ask_others);
    }
}

// A list that no longer fits a record stands for all queues.
TEST(queue_admission, long_list_becomes_a_list_of_all)
{
    shard_queues list;
    for (std::uint64_t queue = 1; queue < 10'000; ++queue)
        list.insert(queue);
    const auto stored = decode_shard_queues(encode(list));
    ASSERT_TRUE(stored);
    EXPECT_TRUE(stored->contains(1));
    EXPECT_TRUE(stored->contains(99'999));
    EXPECT_LT(encode(list).size(), 64U * 1024);
}

} // namespace dandeliontack
