#include <dandeliontack/pause.hpp>
#include <dandeliontack/program.hpp>
#include <dandeliontack/spawn.hpp>
#include <dandeliontack/tack_node.hpp>

#include <boost/asio.hpp>
#include <platform/host_calls.hpp>
#include <platform/operator_records.hpp>
#include <platform/store_codec.hpp>

#include <algorithm>
#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

using namespace std::chrono_literals;

// Intervals between announcements. For nodes that own a shard, well below the
// time after which a node is considered failed; the others are only candidates
// for shards.
constexpr auto owner_interval = 400ms;
constexpr auto candidate_interval = 2000ms;
// Timeouts for storing an announcement through the holder of the fleet duty.
// They cover batching and two appends to a store that is fifty times slower
// than usual. `owner_timeout` is further limited by the time for which an owner
// may act without a new announcement (`lease_terms::claim_validity`): it stays
// below that together with `owner_interval`.
constexpr auto owner_timeout = 1000ms;
constexpr auto candidate_timeout = 2000ms;
// To spare the store, a node without shards stores an announcement itself only
// if its last one is this old, shortly before it would be considered failed.
constexpr auto candidate_max_age = 6000ms;
constexpr auto candidate_retry = 1000ms;
constexpr auto claim_interval = 150ms;
// Delay after a failed claim, by which the node that succeeded has announced
// itself as the owner. The longer of a time and a multiple of the append
// latency.
constexpr auto claim_retry_delay = 1500ms;
constexpr int claim_retry_appends = 5;
// Pause between changes of the shards that this node owns and a handover that
// balances the load, in which a claim is announced and its takeover settles.
constexpr auto balance_interval = 2000ms;
// How long a read of the operator's topic waits for new records. A dead
// connection is detected within this and the call's own timeout.
constexpr auto operator_read_wait = 800ms;
// What a read of the operator's topic returns beside its first record: small
// records come together, a large configuration alone.
constexpr std::uint32_t operator_read_kb = 64;
constexpr auto registry_interval = 250ms;
constexpr auto hosts_interval = 100ms;
constexpr auto log_interval = 100ms;
// Polling interval of the layout until it exists.
constexpr auto layout_interval = 200ms;
// A node that can't reach the store for this long reports not ready.
constexpr auto max_store_outage = 3000ms;
// Time until the platform sends no new connections: two failed readiness
// checks, one per second.
constexpr auto rotation_delay = 2300ms;
constexpr auto stop_margin = 700ms;
// The part of the connections that each address is guaranteed, as a divisor.
constexpr std::size_t caller_part = 2;
constexpr std::size_t peer_part = 8;
constexpr std::size_t page_part = 32;

http_limits limits_of(
    const tack_node_settings& settings,
    const std::shared_ptr<connection_budget>& connections, std::size_t part,
    std::string server)
{
    auto limits =
        http_limits_of(settings.limits, connections, part, std::move(server));
    // Decoded, encoded for the store or another node, and in the call there.
    limits.request_copies = 3;
    return limits;
}

http_limits caller_limits(
    const tack_node_settings& settings,
    const std::shared_ptr<connection_budget>& connections)
{
    auto limits = limits_of(settings, connections, caller_part, "callers");
    limits.header_bytes = 16 * 1024;
    limits.body_bytes = 256 * 1024;
    limits.idle = 60s;
    limits.transfer = 10s;
    return limits;
}

// A call holds a record, or less.
http_limits peer_limits(
    const tack_node_settings& settings,
    const std::shared_ptr<connection_budget>& connections)
{
    constexpr std::uint64_t beside_record = 16 * 1024;
    auto limits = limits_of(settings, connections, peer_part, "peers");
    limits.body_bytes = settings.store.record_bytes + beside_record;
    return limits;
}

// For pages that are asked for without a body.
http_limits page_limits(
    const tack_node_settings& settings,
    const std::shared_ptr<connection_budget>& connections, std::string server)
{
    constexpr std::uint64_t most_buffered = 2 * 1024 * 1024;
    auto limits = limits_of(settings, connections, page_part, server);
    limits.body_bytes = 4 * 1024;
    limits.buffered_bytes = std::min(limits.buffered_bytes, most_buffered);
    return limits;
}

