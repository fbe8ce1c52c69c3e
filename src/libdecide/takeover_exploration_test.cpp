// Explores every interleaving of two nodes that keep and take the leadership,
// over the real reducer, up to small bounds: delayed and repeated appends, lost
// answers, and either node frozen at any step (a node that takes no step while
// the clock advances is a frozen one).

#include <dandeliontack/leadership.hpp>
#include <dandeliontack/reducer.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <set>
#include <sstream>

namespace
{

using namespace dandeliontack;
using namespace std::chrono_literals;

constexpr lease_settings settings{
    .heartbeat = 1ms,
    .lease = 1ms,
    .takeover = 2ms,
    .takeover_step = 0ms,
    .member_timeout = 100ms};

struct bounds
{
    int ticks = 0;
    int appends = 0;
    int lost_answers = 0;
    int decisions = 0;
};

struct node
{
    explicit node(std::uint64_t number)
        : id{0, number}, duty(incarnation{0, number}, settings)
    {}

    incarnation id;
    leadership duty;
    state s;
    std::size_t applied = 0;
    std::uint64_t sequence = 0;
    /// Records that the log has not confirmed.
    std::deque<event> queue;
    /// All that the node did; stands for its private state in the world's key.
    std::string history;
};

struct world
{
    std::array<node, 2> nodes{node(1), node(2)};
    std::vector<event> log;
    leadership::instant now{1};
    bounds left;
    std::uint64_t highest_acted_term = 0;
    std::string violation;

    /// The log as it should be applied: the state, its hash at each offset,
    /// and who decided in which term.
    state expected;
    std::vector<std::uint64_t> hashes{hash_of(state{})};
    std::map<std::uint64_t, incarnation> deciders;
};

event make_record(node& by, event_body body, std::uint64_t term)
{
    return {
        {log_stream::system, 0, by.id, ++by.sequence, term},
        {},
        std::move(body)};
}

void apply_log(world& w, node& n)
{
    for (; n.applied < w.log.size(); ++n.applied)
    {
        const auto& e = w.log[n.applied];
        n.s = reduce(std::move(n.s), e).next;
        n.duty.observe(e, n.s, w.now);
    }
    if (hash_of(n.s) != w.hashes[n.applied])
        w.violation = "replicas differ at one offset";
}

// Decides where the node leads.
void decide(world& w, node& n)
{
    if (!n.duty.holds(n.s, w.now))
        return;
    const auto term = n.s.membership.term.number;
    if (term < w.highest_acted_term)
        w.violation = "a node acted under a term that is over";
    w.highest_acted_term = std::max(w.highest_acted_term, term);
    if (w.left.decisions == 0)
        return;
    --w.left.decisions;
    const auto host = "h" + std::to_string(n.sequence);
    n.queue.push_back(
        make_record(n, fleet_event{host_observed{.host = host}}, term));
}

// Applies what is new, decides, and writes what is due.
void step(world& w, node& n)
{
    apply_log(w, n);
    decide(w, n);
    for (const auto& body : n.duty.due(n.s, w.now))
    {
        n.queue.push_back(make_record(n, body, 0));
        n.duty.proposed(body, n.sequence, w.now);
    }
}

// A decision that takes effect is of the current term, and all of one term
// have one writer.
void check_decision(world& w, const event_origin& origin)
{
    if (origin.term != w.expected.membership.term.number)
        w.violation = "a decision of a past term took effect";
    const auto decider = w.deciders.try_emplace(origin.term, origin.writer);
    if (decider.first->second != origin.writer)
        w.violation = "two nodes decided in one term";
}

void append(world& w, node& n, bool answered)
{
    auto e = n.queue.front();
    if (answered)
        n.queue.pop_front();
    e.origin.offset = w.log.size();
    const auto hosts = w.expected.fleet.hosts.size();
    w.expected = reduce(std::move(w.expected), e).next;
    w.hashes.push_back(hash_of(w.expected));
    if (w.expected.fleet.hosts.size() != hosts)
        check_decision(w, e.origin);
    w.log.push_back(std::move(e));
}

void check_leases(world& w)
{
    const auto holders = std::ranges::count_if(
        w.nodes, [&](const node& n) { return n.duty.holds(n.s, w.now); });
    if (holders > 1)
        w.violation = "two nodes hold a lease at once";
}

struct action
{
    char name;
    std::function<bool(const world&)> enabled;
    std::function<void(world&)> run;
};

std::vector<action> all_actions()
{
    std::vector<action> out;
    out.push_back(
        {'t', [](const world& w) { return w.left.ticks > 0; },
         [](world& w) {
             --w.left.ticks;
             w.now += 1ms;
         }});
    for (std::size_t i = 0; i < 2; ++i)
    {
        const auto number = std::to_string(i);
        out.push_back(
            {number[0], [](const world&) { return true; },
             [i](world& w) { step(w, w.nodes[i]); }});
        const auto can_append = [i](const world& w) {
            return w.left.appends > 0 && !w.nodes[i].queue.empty();
        };
        out.push_back({i == 0 ? 'a' : 'b', can_append, [i](world& w) {
                           --w.left.appends;
                           append(w, w.nodes[i], true);
                       }});
        out.push_back(
            {i == 0 ? 'A' : 'B',
             [can_append](const world& w) {
                 return can_append(w) && w.left.lost_answers > 0;
             },
             [i](world& w) {
                 --w.left.appends;
                 --w.left.lost_answers;
                 append(w, w.nodes[i], false);
             }});
    }
    return out;
}

// Two worlds with the same key behave alike from there on. A node's private
// state follows from when it took steps and what the log held then.
std::string key_of(const world& w)
{
    std::ostringstream out;
    out << w.now.count() << '/' << w.left.appends << '/' << w.left.lost_answers
        << '/' << w.left.decisions << '/' << w.highest_acted_term << '/';
    for (const auto& e : w.log)
        out << e.origin.writer.low << '.' << e.origin.sequence << ' ';
    for (const auto& n : w.nodes)
        out << '|' << n.history << '|' << n.queue.size();
    return out.str();
}

struct exploration
{
    std::vector<action> actions = all_actions();
    std::set<std::string> seen;
    std::string path;
    std::string violation;
    std::uint64_t highest_term = 0;

