#include <dandeliontack/control_node.hpp>
#include <dandeliontack/pause.hpp>

#include <boost/asio.hpp>

namespace dandeliontack
{

namespace asio = boost::asio;

// The log had nothing more when it was asked. That counts for the state only
// where the operator records that are in order are applied as well.
void control_node::confirm_fresh(std::chrono::steady_clock::time_point when)
{
    if (gap_.empty() && order_.ordered_end() <= state_.order.operators_end)
    {
        server_.confirm(
            when, {state_.order.system_end, state_.order.operators_end});
        server_.relay().confirm(when);
    }
}

// The member behind the one that was asked last, around the list; null where
// this node is alone.
const member* control_node::next_peer()
{
    const auto& nodes = state_.membership.nodes;
    auto next = nodes.upper_bound(last_asked_);
    for (std::size_t tried = 0; tried < nodes.size(); ++tried, ++next)
    {
        if (next == nodes.end())
            next = nodes.begin();
        if (next->first == self())
            continue;
        last_asked_ = next->first;
        return &next->second;
    }
    return nullptr;
}

void control_node::take_relayed(const relayed_records& got)
{
    if (!gap_.empty() || stopping_)
        return;
    const auto system_from = order_.next_offset(log_stream::system);
    const auto operators_from = order_.next_offset(log_stream::operators);
    // A reply that comes late begins at offsets that were passed meanwhile.
    const bool current =
        got.system_from == system_from && got.operators_from == operators_from;
    if (!current)
        return;
    auto offset = system_from;
    for (const auto& record : got.system)
        take_record(log_stream::system, offset++, record);
    offset = operators_from;
    for (const auto& record : got.operators)
        take_record(log_stream::operators, offset++, record);
    apply_ready();
    metrics_.get_counter("tack_records_relayed_total")
        .add(got.system.size() + got.operators.size());
    if (order_.next_offset(log_stream::system) >= got.system_end)
        confirm_fresh(got.confirmed);
}

// While the log does not answer, peers may still read it.
asio::awaitable<void> control_node::relay_from_peers()
{
    const auto interval = settings_.leadership.heartbeat;
    while (!stopping_)
    {
        co_await pause_for(executor_, interval / 2);
        const auto silent = std::chrono::steady_clock::now() - log_confirmed_;
        const auto* peer = silent > 2 * interval ? next_peer() : nullptr;
        if (peer && caught_up_)
            peers_.ask(
                peer->peer_address, order_.next_offset(log_stream::system),
                order_.next_offset(log_stream::operators), interval,
                [this](const relayed_records& got) { take_relayed(got); });
    }
}

} // namespace dandeliontack