// Pause between reads of the operator's topic. A new configuration must be in
// force on every node within `config_ms`, so the pause, one more read and the
// loading have to stay well below that.
std::chrono::milliseconds
configuration_pause(const tack_node_settings& settings)
{
    constexpr double share = 0.3;
    return std::chrono::round<std::chrono::milliseconds>(
        std::chrono::duration<double, std::milli>(
            settings.bounds.config_ms * share));
}

takeover_timing takeover_timing_of(const tack_node_settings& settings)
{
    takeover_timing timing;
    timing.balance_after = std::chrono::round<std::chrono::milliseconds>(
        std::chrono::duration<double, std::milli>(settings.bounds.balance_ms));
    return timing;
}

// The pools that a configuration names.
std::set<std::string> pools_of(const queue_table& table)
{
    std::set<std::string> pools;
    for (const auto& pool : table.pools)
        pools.insert(pool.name);
    for (const auto& queue : table.queues)
        pools.insert(queue.terms.pool);
    return pools;
}

} // namespace

tack_node::tack_node(node_context& context)
    : context_(context),
      store_(context),
      advice_(context),
      shards_(takeover_timing_of(context.settings)),
      router_(context, shards_),
      relay_(
          relay_terms_of(std::chrono::round<std::chrono::milliseconds>(
              std::chrono::duration<double, std::milli>(
                  context.settings.bounds.config_ms))),
          read_clocks().steady),
      front_(context, router_, relay_),
      operator_records_(
          context, store_,
          {{std::string(platform::operator_topic), 0},
           {operator_read_wait, operator_read_kb},
           0ms,
           configuration_pause(context.settings),
           [this] { return operator_read_limit(); }},
          [this](const keyed_record& r) { apply_operator_record(r); },
          [this](boot_time as_of) { relay_.mark_read(as_of); }),
      registry_(
          context, store_,
          {registry_partition(), {}, registry_interval, 0ms, {}},
          [this](const keyed_record& r) {
              shards_.apply(r, read_clocks());
              router_.notify_owner_change();
          },
          [this](boot_time as_of) {
              shards_.mark_caught_up(read_clocks().steady);
              shards_.mark_read(as_of);
              for (const auto& [shard, owner] : router_.owners())
                  owner->notify_registry_read();
          }),
      host_records_(
          context, store_,
          {{std::string(platform::hosts_topic), 0},
           {},
           hosts_interval,
           0ms,
           {}},
          [this](const keyed_record& r) { apply_host_record(r); },
          [this](boot_time) { assign_hosts(); }),
      connections_(std::make_shared<connection_budget>(
          client_connections_of(context.settings.limits))),
      callers_(
          context.executor,
          with_arrivals(caller_limits(context.settings, connections_)),
          context.metrics,
          [this](http_request request, boot_time arrived) {
              return front_.handle(std::move(request), arrived);
          }),
      readiness_(
          context.executor,
          page_limits(context.settings, connections_, "readiness"),
          context.metrics,
          [this](http_request) -> asio::awaitable<http_response> {
              co_return make_response(
                  is_ready() ? http::status::ok
                             : http::status::service_unavailable,
                  "text/plain", is_ready() ? "ready\n" : "not ready\n");
          }),
      peers_(
          context.executor,
          with_arrivals(peer_limits(context.settings, connections_)),
          context.metrics,
          [this](http_request request, boot_time arrived) {
              return router_.serve(std::move(request), arrived);
          }),
      metrics_(
          context.executor,
          page_limits(context.settings, connections_, "metrics"),
          context.metrics,
          admin_pages(context.metrics, [this] { return is_ready(); }, {})),
      announce_now_(context.executor)
{
    context_.kept->limit = kept_bytes_of(context_.settings.limits);
    router_.set_announcement_store([this](std::string record) {
        return store_announcement(std::move(record));
    });
    for (auto* server : {&callers_, &readiness_, &peers_, &metrics_})
        server->set_refusal_observer(
            [this, server](http_refusal cause, std::uint64_t count) {
                context_.log.write(
                    "node", "requests_refused",
                    log_line()
                        .add("server", server->name())
                        .add("cause", to_string(cause))
                        .add("count", count));
            });
    router_.set_configuration_source(relay_);
}