    void explore(const world& w);
    void take(const action& a, world next);
};

void note_history(node& n, const node& before, leadership::instant now)
{
    if (n.applied == before.applied && n.sequence == before.sequence)
        return;
    n.history += std::to_string(now.count()) + "." + std::to_string(n.applied) +
                 "." + std::to_string(n.sequence) + " ";
}

void exploration::take(const action& a, world next)
{
    const auto before = next.nodes;
    a.run(next);
    for (std::size_t i = 0; i < before.size(); ++i)
        note_history(next.nodes[i], before[i], next.now);
    check_leases(next);
    path.push_back(a.name);
    if (!next.violation.empty())
        violation = next.violation + " after " + path;
    else
        explore(next);
    path.pop_back();
}

void exploration::explore(const world& w)
{
    if (!violation.empty() || !seen.insert(key_of(w)).second)
        return;
    for (const auto& n : w.nodes)
        highest_term = std::max(highest_term, n.s.membership.term.number);
    for (const auto& a : actions)
        if (violation.empty() && a.enabled(w))
            take(a, w);
}

// Both nodes are members and the first leads.
world first_term()
{
    world w;
    for (auto& n : w.nodes)
        n.queue.push_back(
            make_record(n, membership_event{node_joined{"n", "dc", {}}}, 0));
    for (auto& n : w.nodes)
        append(w, n, true);
    for (auto& n : w.nodes)
        apply_log(w, n);
    auto& first = w.nodes[0];
    const membership_event claim = term_claimed{1, 0};
    first.queue.push_back(make_record(first, claim, 0));
    first.duty.proposed(claim, first.sequence, w.now);
    append(w, first, true);
    for (auto& n : w.nodes)
        apply_log(w, n);
    return w;
}

void expect_no_violation(const bounds& limits)
{
    auto start = first_term();
    start.left = limits;
    exploration all;
    all.explore(start);
    EXPECT_EQ(all.violation, "");
    EXPECT_GE(all.highest_term, 2U) << "no takeover was reached";
    EXPECT_GT(all.seen.size(), 1000U);
    std::cout << all.seen.size() << " worlds\n";
}

TEST(takeover_exploration, one_frozen_leader_one_lost_answer_one_late_decision)
{
    expect_no_violation(
        {.ticks = 3, .appends = 3, .lost_answers = 1, .decisions = 1});
}

} // namespace
