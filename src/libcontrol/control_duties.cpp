#include <dandeliontack/control_node.hpp>
#include <dandeliontack/pause.hpp>
#include <dandeliontack/snapshot.hpp>

#include <boost/asio.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;

namespace
{

constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);
// Each member waits this much longer than the one before it, so that as a
// rule only the first puts operator records in order.
constexpr auto ordering_step = std::chrono::milliseconds(100);
constexpr int checks_per_heartbeat = 5;

} // namespace

leadership::instant control_node::monotonic_now()
{
    return std::chrono::duration_cast<leadership::instant>(
        std::chrono::steady_clock::now().time_since_epoch());
}

void control_node::join_if_missing()
{
    const bool member = state_.membership.nodes.contains(self());
    if (member || stopping_ || join_pending_)
    {
        join_pending_ = join_pending_ && !member;
        return;
    }
    join_pending_ = true;
    proposals_.propose(membership_event{node_joined{
        settings_.node.name, settings_.node.data_centre, peer_address_}});
}

void control_node::propose_membership()
{
    const auto now = monotonic_now();
    for (auto& body : leadership_.due(state_, now))
    {
        // Only the removal of another member needs the leader's term.
        const bool needs_term = std::holds_alternative<node_left>(body);
        const auto sequence = proposals_.propose(body, needs_term ? term() : 0);
        leadership_.proposed(body, sequence, now);
    }
}

asio::awaitable<void> control_node::keep_membership()
{
    const auto pause = std::max(
        std::chrono::milliseconds(1),
        settings_.leadership.heartbeat / checks_per_heartbeat);
    while (!stopping_)
    {
        if (ready())
        {
            join_if_missing();
            propose_membership();
            write_snapshot_if_due();
        }
        metrics_.get_gauge("tack_leads").set(leads() ? 1 : 0);
        co_await pause_for(executor_, pause);
    }
}

// The leader writes the state to the log well before the log drops the records
// that the last snapshot goes on from.
void control_node::write_snapshot_if_due()
{
    const auto now = std::chrono::steady_clock::now();
    const auto& order = state_.order;
    const auto newest = std::max(order.snapshot_end, snapshot_proposed_end_);
    const bool due = order.system_end >= newest + settings_.snapshots.records ||
                     now - snapshot_proposed_ >= settings_.snapshots.interval;
    // Between a mark and the records that it puts in order the two ends don't
    // say where to go on.
    const bool between = order_.ordered_end() > order.operators_end;
    if (!due || between || proposals_.backlog() != 0 || !leads())
        return;
    snapshot_proposed_ = now;
    snapshot_proposed_end_ = order.system_end;
    for (auto& chunk : make_snapshot(state_))
        propose(order_event{std::move(chunk)});
    metrics_.get_counter("tack_snapshots_written_total").add();
}

bool control_node::leads() const
{
    return ready() && leadership_.holds(state_, monotonic_now());
}

void control_node::propose(event_body body)
{
    if (!leads())
    {
        metrics_.get_counter("tack_proposals_without_lease_total").add();
        return;
    }
    proposals_.propose(std::move(body), term());
}

void control_node::propose_as_member(event_body body)
{
    proposals_.propose(std::move(body));
}

std::chrono::milliseconds control_node::ordering_delay() const
{
    return leadership_.rank(state_) * ordering_step;
}

asio::awaitable<void> control_node::order_operators()
{
    std::uint64_t proposed_end = 0;
    while (!stopping_)
    {
        const auto read_end = order_.next_offset(log_stream::operators);
        const auto ordered = std::max(order_.ordered_end(), proposed_end);
        if (!caught_up_ || read_end <= ordered)
        {
            unordered_.expires_at(asio::steady_timer::time_point::max());
            co_await unordered_.async_wait(no_throw);
            continue;
        }
        co_await pause_for(executor_, ordering_delay());
        proposed_end = order_.next_offset(log_stream::operators);
        if (proposed_end > order_.ordered_end())
            proposals_.propose(order_event{operators_ordered{proposed_end}});
    }
}

} // namespace dandeliontack