void tack_node::start()
{
    const auto& listen = context_.settings.listen;
    const auto peers = peers_.listen(listen.peers);
    context_.peer_address = to_string(peers);
    announce("peers", peers);
    announce("metrics", metrics_.listen(listen.metrics));
    announce("callers", callers_.listen(listen.callers));
    announce("readiness", readiness_.listen(listen.readiness));
    const auto run_task = [this](std::string_view name, auto make) {
        spawn_with_restart(context_, name, std::move(make));
    };
    run_task("operator records", [this] { return operator_records_.run(); });
    run_task("registry", [this] { return registry_.run(); });
    run_task("announcements", [this] { return announce_regularly(); });
    run_task("layout", [this] { return load_layout(); });
    run_task("claims", [this] { return claim_regularly(); });
    run_task("configuration relay", [this] { return relay_configuration(); });
    run_task("log", [this] { return write_log_regularly(); });
}

bool tack_node::is_ready() const
{
    return !leaving_ && front_.table() && shards_.layout() &&
           read_clocks().steady - store_.last_success() < max_store_outage;
}

node_announcement tack_node::announcement() const
{
    const auto& limits = context_.settings.limits;
    constexpr double milli = 1000;
    return {
        context_.settings.node.name,
        context_.peer_address,
        context_.process_incarnation,
        sequence_,
        leaving_,
        static_cast<std::uint32_t>(limits.cpu_share * limits.cores * milli),
        node_epoch_,
        announce_interval(),
        without_store_,
        read_clocks().wall};
}

// The rate limit, in bytes per second, for this node's reads of the operator's
// topic. All nodes together use at most half of the store's read throughput.
double tack_node::operator_read_limit() const
{
    constexpr double bytes = 1e6;
    constexpr double share = 0.5;
    const auto nodes = shards_.alive_nodes(read_clocks().steady).size();
    return context_.settings.store.read_mb_per_second * bytes * share /
           static_cast<double>(std::max<std::size_t>(nodes, 1));
}

std::chrono::milliseconds tack_node::announce_interval() const
{
    const bool owns = duty_ || !router_.owners().empty() || !claiming_.empty();
    return owns ? owner_interval : candidate_interval;
}

store_health tack_node::current_store_health() const
{
    store_health health{store_.last_success(), {}};
    for (const auto& [shard, owner] : router_.owners())
        if (const auto since = owner->failing_since();
            since && !owner->is_lost())
            health.failing_since.push_back(*since);
    return health;
}

// Called when this node can't use the store. If the holder of the fleet duty
// still can, this node gives up its shards and announces that through it. If
// not, the store is down for all nodes and none could take over, so the shards
// are kept.
asio::awaitable<void> tack_node::give_up_shards_through_duty()
{
    if (duty_)
        co_return;
    auto probe = encode(announcement());
    const bool duty_can_store =
        co_await announce_through_duty(std::move(probe));
    const auto now = read_clocks().steady;
    if (!duty_can_store ||
        !has_lost_store(current_store_health(), now, takeover_timing{}))
        co_return;
    const auto owned = router_.owners();
    for (const auto& [shard, owner] : owned)
    {
        owner->give_up();
        router_.tell_nodes(shard, owner->record());
    }
    without_store_ = true;
    ++sequence_;
    auto record = encode(announcement());
    const bool give_up_announced =
        co_await announce_through_duty(std::move(record));
    context_.log.write(
        "node", "store_given_up",
        log_line()
            .add("shards", std::uint64_t{owned.size()})
            .add("announced", give_up_announced));
}

