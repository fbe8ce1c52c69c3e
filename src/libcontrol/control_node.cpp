#include <dandeliontack/control_node.hpp>
#include <dandeliontack/pause.hpp>
#include <dandeliontack/record_codec.hpp>
#include <dandeliontack/snapshot_loader.hpp>

#include <boost/asio.hpp>

#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;

namespace
{

constexpr auto read_retry = std::chrono::milliseconds(100);
constexpr std::size_t kept_outcomes = 4096;

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
        changed = changed || !is_bookkeeping(*e);
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

void control_node::take_record(
    log_stream stream, std::uint64_t offset, const std::string& record)
{
    if (order_.push(decode_record(stream, offset, record)))
        server_.relay().keep(stream, offset, record);
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

void control_node::on_applied(applied_handler observe)
{
    observers_.push_back(std::move(observe));
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