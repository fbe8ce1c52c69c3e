// Any interleaving, duplication, lost answer and takeover: replicas that read
// the two streams in any order agree, one change wins each revision, and no
// accepted revision is ever lower than one before.

#include <dandeliontack/log_order.hpp>
#include <dandeliontack/reducer.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace
{

using namespace dandeliontack;

constexpr std::uint64_t writers = 4;

// What the log holds, and what the writers still have to say.
struct model
{
    std::vector<event> operators;
    std::vector<event> system;
    /// By writer, the records whose answers were lost.
    std::map<std::uint64_t, std::vector<event>> unconfirmed;
    std::map<std::uint64_t, std::uint64_t> sequences;
};

// One node: how far it has read each stream, and what it applied.
struct replica
{
    log_order order;
    state s;
    std::map<std::string, std::uint64_t> revisions;
    std::uint64_t term = 0;
    /// The records that were accepted or rejected.
    std::set<std::pair<incarnation, std::uint64_t>> settled;
};

struct replicas
{
    std::vector<event> operators;
    std::vector<event> system;
    std::vector<replica> nodes{3};
    /// The hash of any replica at a pair of ends.
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::uint64_t> hashes;
    /// What won a revision of a pool on any replica.
    std::map<std::pair<std::string, std::uint64_t>, std::string> winners;
};

void check_revisions(replicas& all, replica& node)
{
    for (const auto& [name, value] : node.s.config.pools)
    {
        auto& last = node.revisions[name];
        RC_ASSERT(value.revision == last || value.revision == last + 1);
        last = value.revision;
        const auto won = all.winners.try_emplace(
            {name, value.revision}, value.config.hosts.front());
        RC_ASSERT(won.first->second == value.config.hosts.front());
    }
}

// A record is settled once, and accepted only on the base that it names.
void check_outcome(
    replica& node, const state& before, const event& e, const effects& todo)
{
    const auto* accepted = find_effect<config_accepted>(todo);
    if (!accepted && !find_effect<record_rejected>(todo))
        return;
    const auto first =
        node.settled.insert({e.origin.writer, e.origin.sequence});
    RC_ASSERT(first.second);
    if (!accepted)
        return;
    const auto& change =
        std::get<pool_published>(std::get<config_event>(e.body));
    const auto old = before.config.pools.find(change.config.name);
    const auto revision =
        old == before.config.pools.end() ? 0 : old->second.revision;
    RC_ASSERT(change.base == revision);
}

void check_term(replica& node, const event& e, std::size_t hosts_before)
{
    const auto& term = node.s.membership.term;
    RC_ASSERT(term.number == node.term || term.number == node.term + 1);
    node.term = term.number;
    // Hosts that a pool names come with its publication, which has no term.
    if (e.origin.stream == log_stream::system &&
        node.s.fleet.hosts.size() != hosts_before)
        RC_ASSERT(
            e.origin.term == term.number && e.origin.writer == term.leader);
}

void apply_ready(replicas& all, replica& node)
{
    while (const auto e = node.order.pop())
    {
        const auto before = node.s;
        auto result = reduce(std::move(node.s), *e);
        node.s = std::move(result.next);
        check_outcome(node, before, *e, result.todo);
        check_revisions(all, node);
        check_term(node, *e, before.fleet.hosts.size());
        const auto& order = node.s.order;
        const auto hash = hash_of(node.s);
        const auto known = all.hashes.try_emplace(
            {order.system_end, order.operators_end}, hash);
        RC_ASSERT(known.first->second == hash);
    }
}

struct command : rc::state::Command<model, replicas>
{
};

// A writer appends a record; its answer may be lost, and then it sends the
// record again, maybe several times, before anything newer.
struct append : command
{
    std::uint64_t writer = *rc::gen::inRange<std::uint64_t>(1, writers + 1);
    bool answered = *rc::gen::weightedElement<bool>({{3, true}, {1, false}});
    unsigned kind = *rc::gen::inRange(0U, 7U);
    std::uint64_t number = *rc::gen::inRange<std::uint64_t>(0, 4);
    std::string pool = *rc::gen::element<std::string>("a", "b");

    event_body body(const model& m) const
    {
        const auto seq =
            m.sequences.contains(writer) ? m.sequences.at(writer) : 0;
        const auto text = std::to_string(writer) + "-" + std::to_string(seq);
        if (kind < 2)
        {
            pool_config config;
            config.name = pool;
            config.hosts = {text};
            return config_event{pool_published{"tester", number, config}};
        }
        if (kind == 2)
            return order_event{operators_ordered{m.operators.size()}};
        if (kind == 3)
            return membership_event{node_joined{text, "dc", {}}};
        if (kind == 4)
            return membership_event{node_heartbeat{}};
        if (kind == 5)
            return membership_event{claim(m)};
        return fleet_event{host_observed{.host = text}};
    }

    // Based on what a replica up to date would see, or on something older.
    term_claimed claim(const model& m) const
    {
        state s;
        for (std::size_t i = 0; i + number % 2 < m.system.size(); ++i)
            s = reduce(std::move(s), m.system[i]).next;
        return {s.membership.term.number + 1, s.membership.term.heard_at};
    }

    event make(const model& m) const
    {
        const auto pending = m.unconfirmed.find(writer);
        if (pending != m.unconfirmed.end() && !pending->second.empty())
            return pending->second.front();
        event e;
        e.body = body(m);
        const bool config = std::holds_alternative<config_event>(e.body);
        e.origin.stream = config ? log_stream::operators : log_stream::system;
        e.origin.writer = {1, writer};
        const auto last = m.sequences.find(writer);
        e.origin.sequence = last == m.sequences.end() ? 1 : last->second + 1;
        e.origin.term =
            std::holds_alternative<fleet_event>(e.body) ? 1 + number % 3 : 0;
        return e;
    }

    void apply(model& m) const override
    {
        auto e = make(m);
        auto& stream =
            e.origin.stream == log_stream::system ? m.system : m.operators;
        auto& pending = m.unconfirmed[writer];
        pending.clear();
        if (!answered)
            pending.push_back(e);
        m.sequences[writer] = e.origin.sequence;
        e.origin.offset = stream.size();
        stream.push_back(std::move(e));
    }

    void run(const model& m, replicas& all) const override
    {
        auto after = m;
        apply(after);
        all.operators = after.operators;
        all.system = after.system;
    }

    void show(std::ostream& out) const override
    {
        out << "append(" << writer << ", kind " << kind << ", " << number
            << (answered ? ")" : ", answer lost)");
    }
};

// A replica reads some records of one stream and applies what it can.
struct read_some : command
{
    std::size_t node = *rc::gen::inRange<std::size_t>(0, 3);
    bool from_system = *rc::gen::arbitrary<bool>();
    std::size_t most = *rc::gen::inRange<std::size_t>(1, 6);

    void run(const model&, replicas& all) const override
    {
        auto& reader = all.nodes[node];
        const auto& records = from_system ? all.system : all.operators;
        auto next = reader.order.next_offset(
            from_system ? log_stream::system : log_stream::operators);
        for (auto left = most; left > 0 && next < records.size(); --left)
            reader.order.push(records[next++]);
        apply_ready(all, reader);
    }

    void show(std::ostream& out) const override
    {
        out << "read(" << node << ", " << (from_system ? "system" : "operators")
            << ", " << most << ")";
    }
};

void read_all(replicas& all)
{
    for (auto& node : all.nodes)
    {
        for (const auto& e : all.system)
            node.order.push(e);
        for (const auto& e : all.operators)
            node.order.push(e);
        apply_ready(all, node);
    }
}

RC_GTEST_PROP(agreement, replicas_agree_and_revisions_never_go_back, ())
{
    replicas all;
    rc::state::check(
        model{}, all,
        rc::state::gen::execOneOfWithArgs<append, append, read_some>());
    read_all(all);
    for (const auto& node : all.nodes)
    {
        RC_ASSERT(node.s == all.nodes.front().s);
        RC_ASSERT(node.s.order.system_end == all.system.size());
    }
    RC_CLASSIFY(all.nodes.front().s.membership.term.number > 1, "takeover");
    RC_CLASSIFY(all.nodes.front().s.membership.fenced > 0, "fenced");
    RC_CLASSIFY(!all.winners.empty(), "accepted");
}

} // namespace