// Returns false also if the outcome is unknown; the caller then stores the
// announcement itself.
asio::awaitable<bool> tack_node::announce_through_duty(std::string record)
{
    if (duty_)
    {
        const auto duty = duty_;
        const bool stored = co_await duty->announce(announcement());
        co_return stored;
    }
    shard_call call{
        shard_call::verb::announce, fleet_shard, 0, std::move(record), {}};
    const auto answer = co_await router_.ask_once(
        std::move(call), announce_interval() == owner_interval
                             ? owner_timeout
                             : candidate_timeout);
    co_return answer.outcome == shard_outcome::done;
}

asio::awaitable<shard_answer> tack_node::store_announcement(std::string record)
{
    const auto to_store = decode_announcement(record);
    const auto duty = duty_;
    if (!to_store || !duty || duty->is_lost())
        co_return shard_answer{shard_outcome::not_owner, {}};
    const bool stored = co_await duty->announce(*to_store);
    co_return shard_answer{
        stored ? shard_outcome::done : shard_outcome::unknown, {}};
}

// Each process of a node writes with a higher epoch than the ones before it, so
// that the store refuses late announcements of an earlier process.
asio::awaitable<bool> tack_node::announce_directly(
    fenced_writer& writer, std::uint64_t& last,
    std::vector<keyed_record> records)
{
    constexpr auto claim_retry_time = 2000ms;
    bool done = false;
    if (writer.current_state() == fenced_writer::state::held)
        done = co_await writer.append(std::move(records));
    else
        done = co_await writer.claim(
            last, std::move(records), claim_retry_time, true);
    if (done)
        context_.last_announcement_sent = writer.last_stored_sent_at();
    else
        last = std::max(last, writer.epoch());
    node_epoch_ = writer.epoch();
    co_return done;
}

asio::awaitable<void> tack_node::announce_regularly()
{
    fenced_writer writer(
        context_, store_, registry_partition(),
        "node." + context_.settings.node.name);
    const auto started = read_clocks().wall.time_since_epoch();
    auto last = static_cast<std::uint64_t>(started.count());
    while (true)
    {
        ++sequence_;
        const auto sent = read_clocks().steady;
        const bool first = writer.current_state() != fenced_writer::state::held;
        const bool store_lost =
            has_lost_store(current_store_health(), sent, takeover_timing{});
        without_store_ = without_store_ && store_lost;
        if (!first && store_lost && !without_store_ && !leaving_)
            co_await give_up_shards_through_duty();
        if (without_store_)
        {
            // Nothing to announce until the store can be used again.
            co_await announce_now_.wait(claim_interval);
            continue;
        }
        std::vector<keyed_record> records{
            {announcement_key(context_.settings.node.name),
             encode(announcement()), 0}};
        // The first announcement is stored directly to fence earlier processes
        // of this node, urgent ones to save a call to another node.
        bool done = false;
        if (!first && claiming_.empty() && !leaving_ && !store_lost)
            done = co_await announce_through_duty(records.front().value);
        if (done)
            context_.last_announcement_sent = sent;
        const bool candidate = announce_interval() == candidate_interval;
        const bool may_wait =
            candidate &&
            sent - context_.last_announcement_sent < candidate_max_age;
        if (!done && (first || store_lost || leaving_ || !may_wait))
            done = co_await announce_directly(writer, last, std::move(records));
        const std::chrono::milliseconds retry =
            candidate && !first ? candidate_retry : claim_interval;
        co_await announce_now_.wait(done ? announce_interval() : retry);
    }
}

// The holder of the fleet duty chooses the layout once. It never changes, so
// polling ends with the first one.
asio::awaitable<void> tack_node::load_layout()
{
    while (!shards_.layout())
    {
        const auto page = co_await store_.newest(layout_partition(), {});
        for (const auto& record : page.records)
            if (auto layout = decode_layout(record.value);
                layout && record.key == layout_key)
            {
                context_.log.write(
                    "node", "layout_in_force",
                    log_line()
                        .add("cells", layout->cells)
                        .add("racks", std::uint64_t{layout->racks.size()}));
                shards_.set_layout(std::move(*layout));
            }
        if (!shards_.layout())
            co_await pause_for(context_.executor, layout_interval);
    }
    hosts_changed_ = true;
    router_.notify_owner_change();
}

