#include <dandeliontack/log_order.hpp>
#include <dandeliontack/reducer.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace
{

using namespace dandeliontack;

event make_event(
    log_stream stream, std::uint64_t offset, std::uint64_t writer,
    std::uint64_t sequence, event_body body)
{
    return {{stream, offset, {1, writer}, sequence, 0}, {}, std::move(body)};
}

event_body
pool(std::string name, std::vector<std::string> hosts, std::uint64_t base)
{
    pool_config config;
    config.name = std::move(name);
    config.hosts = std::move(hosts);
    return config_event{pool_published{"tester", base, config}};
}

event published(
    std::uint64_t offset, std::uint64_t writer, std::uint64_t sequence,
    event_body body)
{
    return make_event(
        log_stream::operators, offset, writer, sequence, std::move(body));
}

state apply_all(const std::vector<event>& events)
{
    state s;
    for (const auto& e : events)
        s = reduce(std::move(s), e).next;
    return s;
}

TEST(reducer, second_copy_of_a_record_is_dropped)
{
    const auto s = apply_all(
        {published(0, 7, 1, pool("a", {"h1"}, 0)),
         published(1, 7, 1, pool("a", {"h1"}, 0))});
    EXPECT_EQ(s.config.pools.at("a").revision, 1U);
    EXPECT_TRUE(s.order.rejections.empty());
}

TEST(reducer, of_two_changes_with_one_base_the_first_holds)
{
    const auto s = apply_all(
        {published(0, 7, 1, pool("a", {"h1"}, 0)),
         published(1, 8, 1, pool("a", {"h2"}, 1)),
         published(2, 9, 1, pool("a", {"h3"}, 1))});
    EXPECT_EQ(
        s.config.pools.at("a").config.hosts, std::vector<std::string>{"h2"});
    ASSERT_EQ(s.order.rejections.size(), 1U);
    EXPECT_EQ(
        to_string(s.order.rejections[0].found),
        "operators@2: pool a: based on revision 1, but revision 2 is in "
        "force\n");
}

TEST(reducer, a_decision_without_a_term_is_void)
{
    const auto observed = make_event(
        log_stream::system, 0, 7, 1, fleet_event{host_observed{.host = "h1"}});
    const auto result = reduce({}, observed);
    EXPECT_TRUE(result.next.fleet.hosts.empty());
    EXPECT_TRUE(find_effect<record_fenced>(result.todo));
}

TEST(reducer, of_many_writers_the_oldest_are_forgotten)
{
    constexpr std::uint64_t writers = 5000;
    state s;
    for (std::uint64_t i = 0; i < writers; ++i)
        s = reduce(
                std::move(s), make_event(
                                  log_stream::system, i, i + 1, 1,
                                  order_event{operators_ordered{}}))
                .next;
    EXPECT_GE(s.order.writers.size(), 4096U);
    EXPECT_LT(s.order.writers.size(), 4352U);
    EXPECT_FALSE(s.order.writers.contains({1, 1}));
    EXPECT_TRUE(s.order.writers.contains({1, writers}));
}

TEST(reducer, a_host_belongs_to_one_pool)
{
    const auto s = apply_all(
        {published(0, 7, 1, pool("a", {"h1"}, 0)),
         published(1, 7, 2, pool("b", {"h1"}, 0))});
    EXPECT_FALSE(s.config.pools.contains("b"));
    EXPECT_EQ(s.order.rejections.size(), 1U);
}

// A few writers and pools, so that copies and conflicts are common.
rc::Gen<event> any_publication()
{
    return rc::gen::exec([] {
        const auto writer = *rc::gen::inRange<std::uint64_t>(1, 4);
        const auto sequence = *rc::gen::inRange<std::uint64_t>(1, 6);
        const auto name = *rc::gen::element<std::string>("a", "b", "c");
        const auto host = *rc::gen::element<std::string>("h1", "h2", "h3");
        const auto base = *rc::gen::inRange<std::uint64_t>(0, 4);
        return published(0, writer, sequence, pool(name, {host}, base));
    });
}

std::vector<event> any_history()
{
    auto events = *rc::gen::container<std::vector<event>>(any_publication());
    std::uint64_t offset = 0;
    for (auto& e : events)
        e.origin.offset = offset++;
    return events;
}

RC_GTEST_PROP(reducer, the_same_log_gives_the_same_hash, ())
{
    const auto events = any_history();
    RC_ASSERT(hash_of(apply_all(events)) == hash_of(apply_all(events)));
}

RC_GTEST_PROP(reducer, revisions_rise_by_one_and_no_host_is_in_two_pools, ())
{
    state s;
    for (const auto& e : any_history())
    {
        const auto before = s;
        s = reduce(std::move(s), e).next;
        std::map<std::string, unsigned> owners;
        for (const auto& [name, value] : s.config.pools)
        {
            const auto old = before.config.pools.find(name);
            const auto last =
                old == before.config.pools.end() ? 0 : old->second.revision;
            RC_ASSERT(value.revision == last || value.revision == last + 1);
            for (const auto& host : value.config.hosts)
                RC_ASSERT(++owners[host] == 1U);
        }
    }
}

// Operator records and the marks that order them, split into two streams.
struct two_streams
{
    std::vector<event> operators;
    std::vector<event> system;
};

two_streams any_streams()
{
    two_streams streams;
    streams.operators = any_history();
    std::uint64_t end = 0;
    while (end < streams.operators.size())
    {
        end += *rc::gen::inRange<std::uint64_t>(1, 4);
        end = std::min<std::uint64_t>(end, streams.operators.size());
        const auto offset = streams.system.size();
        streams.system.push_back(make_event(
            log_stream::system, offset, 99, offset + 1,
            order_event{operators_ordered{end}}));
    }
    return streams;
}

RC_GTEST_PROP(log_order, reading_in_any_interleaving_gives_one_order, ())
{
    const auto streams = any_streams();
    const auto replay = [&](const auto& take_operator_next) {
        log_order order;
        state s;
        auto o = streams.operators.begin();
        auto y = streams.system.begin();
        while (o != streams.operators.end() || y != streams.system.end())
        {
            const bool from_operators =
                y == streams.system.end() ||
                (o != streams.operators.end() && take_operator_next());
            order.push(from_operators ? *o++ : *y++);
            while (const auto e = order.pop())
                s = reduce(std::move(s), *e).next;
        }
        return s;
    };
    const auto first = replay([] { return true; });
    const auto second = replay([] { return *rc::gen::arbitrary<bool>(); });
    RC_ASSERT(first == second);
    RC_ASSERT(hash_of(first) == hash_of(second));
    RC_ASSERT(first.order.operators_end == streams.operators.size());
}

TEST(log_order, overlapping_reads_and_gaps_are_not_taken)
{
    log_order order;
    const auto record = published(0, 1, 1, pool("a", {}, 0));
    EXPECT_TRUE(order.push(record));
    EXPECT_FALSE(order.push(record));
    auto far = record;
    far.origin.offset = 5;
    EXPECT_FALSE(order.push(far));
    EXPECT_EQ(order.next_offset(log_stream::operators), 1U);
}

} // namespace
