#include <dandeliontack/leadership.hpp>
#include <dandeliontack/reducer.hpp>

#include <gtest/gtest.h>

#include <algorithm>

namespace
{

using namespace dandeliontack;
using namespace std::chrono_literals;

constexpr incarnation first{0, 1};
constexpr incarnation second{0, 2};

// Applies records as they come, with offsets and sequences that rise.
struct history
{
    void write(const incarnation& by, membership_event body, std::uint64_t term)
    {
        event e;
        e.origin = {
            log_stream::system, s.order.system_end, by, ++sequence, term};
        e.body = std::move(body);
        s = reduce(std::move(s), e).next;
    }

    std::uint64_t heard(const incarnation& node) const
    {
        return s.membership.nodes.at(node).heard_at;
    }

    state s;
    std::uint64_t sequence = 0;
};

// Two members, the first leads.
history make_history()
{
    history log;
    log.write(first, node_joined{"a", "dc", {}}, 0);
    log.write(second, node_joined{"b", "dc", {}}, 0);
    log.write(first, term_claimed{1, 0}, 0);
    return log;
}

TEST(membership, of_two_claims_with_one_base_the_first_holds)
{
    auto log = make_history();
    EXPECT_EQ(log.s.membership.term.leader, first);
    log.write(second, term_claimed{1, 0}, 0);
    EXPECT_EQ(log.s.membership.term.leader, first);
    EXPECT_EQ(log.s.membership.term.number, 1U);
}

TEST(membership, a_heartbeat_of_the_leader_voids_a_claim)
{
    auto log = make_history();
    const auto seen = log.s.membership.term.heard_at;
    log.write(first, node_heartbeat{}, 0);
    log.write(second, term_claimed{2, seen}, 0);
    EXPECT_EQ(log.s.membership.term.number, 1U);
    log.write(second, term_claimed{2, log.s.membership.term.heard_at}, 0);
    EXPECT_EQ(log.s.membership.term.leader, second);
}

TEST(membership, one_that_is_no_member_can_not_claim)
{
    history log;
    log.write(first, term_claimed{1, 0}, 0);
    EXPECT_EQ(log.s.membership.term.number, 0U);
}

TEST(membership, only_the_leader_removes_others_and_a_heartbeat_voids_it)
{
    auto log = make_history();
    const auto seen = log.heard(second);
    log.write(second, node_left{first, log.heard(first)}, 0);
    log.write(second, node_left{first, log.heard(first)}, 1);
    EXPECT_EQ(log.s.membership.nodes.size(), 2U);
    EXPECT_EQ(log.s.membership.fenced, 1U);
    log.write(second, node_heartbeat{}, 0);
    log.write(first, node_left{second, seen}, 1);
    EXPECT_EQ(log.s.membership.nodes.size(), 2U);
    log.write(first, node_left{second, log.heard(second)}, 1);
    EXPECT_EQ(log.s.membership.nodes.size(), 1U);
}

TEST(membership, a_leader_that_leaves_ends_its_term)
{
    auto log = make_history();
    log.write(first, node_left{first, 0}, 0);
    EXPECT_EQ(log.s.membership.term.leader, incarnation{});
    log.write(first, node_left{second, log.heard(second)}, 1);
    EXPECT_EQ(log.s.membership.nodes.size(), 1U);
    EXPECT_EQ(log.s.membership.fenced, 1U);
}

TEST(leadership, a_loaded_state_counts_as_heard_now)
{
    const auto log = make_history();
    leadership duty(second, {});
    duty.loaded(log.s, 1h);
    const auto claims = [&](leadership::instant now) {
        const auto due = duty.due(log.s, now);
        return std::ranges::any_of(due, [](const membership_event& e) {
            return std::holds_alternative<term_claimed>(e);
        });
    };
    EXPECT_FALSE(claims(1h + 4s));
    EXPECT_TRUE(claims(1h + 5s));
}

} // namespace