asio::awaitable<void> tack_node::write_log_regularly()
{
    auto& dropped = context_.metrics.get_gauge("tack_log_lines_dropped");
    auto& responses = context_.metrics.get_gauge("tack_response_held_bytes");
    while (true)
    {
        const auto stall = stalls_.beat(read_clocks().steady);
        if (stall > 0ms)
        {
            context_.metrics.get_counter("tack_stalls_total").add();
            context_.log.write(
                "node", "stalled", log_line().add("took_ms", stall.count()));
        }
        context_.log.flush();
        dropped.set(static_cast<std::int64_t>(context_.log.dropped()));
        responses.set(
            static_cast<std::int64_t>(context_.connections.buffered_bytes()));
        co_await pause_for(context_.executor, stall_watch::beat_interval);
    }
}

http_limits tack_node::with_arrivals(http_limits limits) const
{
    limits.earliest_arrival = [this] {
        return stalls_.earliest_arrival(read_clocks().steady);
    };
    return limits;
}

void tack_node::apply_configuration(
    std::string_view encoded, std::string_view source,
    const peer_version* sender)
{
    auto decoded = platform::decode_configuration(encoded);
    auto* table = std::get_if<queue_table>(&decoded);
    const auto in_force = front_.table() ? front_.table()->version : 0;
    std::string_view outcome = "unreadable";
    if (table)
        outcome = table->version > in_force ? "in force" : "not newer";
    context_.metrics
        .get_counter(
            "tack_configurations_received_total{source=\"" +
            std::string(source) + "\",outcome=\"" + std::string(outcome) +
            "\"}")
        .add();
    const auto now = read_clocks().steady;
    auto line = log_line()
                    .add("source", source)
                    .add("version", table ? table->version : 0)
                    .add("in_force", in_force)
                    .add("bytes", std::uint64_t{encoded.size()})
                    .add("age_ms", relay_.age(now).count())
                    .add("outcome", outcome);
    if (sender)
        line.add("from", sender->node.name)
            .add("sender_age_ms", (now - sender->as_of).count());
    if (const auto* wrong = std::get_if<findings>(&decoded))
        line.add("reason", to_string(*wrong));
    context_.log.write("node", "configuration_received", line);
    if (table)
        put_in_force(std::move(*table), encoded);
}

void tack_node::put_in_force(queue_table table, std::string_view encoded)
{
    const auto now = read_clocks().steady;
    relay_.keep(table.version, std::string(encoded));
    if (!front_.table() || table.version > front_.table()->version)
        in_force_since_ = now;
    front_.set_table(std::make_shared<const queue_table>(std::move(table)));
    const auto& in_force = *front_.table();
    callers_.set_request_limits(
        {in_force.header_bytes, in_force.body_bytes, in_force.header_timeout,
         in_force.idle_timeout});
    auto pools = pools_of(*front_.table());
    hosts_changed_ = hosts_changed_ || pools != known_pools_;
    known_pools_ = std::move(pools);
    if (duty_)
        duty_->set_table(front_.shared_table());
    for (const auto& [shard, owner] : router_.owners())
        owner->set_queues(*front_.table(), in_force_since_);
    // Owners accept nothing under the new version before they have read which
    // shards accepted under earlier ones.
    if (!router_.owners().empty())
        registry_.read_soon();
}

asio::awaitable<void> tack_node::relay_configuration()
{
    while (!leaving_)
    {
        if (relay_.is_stale(read_clocks().steady))
        {
            auto others = shards_.last_read_nodes();
            std::erase_if(others, [this](const node_announcement& node) {
                return node.process_incarnation == context_.process_incarnation;
            });
            co_await ask_for_configuration(
                relay_.next_peers(std::move(others)));
        }
        co_await pause_for(context_.executor, relay_.terms().interval);
    }
}

