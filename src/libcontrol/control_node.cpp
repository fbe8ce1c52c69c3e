#include <dandeliontack/control_node.hpp>
#include <dandeliontack/record_codec.hpp>
#include <dandeliontack/snapshot.hpp>
#include <dandeliontack/snapshot_loader.hpp>

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
constexpr auto read_retry = std::chrono::milliseconds(100);
constexpr std::size_t kept_outcomes = 4096;
// Each member waits this much longer than the one before it, so that as a
// rule only the first puts operator records in order.
constexpr auto ordering_step = std::chrono::milliseconds(100);

constexpr int checks_per_heartbeat = 5;

leadership::instant monotonic_now()
{
    return std::chrono::duration_cast<leadership::instant>(
        std::chrono::steady_clock::now().time_since_epoch());
}

// Heartbeats and the like change nothing that requests are routed by.
bool may_change_routing(const event& e)
{
    return !std::holds_alternative<membership_event>(e.body) &&
           !std::holds_alternative<order_event>(e.body);
}

asio::awaitable<void>
pause_for(asio::any_io_executor executor, std::chrono::milliseconds duration)
{
    asio::steady_timer timer(executor, duration);
    co_await timer.async_wait(no_throw);
}

} // namespace

control_node::control_node(
    asio::any_io_executor executor, control_settings settings, log_client& log,
    host_list_client& hosts, control_server& server, metric_registry& metrics)
    : executor_(std::move(executor)),
      settings_(std::move(settings)),
      log_(log),
      host_list_(hosts),
      server_(server),
      metrics_(metrics),
      out_("control.node"),
      proposals_(
          executor_, log, log_stream::system, make_incarnation(), metrics),
      leadership_(proposals_.writer(), settings_.leadership),
      unordered_(executor_),
      peers_(executor_)
{}

void control_node::start(const endpoint& peer_address)
{
    peer_address_ = peer_address;
    snapshot_proposed_ = std::chrono::steady_clock::now();
    asio::co_spawn(executor_, run_log(), asio::detached);
    asio::co_spawn(executor_, poll_hosts(), asio::detached);
    asio::co_spawn(executor_, order_operators(), asio::detached);
    asio::co_spawn(executor_, keep_membership(), asio::detached);
    asio::co_spawn(executor_, relay_from_peers(), asio::detached);
    asio::co_spawn(executor_, proposals_.run(), asio::detached);
}

asio::awaitable<void> control_node::stop(std::chrono::milliseconds patience)
{
    stopping_ = true;
    if (state_.membership.nodes.contains(self()))
        proposals_.propose(membership_event{node_left{self()}});
    const auto until = std::chrono::steady_clock::now() + patience;
    while (proposals_.backlog() != 0 &&
           std::chrono::steady_clock::now() < until)
        co_await pause_for(executor_, std::chrono::milliseconds(5));
    proposals_.stop();
}

bool control_node::ready() const
{
    return caught_up_ && gap_.empty() && !stopping_;
}

asio::awaitable<void> control_node::run_log()
{
    const bool loaded = co_await load();
    if (loaded)
    {
        asio::co_spawn(executor_, tail(log_stream::operators), asio::detached);
        co_await tail(log_stream::system);
    }
}

asio::awaitable<std::optional<log_batch>> control_node::read_log(
    log_stream stream, std::uint64_t from, std::chrono::milliseconds wait)
{
    auto result = co_await log_.read(stream, from, wait);
    if (auto* batch = std::get_if<log_batch>(&result))
        co_return std::move(*batch);
    metrics_.get_counter("tack_log_reads_failed_total").add();
    out_.debug(
        "Reading the log failed: ", std::get<read_failed>(result).reason, ".");
    co_await pause_for(executor_, read_retry);
    co_return std::nullopt;
}

// Reads the system's stream to its end and takes the newest snapshot in it as
// the state to go on from. Returns whether the node can go on.
asio::awaitable<bool> control_node::load()
{
    snapshot_loader loader;
    while (!loader.complete())
    {
        const auto batch = co_await read_log(
            log_stream::system, loader.next_offset(),
            std::chrono::milliseconds(0));
        if (batch)
            loader.take(*batch);
    }
    if (loader.gap())
    {
        note_gap(0, loader.oldest());
        co_return false;
    }
    auto start = loader.finish();
    state_ = std::move(start.loaded);
    order_ = log_order(state_.order.system_end, state_.order.operators_end);
    leadership_.loaded(state_, monotonic_now());
    if (state_.order.system_end != 0)
        out_.info("Loaded a snapshot at offset ", state_.order.system_end, ".");
    metrics_.get_gauge("tack_snapshot_loaded_end")
        .set(static_cast<std::int64_t>(state_.order.system_end));
    for (auto& e : start.tail)
        order_.push(std::move(e));
    apply_ready();
    co_return true;
}