asio::awaitable<void>
tack_node::ask_for_configuration(std::vector<node_announcement> nodes)
{
    const auto asked = std::uint64_t{nodes.size()};
    const auto answers =
        co_await router_.ask_versions(std::move(nodes), relay_.version());
    std::ranges::for_each(answers, [this](const peer_version& answer) {
        relay_.mark_confirmed(answer);
    });
    const auto source = relay_.choose(answers);
    const auto now = read_clocks().steady;
    auto line = log_line()
                    .add("in_force", relay_.version())
                    .add("age_ms", relay_.age(now).count())
                    .add("asked", asked)
                    .add("answered", std::uint64_t{answers.size()});
    if (source)
        line.add("newer_at", source->node.name)
            .add("version", source->version)
            .add("sender_age_ms", (now - source->as_of).count());
    context_.log.write("node", "configuration_asked", line);
    if (!source)
        co_return;
    const auto began = read_clocks().steady;
    const auto fetched =
        co_await router_.fetch_configuration(source->node, relay_.version());
    if (!fetched.encoded.empty())
    {
        apply_configuration(fetched.encoded, "node", &*source);
        relay_.mark_confirmed(*source);
        co_return;
    }
    context_.log.write(
        "node", "configuration_fetch_failed",
        log_line()
            .add("from", source->node.name)
            .add("in_force", relay_.version())
            .add("received_bytes", fetched.received)
            .add("took_ms", (read_clocks().steady - began).count())
            .add("reason", fetched.reason));
}

void tack_node::apply_operator_record(const keyed_record& record)
{
    if (record.key == platform::configuration_key)
    {
        apply_configuration(
            record.value, operator_records_.is_loading() ? "list" : "log");
        return;
    }
    if (!record.key.starts_with(platform::wave_prefix) || record.value.empty())
        return;
    auto decoded = platform::decode_wave(record.key, record.value);
    if (const auto* wrong = std::get_if<findings>(&decoded))
    {
        context_.log.write(
            "node", "wave_unreadable",
            log_line()
                .add("wave", record.key)
                .add("reason", to_string(*wrong)));
        return;
    }
    auto& wave = std::get<wave_request>(decoded);
    if (duty_)
        duty_->request(wave);
    const auto name = wave.name;
    waves_[name] = std::move(wave);
}

void tack_node::apply_host_record(const keyed_record& record)
{
    const auto known = hosts_.find(record.key);
    if (record.value.empty())
    {
        hosts_changed_ = hosts_changed_ || known != hosts_.end();
        hosts_.erase(record.key);
        return;
    }
    auto decoded = platform::decode_host_entry(record.key, record.value);
    if (const auto* wrong = std::get_if<findings>(&decoded))
    {
        context_.log.write(
            "node", "host_entry_unreadable",
            log_line()
                .add("host", record.key)
                .add("reason", to_string(wrong->front())));
        hosts_changed_ = hosts_changed_ || known != hosts_.end();
        hosts_.erase(record.key);
        return;
    }
    auto& entry = std::get<host_entry>(decoded);
    if (known != hosts_.end() && known->second == entry)
        return;
    hosts_changed_ = true;
    hosts_[record.key] = std::move(entry);
}

// Whether the configuration names the pool, or submissions of an earlier one
// are left there.
bool tack_node::is_known_pool(const std::string& pool) const
{
    return known_pools_.contains(pool) ||
           std::ranges::any_of(router_.owners(), [&](const auto& item) {
               return item.second->has_submissions_of(pool);
           });
}

void tack_node::assign_hosts()
{
    const auto& layout = shards_.layout();
    if (!layout || !std::exchange(hosts_changed_, false))
        return;
    std::map<shard_id, std::vector<host_entry>> entries;
    for (const auto& [shard, owner] : router_.owners())
        entries.try_emplace(shard);
    for (const auto& [id, entry] : hosts_)
    {
        if (!is_known_pool(entry.pool))
            continue;
        const auto found = entries.find(shard_of(
            entry.pool, cell_of_host(*layout, entry.rack, id),
            context_.settings.store.partitions));
        if (found != entries.end())
            found->second.push_back(entry);
    }
    for (const auto& [shard, owner] : router_.owners())
        owner->set_hosts(std::move(entries[shard]));
}