void control_node::note_gap(std::uint64_t wanted, std::uint64_t oldest)
{
    gap_ = "the log was trimmed: offset " + std::to_string(wanted) +
           " is wanted, " + std::to_string(oldest) +
           " is the oldest, and no whole snapshot covers the gap";
    metrics_.get_gauge("tack_log_gap").set(1);
    out_.error("Can't go on: ", gap_, ".");
}

asio::awaitable<void> control_node::tail(log_stream stream)
{
    // The first read tells where the log ends, so it must not wait.
    std::chrono::milliseconds wait{0};
    while (gap_.empty())
    {
        const auto asked = std::chrono::steady_clock::now();
        const auto batch =
            co_await read_log(stream, order_.next_offset(stream), wait);
        if (!batch)
            continue;
        take_batch(stream, *batch);
        if (stream == log_stream::system &&
            order_.next_offset(stream) >= batch->end)
        {
            log_confirmed_ = asked;
            confirm_fresh(asked);
        }
        wait = settings_.log.poll;
    }
}

void control_node::take_batch(log_stream stream, const log_batch& batch)
{
    const auto expected = order_.next_offset(stream);
    if (batch.first_offset > expected)
    {
        note_gap(expected, batch.first_offset);
        return;
    }
    auto offset = batch.first_offset;
    for (const auto& record : batch.records)
        take_record(stream, offset++, record);
    apply_ready();
    if (stream == log_stream::system && order_.next_offset(stream) >= batch.end)
    {
        if (!std::exchange(caught_up_, true))
        {
            out_.info(
                "Caught up with the log at offset ", state_.order.system_end,
                ".");
            publish_routing();
        }
        join_if_missing();
    }
    unordered_.cancel();
}

void control_node::apply_ready()
{
    bool changed = false;
    while (auto e = order_.pop())
    {
        apply(*e);
        changed = changed || may_change_routing(*e);
    }
    metrics_.get_gauge("tack_applied_system_end")
        .set(static_cast<std::int64_t>(state_.order.system_end));
    metrics_.get_gauge("tack_applied_operators_end")
        .set(static_cast<std::int64_t>(state_.order.operators_end));
    if (changed)
        publish_routing();
}

void control_node::apply(const event& e)
{
    auto result = reduce(std::move(state_), e);
    state_ = std::move(result.next);
    metrics_.get_counter("tack_events_applied_total").add();
    leadership_.observe(e, state_, monotonic_now());
    if (find_effect<leader_changed>(result.todo))
        out_.info("Term ", term(), " began.");
    note_outcome(e, result.todo);
    for (const auto& observe : observers_)
        observe(e, result.todo);
}

void control_node::note_outcome(const event& e, const effects& todo)
{
    if (e.origin.stream != log_stream::operators)
        return;
    const record_key key{e.origin.writer, e.origin.sequence};
    const auto* rejected = find_effect<record_rejected>(todo);
    if (rejected)
        metrics_.get_counter("tack_records_rejected_total").add();
    record_outcome noted{e.origin.offset, !rejected, {}};
    if (rejected)
        noted.found = rejected->found;
    if (!outcomes_.try_emplace(key, std::move(noted)).second)
        return;
    outcome_age_.push_back(key);
    if (outcome_age_.size() > kept_outcomes)
    {
        outcomes_.erase(outcome_age_.front());
        outcome_age_.pop_front();
    }
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

void control_node::take_record(
    log_stream stream, std::uint64_t offset, const std::string& record)
{
    if (order_.push(decode_record(stream, offset, record)))
        server_.relay().keep(stream, offset, record);
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

// A state that is still behind the log is nothing to route by.
void control_node::publish_routing()
{
    if (!caught_up_)
        return;
    server_.publish(make_routing_table(state_, hosts_listed_));
}

asio::awaitable<void> control_node::poll_hosts()
{
    while (!stopping_)
    {
        auto result = co_await host_list_.fetch();
        if (auto* hosts = std::get_if<std::vector<listed_host>>(&result))
        {
            if (*hosts != hosts_listed_)
            {
                hosts_listed_ = std::move(*hosts);
                out_.info(
                    "The host list has ", hosts_listed_.size(), " hosts.");
                publish_routing();
            }
        }
        else
        {
            metrics_.get_counter("tack_host_list_failed_total").add();
            out_.debug(
                "Fetching the host list failed: ",
                std::get<host_list_failed>(result).reason, ".");
        }
        co_await pause_for(executor_, settings_.hosts.interval);
    }
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

void control_node::on_applied(applied_handler observe)
{
    observers_.push_back(std::move(observe));
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

std::optional<record_outcome> control_node::outcome_of(
    const incarnation& writer, std::uint64_t sequence) const
{
    const auto found = outcomes_.find({writer, sequence});
    if (found == outcomes_.end())
        return std::nullopt;
    return found->second;
}

} // namespace dandeliontack