void tack_node::drop_lost_shards()
{
    std::vector<shard_id> lost;
    for (const auto& [shard, owner] : router_.owners())
        if (owner->is_lost())
            lost.push_back(shard);
    for (const auto shard : lost)
        router_.remove_owner(shard);
    if (duty_ && duty_->is_lost())
        duty_.reset();
    context_.metrics.get_gauge("tack_shards_owned")
        .set(static_cast<std::int64_t>(router_.owners().size()));
    context_.metrics.get_gauge("tack_fleet_duty").set(duty_ ? 1 : 0);
}

asio::awaitable<void> tack_node::claim_regularly()
{
    while (true)
    {
        co_await router_.wait_for_owner_change(claim_interval);
        drop_lost_shards();
        if (leaving_ || !front_.table())
            continue;
        auto wanted = wanted_shards(
            *front_.table(), shards_.layout(),
            context_.settings.store.partitions);
        wanted.merge(shards_.shards_with_queues());
        const auto held = held_shards();
        const auto claimable = shards_.shards_to_claim(
            wanted, {announcement(), held, store_.append_latency_estimate()},
            read_clocks().steady);
        balance_shards(wanted);
        for (const auto shard : claimable)
        {
            const auto failed = failed_claims_.find(shard);
            const bool too_soon =
                failed != failed_claims_.end() &&
                read_clocks().steady - failed->second.second <
                    std::max<std::chrono::milliseconds>(
                        claim_retry_delay,
                        store_.append_latency_estimate() * claim_retry_appends);
            if (held.contains(shard) || too_soon ||
                !claiming_.insert(shard).second)
                continue;
            context_.log.write(
                "node", "shard_claimed",
                log_line()
                    .add("shard", shard)
                    .add("after_epoch", last_epoch(shard)));
            spawn(
                context_, "claim",
                shard == fleet_shard ? claim_duty() : claim(shard),
                [this, shard] { claiming_.erase(shard); });
        }
    }
}

void tack_node::balance_shards(const std::set<shard_id>& wanted)
{
    const auto now = read_clocks().steady;
    const auto& owned = router_.owners();
    const bool is_settled =
        claiming_.empty() && now - owned_changed_ >= balance_interval &&
        std::ranges::none_of(owned, [](const auto& item) {
            const auto* engine = item.second->engine();
            return item.second->is_lost() || !engine || engine->is_settling();
        });
    if (owned.empty() || !is_settled ||
        !shards_.should_hand_over(wanted, {announcement(), {}, {}}, now))
        return;
    const auto& owner =
        std::ranges::min_element(owned, {}, [](const auto& item) {
            return item.second->engine()->active();
        })->second;
    owned_changed_ = now;
    context_.log.write(
        "node", "shard_handed_over",
        log_line()
            .add("shard", owner->shard())
            .add("submissions", std::uint64_t{owner->engine()->active()})
            .add("owned", std::uint64_t{owned.size()})
            .add("reason", "another node has much less load"));
    spawn(context_, "hand-over", hand_over(owner));
}

std::set<shard_id> tack_node::held_shards() const
{
    auto held = claiming_;
    for (const auto& [shard, owner] : router_.owners())
        held.insert(shard);
    if (duty_)
        held.insert(fleet_shard);
    return held;
}

// The highest known epoch of a shard, including those of failed claims: another
// node may have taken such an epoch without ever announcing itself.
std::uint64_t tack_node::last_epoch(shard_id shard) const
{
    const auto failed = failed_claims_.find(shard);
    return std::max(
        shards_.last_epoch(shard),
        failed == failed_claims_.end() ? 0 : failed->second.first);
}

void tack_node::record_claim_result(
    shard_id shard, std::uint64_t after, bool taken)
{
    if (taken)
        failed_claims_.erase(shard);
    else
    {
        failed_claims_[shard] = {after + 1, read_clocks().steady};
        context_.log.write(
            "node", "claim_failed",
            log_line().add("shard", shard).add("after_epoch", after));
    }
}

asio::awaitable<void> tack_node::claim(shard_id shard)
{
    const auto owner = std::make_shared<shard_owner>(
        context_, store_, advice_,
        registry_view{shards_, [this] { registry_.read_soon(); }}, shard);
    owner->set_queues(*front_.table(), in_force_since_);
    const auto last = last_epoch(shard);
    // An owner may act only for a limited time after its last announcement.
    announce_now_.notify();
    const bool taken = co_await owner->take_over(last);
    record_claim_result(shard, last, taken);
    if (taken && !leaving_)
    {
        router_.add_owner(owner);
        owned_changed_ = read_clocks().steady;
        owner->set_queues(*front_.table(), in_force_since_);
        router_.tell_nodes(shard, owner->record());
        if (!std::exchange(following_hosts_, true))
            spawn_with_restart(context_, "host records", [this] {
                return host_records_.run();
            });
        hosts_changed_ = true;
        assign_hosts();
    }
    else if (taken)
    {
        co_await hand_over(owner);
    }
    claiming_.erase(shard);
}

asio::awaitable<void> tack_node::claim_duty()
{
    const auto duty = std::make_shared<fleet_duty>(context_, store_, router_);
    for (const auto& [name, wave] : waves_)
        duty->request(wave);
    const auto last = last_epoch(fleet_shard);
    const bool taken = co_await duty->take_over(last);
    record_claim_result(fleet_shard, last, taken);
    if (taken && !leaving_)
    {
        for (const auto& [name, wave] : waves_)
            duty->request(wave);
        duty->set_table(front_.shared_table());
        duty_ = duty;
        router_.tell_nodes(fleet_shard, duty->record());
    }
    else if (taken)
    {
        co_await hand_over(duty);
    }
    claiming_.erase(fleet_shard);
}

// The successor is told before the release is stored: it may claim as soon as
// this owner has stopped acting.
asio::awaitable<void> tack_node::hand_over(std::shared_ptr<shard_owner> owner)
{
    if (owner->is_lost())
        co_return;
    co_await owner->hand_over();
    router_.tell_nodes(owner->shard(), owner->record());
    co_await owner->announce_release();
}

asio::awaitable<void> tack_node::hand_over(std::shared_ptr<fleet_duty> duty)
{
    if (duty->is_lost())
        co_return;
    duty->hand_over();
    router_.tell_nodes(fleet_shard, duty->record());
    co_await duty->announce_release();
}

asio::awaitable<void> tack_node::hand_over_all(std::shared_ptr<bool> done)
{
    if (duty_)
        co_await hand_over(duty_);
    const auto owned = router_.owners();
    for (const auto& [shard, owner] : owned)
        co_await hand_over(owner);
    *done = true;
}

asio::awaitable<void> tack_node::stop(std::chrono::milliseconds grace)
{
    const auto began = read_clocks().steady;
    const auto spent = [&] { return read_clocks().steady - began; };
    context_.log.write(
        "node", "stopping", log_line().add("grace_ms", grace.count()));
    leaving_ = true;
    announce_now_.notify();
    callers_.close_after_responses();
    const auto done = std::make_shared<bool>(false);
    spawn(context_, "hand-over", hand_over_all(done));
    while (spent() < rotation_delay)
        co_await pause_for(context_.executor, log_interval);
    const auto left = grace - stop_margin - spent();
    co_await callers_.drain(
        std::max<std::chrono::milliseconds>(left, log_interval));
    while (!*done && spent() < grace - stop_margin)
        co_await pause_for(context_.executor, log_interval);
    context_.log.write(
        "node", "stopped",
        log_line()
            .add("took_ms", spent().count())
            .add("handed_over", *done)
            .add("connections", std::uint64_t{callers_.connections()}));
    context_.log.flush();
}

} // namespace dandeliontack
