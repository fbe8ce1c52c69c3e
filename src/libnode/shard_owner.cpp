#include "start_attempts.hpp"
#include <dandeliontack/machine_client.hpp>
#include <dandeliontack/pause.hpp>
#include <dandeliontack/shard_owner.hpp>
#include <dandeliontack/shard_records.hpp>
#include <dandeliontack/spawn.hpp>

#include <boost/asio.hpp>
#include <platform/host_calls.hpp>

#include <algorithm>
#include <array>
#include <ranges>
#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;

namespace
{

using namespace std::chrono_literals;

// Changes within this period are stored together in one append.
constexpr auto batch_delay = 20ms;
// Events within this period are handled by one planning pass.
constexpr auto plan_delay = 8ms;
constexpr auto plan_interval = 200ms;
// Further pause before a pass for each submission that it has to go through, so
// that a backlog leaves the owner time for its calls.
constexpr auto plan_delay_per_submission = 20us;
// Timeout of an order to a host, and the number of attempts to start a task
// before the start is withdrawn.
constexpr auto order_timeout = 800ms;
constexpr int max_start_attempts = 3;
// A hold request is a long poll that renews the host's lease: how long the host
// waits for a task to end, and the pauses between requests and after a failure.
constexpr auto hold_wait = 1000ms;
constexpr auto hold_pause = 30ms;
constexpr auto retry_pause = 150ms;
// Time for loading the shard's records before it is left to another node.
constexpr auto load_timeout = 4000ms;
// Longest single wait for a batch of changes to be stored.
constexpr auto store_wait = 250ms;
// How long a caller's request waits for its changes to be stored before it is
// answered as unknown and has to be repeated.
constexpr auto caller_wait = 800ms;
// New submissions are rejected once appends have failed for this long: callers
// would time out before the submission is stored.
constexpr auto store_failure_limit = 500ms;
constexpr std::uint32_t max_orders_in_flight = 3;
// How long a host receives no new tasks after an evacuation request.
constexpr auto evacuation_time = 3000ms;
// When a new owner first checks whether hosts that have not answered still
// exist, and how often it repeats the check.
constexpr auto first_departure_check = 150ms;
constexpr auto departure_check_interval = 1000ms;
constexpr auto hand_over_timeout = 1500ms;
// Longest wait for a queue that the registry does not list yet.
constexpr auto queues_check_interval = 10s;
// The most submissions that are kept as cancelled before they came. A successor
// has to read them all before it serves.
constexpr std::size_t most_withdrawn = 4000;
// A count of pending submissions may be this old, so its places may be, too.
constexpr auto max_pending_age = 2000ms;

constexpr std::size_t most_logged_steps = 16;
// Pause between counts of the submissions that have not begun.
constexpr auto pending_interval = 100ms;

// The first steps of a submission, and how many more there are.
std::string summarize_steps(const std::vector<step_spec>& all)
{
    std::string steps;
    for (const auto& step : all | std::views::take(most_logged_steps))
    {
        steps += (steps.empty() ? "" : " ") + std::to_string(step.count) + "x" +
                 std::to_string(step.need.cpu_milli) + "m/" +
                 std::to_string(step.estimate.count()) + "ms";
        for (const auto& [flag, name] :
             {std::pair(step.long_running, "lasting"),
              std::pair(step.best_effort, "fills"),
              std::pair(step.gang, "gang"),
              std::pair(step.checkpoints, "checkpoints"),
              std::pair(step.latency_objective.count() > 0, "serves")})
            if (flag)
                steps += std::string(",") + name;
    }
    if (all.size() > most_logged_steps)
        steps += " +" + std::to_string(all.size() - most_logged_steps);
    return steps;
}

pool_terms terms_of(const node_context& context)
{
    auto terms = pool_terms_of(context.settings);
    terms.memory = context.kept;
    return terms;
}

} // namespace

// Load pattern: thousands of submissions wait. With passes as often as in calm,
// an owner on half a core would do nothing else, and its callers, the fleet
// duty among them, would get no answer.
std::chrono::milliseconds planning_pause(std::size_t submissions)
{
    return std::min<std::chrono::milliseconds>(
        plan_delay + std::chrono::duration_cast<std::chrono::milliseconds>(
                         plan_delay_per_submission * submissions),
        plan_interval);
}

std::string_view to_string(shard_outcome outcome)
{
    constexpr std::array<std::string_view, 7> names{
        "done",     "not found",  "not owner", "unknown",
        "rejected", "ask others", "withdrawn"};
    return names.at(static_cast<std::size_t>(outcome));
}

shard_owner::shard_owner(
    node_context& context, store_client& store, advice_client& advice,
    registry_view registry, shard_id shard)
    : context_(context),
      store_(store),
      advice_(advice),
      registry_(std::move(registry)),
      shard_(shard),
      terms_(terms_of(context)),
      claim_(context, store, shard),
      order_times_({.most = order_timeout}),
      admission_(registry_.shards.queues_of(shard)),
      withdrawn_(terms_.finished_retention, most_withdrawn),
      stored_signal_(context.executor),
      change_signal_(context.executor),
      planning_signal_(context.executor),
      queues_signal_(context.executor)
{}

bool shard_owner::has_submissions_of(const std::string& pool) const
{
    return engine_ && engine_->has_submissions_of(pool);
}

bool shard_owner::is_lost() const
{
    return lost_;
}

std::uint64_t shard_owner::epoch() const
{
    return claim_.epoch();
}

shard_id shard_owner::shard() const
{
    return shard_;
}

const pool_engine* shard_owner::engine() const
{
    return engine_.get();
}

bool shard_owner::has_valid_claim() const
{
    return !lost_ && claim_.is_valid();
}

send_permission shard_owner::order_permission()
{
    return [self = shared_from_this()] { return self->has_valid_claim(); };
}

void shard_owner::give_up()
{
    mark_lost("this node can't reach the store");
}

std::optional<boot_time> shard_owner::failing_since() const
{
    return claim_.writer().failing_since();
}

bool shard_owner::can_answer() const
{
    return serving_ && !stopping_ && has_valid_claim();
}

asio::awaitable<bool> shard_owner::take_over(std::uint64_t last)
{
    const auto self = shared_from_this();
    const auto start_time = read_clocks().steady;
    const bool claimed = co_await claim_.take(last);
    if (!claimed)
    {
        lost_ = true;
        co_return false;
    }
    admission_.mark_claimed(read_clocks().steady);
    registry_.refresh();
    // Registers the claim at once, so that no other node claims the shard in
    // the meantime.
    start_coroutine("announcement", claim_.announce_until([self] {
        return self->lost_ || self->stopping_;
    }));
    const bool loaded = co_await load();
    if (!loaded)
    {
        mark_lost("the shard's records could not be loaded from the store");
        co_await claim_.announce(true);
        co_return false;
    }
    engine_->begin(read_clocks());
    serving_ = true;
    // Before the first task starts.
    if (accounts_)
        apply(pool_event::accounts_changed{accounts_, accounts_version_});
    start_coroutine("changes", store_changes());
    start_coroutine("queues", list_queues());
    start_coroutine("plans", run_planning());
    start_coroutine("unmet hosts", detect_departed_hosts());
    poll_hosts();
    context_.log.write(
        "owner", "shard_taken",
        log_line()
            .add("shard", shard_)
            .add("epoch", epoch())
            .add("submissions", std::uint64_t{engine_->active()})
            .add("took_ms", (read_clocks().steady - start_time).count()));
    context_.metrics.get_summary("tack_takeover_seconds")
        .record(read_clocks().steady - start_time);
    co_return true;
}

asio::awaitable<bool> shard_owner::load()
{
    const auto records = co_await store_.load(
        partition_of(shard_, context_.settings.store.partitions), load_timeout);
    if (records)
        restore(*records, read_clocks());
    co_return records.has_value();
}

void shard_owner::restore(const std::vector<keyed_record>& records, moment now)
{
    engine_ = std::make_unique<pool_engine>(terms_, epoch());
    std::vector<keyed_record> of_engine;
    std::ranges::copy_if(
        records, std::back_inserter(of_engine),
        [&](const keyed_record& record) {
            return !admission_.restore_closed(record) &&
                   !withdrawn_.restore(record, now.steady);
        });
    auto restored = restore_engine(*engine_, of_engine, now);
    orphans_ = std::move(restored.orphans);
    if (restored.unreadable > 0)
        context_.log.write(
            "owner", "records_unreadable",
            log_line()
                .add("shard", shard_)
                .add("records", std::uint64_t{restored.unreadable}));
}

asio::awaitable<void> shard_owner::hand_over()
{
    const auto self = shared_from_this();
    stopping_ = true;
    if (serving_ && !lost_)
    {
        engine_->begin_handover();
        change_signal_.notify();
    }
    const auto deadline = read_clocks().steady + hand_over_timeout;
    while (serving_ && !lost_ && read_clocks().steady < deadline &&
           (has_changes() || appending_))
        co_await stored_signal_.wait(batch_delay);
    mark_lost("the shard was released for a planned handover");
}

asio::awaitable<void> shard_owner::announce_release()
{
    const auto self = shared_from_this();
    co_await claim_.announce(true);
}

owner_record shard_owner::record() const
{
    return claim_.record(lost_);
}

void shard_owner::mark_lost(std::string_view reason)
{
    if (std::exchange(lost_, true))
        return;
    if (engine_)
        report_accounts();
    serving_ = false;
    claim_.abandon();
    context_.log.write(
        "owner", "shard_lost",
        log_line()
            .add("shard", shard_)
            .add("epoch", epoch())
            .add("reason", reason));
    stored_signal_.notify();
    change_signal_.notify();
    planning_signal_.notify();
    queues_signal_.notify();
}

void shard_owner::notify_registry_read()
{
    queues_signal_.notify();
}

void shard_owner::set_queues(const queue_table& table, boot_time since)
{
    admission_.apply(table, shard_, context_.settings.store.partitions, since);
    queues_signal_.notify();
    if (!table.accounts && !accounts_)
        return;
    accounts_ = table.accounts;
    accounts_version_ = table.version;
    if (serving_ && !lost_)
        apply(pool_event::accounts_changed{accounts_, accounts_version_});
}

asio::awaitable<void> shard_owner::list_queues()
{
    const auto self = shared_from_this();
    while (!lost_)
    {
        // A list that was stored right before the claim must not be replaced by
        // one that lacks its queues.
        if (registry_.shards.read_as_of() <= admission_.claimed_at())
        {
            co_await queues_signal_.wait(store_wait);
            continue;
        }
        admission_.merge_listed(registry_.shards.queues_of(shard_));
        const auto* unlisted = admission_.unlisted();
        if (!unlisted)
        {
            co_await queues_signal_.wait(queues_check_interval);
            continue;
        }
        auto list = *unlisted;
        auto copy = list;
        const bool listed = co_await claim_.list_queues(std::move(copy));
        if (listed)
        {
            admission_.set_listed(std::move(list), read_clocks().steady);
            registry_.refresh();
            queues_signal_.notify();
        }
        else
            co_await pause_for(context_.executor, retry_pause);
    }
}

asio::awaitable<std::optional<shard_answer>>
shard_owner::admit(const submission_record& record, asked_shards asked)
{
    const admission_request request{
        record.terms, std::move(asked), is_cell_of_pool(record.spec)};
    const auto queue = record.terms.queue;
    const auto deadline = read_clocks().steady + caller_wait;
    while (can_answer())
    {
        const auto now = read_clocks().steady;
        const auto decision = admission_.decide(
            request, {now, registry_.shards.read_as_of(),
                      registry_.shards.shards_with(queue)});
        if (decision == admission::open || engine_->find(record.id))
            co_return std::nullopt;
        if (decision == admission::closed)
            break;
        if (decision == admission::ask_others)
            co_return shard_answer{
                shard_outcome::ask_others, encode_places(queue)};
        if (now >= deadline)
        {
            context_.log.write(
                "owner", "submission_refused",
                log_line()
                    .add("submission", submission_name(record.id))
                    .add("shard", shard_)
                    .add("reason", to_string(decision))
                    .add("configuration", record.terms.version)
                    .add("known_version", admission_.version())
                    .add("asked_version", request.asked.version)
                    .add(
                        "registry_age_ms",
                        (now - registry_.shards.read_as_of()).count()));
            co_return shard_answer{shard_outcome::rejected, {}};
        }
        if (decision == admission::unlisted)
        {
            admission_.want(queue);
            queues_signal_.notify();
        }
        else
            registry_.refresh();
        co_await queues_signal_.wait(store_wait);
    }
    co_return shard_answer{shard_outcome::not_owner, {}};
}

asio::awaitable<bool> shard_owner::wait_for_registry()
{
    const auto arrived = read_clocks().steady;
    const auto deadline = arrived + caller_wait;
    while (!lost_ && registry_.shards.read_as_of() <= arrived &&
           !has_failing_store() && read_clocks().steady < deadline)
        co_await queues_signal_.wait(store_wait);
    co_return !lost_ && registry_.shards.read_as_of() > arrived;
}

std::string shard_owner::encode_places(std::uint64_t queue) const
{
    return encode(places_in(registry_.shards, queue, admission_.version()));
}

asio::awaitable<shard_answer>
shard_owner::answer_not_found(std::uint64_t id, std::uint64_t queue)
{
    if (queue == 0)
        co_return shard_answer{shard_outcome::not_found, {}};
    const bool is_known = co_await wait_for_registry();
    if (is_known)
        co_return shard_answer{shard_outcome::not_found, encode_places(queue)};
    const auto now = read_clocks().steady;
    context_.log.write(
        "owner", "places_unknown",
        log_line()
            .add("submission", submission_name(id))
            .add("shard", shard_)
            .add(
                "registry_age_ms",
                (now - registry_.shards.read_as_of()).count()));
    co_return shard_answer{
        lost_ ? shard_outcome::not_owner : shard_outcome::rejected, {}};
}

bool shard_owner::has_failing_store() const
{
    const auto failing = claim_.writer().failing_since();
    return failing && read_clocks().steady - *failing > store_failure_limit;
}

void shard_owner::set_hosts(std::vector<host_entry> entries)
{
    if (!serving_ || lost_)
        return;
    apply(pool_event::hosts_listed{std::move(entries)});
    poll_hosts();
}

void shard_owner::poll_hosts()
{
    for (const auto& [id, host] : engine_->hosts())
        if (polled_hosts_.insert(id).second)
            start_coroutine("hold", poll_host(id));
}

// If one of its coroutines fails, the owner must not continue without it: the
// shard is given up, and the next owner starts from the stored state.
void shard_owner::start_coroutine(
    std::string_view name, asio::awaitable<void> coroutine)
{
    spawn(context_, name, std::move(coroutine), [self = shared_from_this()] {
        self->mark_lost("a coroutine of the shard owner failed");
    });
}

void shard_owner::request_planning()
{
    planning_requested_ = true;
    planning_signal_.notify();
}

void shard_owner::apply(const pool_event_body& event)
{
    run_effects(engine_->apply(event, read_clocks()));
    if (engine_->has_changes())
        change_signal_.notify();
    request_planning();
}

void shard_owner::run_effects(pool_effects effects)
{
    for (auto& effect : effects)
    {
        if (const auto* decision = std::get_if<pool_effect::decision>(&effect))
        {
            log_decision(*decision);
            continue;
        }
        if (const auto* end = std::get_if<pool_effect::finished>(&effect))
        {
            log_finished(*end);
            continue;
        }
        if (auto* question = std::get_if<pool_effect::advise>(&effect))
        {
            start_coroutine("advice", request_advice(std::move(*question)));
            continue;
        }
        std::string host;
        if (const auto* start = std::get_if<pool_effect::start>(&effect))
            host = start->host;
        else if (const auto* stop = std::get_if<pool_effect::stop>(&effect))
            host = stop->host;
        else if (const auto* pace = std::get_if<pool_effect::pace>(&effect))
            host = pace->host;
        auto& queue = queues_[host];
        if (queue.orders.push(std::move(effect)) &&
            queue.sending < max_orders_in_flight)
        {
            ++queue.sending;
            start_coroutine("orders", send_orders(host));
        }
    }
}

void shard_owner::log_decision(const pool_effect::decision& decision)
{
    log_line line;
    if (decision.submission)
        line.add("submission", submission_name(*decision.submission));
    if (decision.task)
        line.add("task", task_name(*decision.task)).add("run", decision.run);
    if (!decision.host.empty())
        line.add("host", decision.host);
    if (!decision.reason.empty())
        line.add("reason", decision.reason);
    line.add("shard", shard_).add("epoch", epoch());
    context_.log.write("pool", decision.name, line);
    context_.metrics
        .get_counter(
            "tack_decisions_total{name=\"" + std::string(decision.name) + "\"}")
        .add();
}

void shard_owner::log_finished(const pool_effect::finished& end)
{
    const auto& delays = end.delays;
    context_.log.write(
        "pool", "submission_finished",
        log_line()
            .add("submission", submission_name(end.submission))
            .add("reason", end.phase)
            .add("route", end.route)
            .add("pool", end.pool)
            .add("age_ms", delays.age.count())
            .add("objective_ms", delays.objective.count())
            .add("chain_ms", delays.chain.count())
            .add("unplaced_ms", delays.unplaced.count())
            .add("running_ms", delays.running.count())
            .add("restarts", delays.restarts)
            .add("shard", shard_)
            .add("epoch", epoch()));
    context_.metrics
        .get_counter("tack_decisions_total{name=\"submission_finished\"}")
        .add();
}

void shard_owner::log_submission(const submission_record& record)
{
    log_line line;
    line.add("submission", submission_name(record.id))
        .add("route", record.terms.route)
        .add("pool", record.terms.pool)
        .add("priority", record.terms.priority)
        .add("repetitions", record.spec.repetitions);
    line.add("steps", summarize_steps(record.spec.steps));
    if (!record.account.empty())
    {
        const auto* s = engine_->state_of(record.id);
        const std::string_view share =
            s && s->is_excess ? "excess" : "entitled";
        line.add("account", record.account).add("share", share);
        context_.metrics
            .get_counter(
                "tack_account_submissions_total{account=\"" + record.account +
                "\",share=\"" + std::string(share) + "\"}")
            .add();
    }
    line.add("shard", shard_).add("epoch", epoch());
    context_.log.write("pool", "submission_taken", line);
}

void shard_owner::log_refusal(
    const submission_record& record, const submission_refusal& refusal)
{
    const auto cause = to_string(refusal.cause);
    context_.log.write(
        "owner", "submission_refused",
        log_line()
            .add("submission", submission_name(record.id))
            .add("route", record.terms.route)
            .add("pool", record.terms.pool)
            .add("account", record.account)
            .add("reason", cause)
            .add("retry_after_ms", refusal.retry_after.count())
            .add("shard", shard_)
            .add("epoch", epoch()));
    context_.metrics
        .get_counter(
            "tack_account_refused_total{account=\"" + record.account +
            "\",cause=\"" + std::string(cause) + "\"}")
        .add();
}

std::vector<keyed_record>
shard_owner::encode_changes(const pool_changes& changes)
{
    auto records =
        records_of(*engine_, changes, context_.settings.store.record_bytes);
    for (auto& key : std::exchange(orphans_, {}))
        records.push_back({std::move(key), {}, 0});
    std::ranges::move(
        admission_.take_closed_records(), std::back_inserter(records));
    std::ranges::move(
        withdrawn_.take_records(read_clocks().steady),
        std::back_inserter(records));
    return records;
}

bool shard_owner::has_changes() const
{
    return engine_->has_changes() || admission_.has_closed_records() ||
           withdrawn_.has_records();
}

std::uint64_t shard_owner::refusals_batch()
{
    if (!admission_.has_closed_records() && !withdrawn_.has_records())
        return refusals_batch_;
    change_signal_.notify();
    return refusals_batch_ = engine_->next_batch();
}

bool shard_owner::is_withdrawn(const submission_record& record)
{
    if (!withdrawn_.contains(record.id, record.account))
        return false;
    context_.metrics.get_counter("tack_submissions_withdrawn_total").add();
    context_.log.write(
        "owner", "submission_refused",
        log_line()
            .add("submission", submission_name(record.id))
            .add("shard", shard_)
            .add("reason", "it was cancelled before it came"));
    return true;
}

// Without the records that the store will never accept, the others are stored.
void shard_owner::drop_refused_records()
{
    const auto refused = subjects_of(claim_.writer().refused_keys());
    if (!refused.submissions.empty() || !refused.hosts.empty())
        apply(refused);
}

// Whether the submission fits the memory of this node beside those that it
// has accepted.
bool shard_owner::has_memory_for(const submission_record& record) const
{
    const auto needed = memory_of(record);
    return context_.kept->has_room(needed.fixed + needed.occurrence);
}

asio::awaitable<void> shard_owner::store_changes()
{
    const auto self = shared_from_this();
    while (!lost_)
    {
        if (!has_changes())
        {
            const auto left = claim_.until_renewal();
            if (left > 0ms)
            {
                co_await change_signal_.wait(left);
                if (has_changes())
                    co_await pause_for(context_.executor, batch_delay);
                continue;
            }
        }
        const auto changes = engine_->take_changes();
        auto records = encode_changes(changes);
        appending_ = true;
        const bool stored = co_await claim_.append(std::move(records));
        appending_ = false;
        if (!stored)
        {
            const bool ended_here = lost_;
            mark_lost("another node claimed the shard");
            if (!ended_here)
                co_await claim_.announce(true);
            co_return;
        }
        drop_refused_records();
        stored_batch_ = changes.batch;
        apply(pool_event::batch_stored{changes.batch});
        stored_signal_.notify();
        co_await pause_for(context_.executor, batch_delay);
    }
}

asio::awaitable<shard_outcome>
shard_owner::wait_until_stored(std::uint64_t batch)
{
    const auto deadline = read_clocks().steady + caller_wait;
    while (!lost_ && stored_batch_ < batch && read_clocks().steady < deadline)
        co_await stored_signal_.wait(store_wait);
    if (stored_batch_ >= batch)
        co_return shard_outcome::done;
    // If the shard was lost and no append has an unknown outcome, the change
    // was not stored and the next owner does not know of it.
    co_return lost_ && !claim_.writer().may_be_stored()
        ? shard_outcome::not_owner
        : shard_outcome::unknown;
}

asio::awaitable<void> shard_owner::run_planning()
{
    const auto self = shared_from_this();
    while (!lost_)
    {
        if (!planning_requested_)
            co_await planning_signal_.wait(plan_interval);
        else
            co_await pause_for(
                context_.executor, planning_pause(engine_->active()));
        if (lost_)
            co_return;
        planning_requested_ = false;
        if (!has_valid_claim() || stopping_)
        {
            co_await pause_for(context_.executor, plan_interval);
            continue;
        }
        run_effects(engine_->apply(pool_event::tick{}, read_clocks()));
        if (engine_->has_changes())
            change_signal_.notify();
    }
}

// If no listed machine refers to a host any more, the incarnations that began
// before the list was requested have ended, and the takeover need not wait for
// their leases to expire.
asio::awaitable<void> shard_owner::detect_departed_hosts()
{
    const auto self = shared_from_this();
    machine_client platform(context_);
    departure_watch departures;
    // When the lists that confirm a departure were requested, the oldest first.
    std::array<boot_time, departure_watch::lists_to_confirm> lists_asked{};
    co_await pause_for(context_.executor, first_departure_check);
    while (!lost_ && !engine_->unsettled_hosts().empty())
    {
        const auto unsettled = engine_->unsettled_hosts();
        for (const auto& id : unsettled)
        {
            listed_machine machine;
            machine.host = id;
            departures.expect(machine);
        }
        const auto asked = read_clocks().steady;
        auto listed = co_await platform.list();
        if (lost_)
            co_return;
        if (listed && listed->complete)
        {
            std::erase_if(listed->machines, [&](const auto& machine) {
                return std::ranges::find(unsettled, machine.host) ==
                       unsettled.end();
            });
            departures.observe(listed->machines);
            std::ranges::rotate(lists_asked, lists_asked.begin() + 1);
            lists_asked.back() = asked;
            apply_departures(
                departures, lists_asked.front(), read_clocks().steady);
        }
        co_await pause_for(
            context_.executor, departures.is_unconfirmed()
                                   ? retry_pause
                                   : departure_check_interval);
    }
}

// Applies what machine lists show of hosts that have not answered this owner.
// The first was requested at `known_before`, the last received at `seen`.
void shard_owner::apply_departures(
    departure_watch& departures, boot_time known_before, boot_time seen)
{
    const auto unsettled = engine_->unsettled_hosts();
    for (const auto& departed : departures.departed())
    {
        const auto& id = departed.host;
        if (std::ranges::find(unsettled, id) == unsettled.end())
            continue;
        context_.log.write(
            "owner", "host_left",
            log_line().add("host", id).add("epoch", epoch()));
        apply(pool_event::host_incarnation_ended{id, known_before, seen});
        departures.forget(id);
    }
}

// The end of a lease and the number of an acknowledged end count from the start
// of an incarnation. A later one with the same id would take the first for one
// of up to the longest lease, and forget ends that nobody has read.
asio::awaitable<exchange_result> shard_owner::exchange_with_incarnation(
    const host_entry& host, http_request request, http_request question,
    std::chrono::milliseconds timeout, bool question_suffices)
{
    const auto peer = parse_endpoint(host.address);
    // Without a start time, the id alone tells incarnations apart, and the host
    // compares it itself.
    if (host.born == 0ms)
        return context_.connections.exchange(
            *peer, std::move(request), timeout, order_permission());
    const auto name_of = [](std::chrono::milliseconds born) {
        return std::to_string(born.count());
    };
    peer_check check{
        name_of(host.born), std::move(question),
        [name_of, born = host.born](const http_response& response) {
            const auto report = platform::decode_hold(response.body());
            const auto* readable = std::get_if<host_report>(&report);
            return readable ? name_of(readable->born.value_or(born))
                            : std::string();
        },
        question_suffices};
    return context_.connections.exchange(
        *peer, std::move(request), timeout, order_permission(),
        std::move(check));
}

// A host with ends that are not acknowledged answers at once, so the next hold
// waits until these may be acknowledged.
asio::awaitable<void> shard_owner::wait_for_ends(std::string host)
{
    const auto self = shared_from_this();
    const auto found = engine_->hosts().find(host);
    if (found == engine_->hosts().end() ||
        found->second.unacknowledged_ends.empty())
        co_return;
    const auto newest = std::ranges::max(
        found->second.unacknowledged_ends, {}, &unacknowledged_end::batch);
    if (stored_batch_ < newest.batch)
        co_await stored_signal_.wait(store_wait);
}

// Polls a host: fetches the running and the ended tasks, acknowledges ends that
// are stored, and extends the lease under which the host's tasks run.
asio::awaitable<void> shard_owner::poll_host(std::string id)
{
    const auto self = shared_from_this();
    while (!lost_ && !stopping_)
    {
        const auto found = engine_->hosts().find(id);
        if (found == engine_->hosts().end())
            break;
        const auto& host = found->second;
        const auto peer = parse_endpoint(host.entry.address);
        if (!has_valid_claim() || !peer)
        {
            co_await pause_for(context_.executor, retry_pause);
            continue;
        }
        const auto born = host.entry.born;
        const platform::host_address address{id, host.entry.address, epoch()};
        // The first request must not wait: its answer brings the clock that a
        // lease needs. With ends awaiting storage the host answers at once.
        const bool wait = host.contacted && host.unacknowledged_ends.empty();
        const auto sent = read_clocks();
        const auto lease_end = engine_->extend_lease(id, sent);
        auto request = platform::encode_hold(
            address, host.ack_cursor, lease_end, wait ? hold_wait : 0ms);
        auto question = platform::encode_hold(address, 0, std::nullopt, 0ms);
        auto result = co_await exchange_with_incarnation(
            host.entry, std::move(request), std::move(question),
            order_timeout + (wait ? hold_wait : 0ms), true);
        if (lost_ || stopping_)
            co_return;
        const auto* response = std::get_if<http_response>(&result);
        if (!response || response->result() != boost::beast::http::status::ok)
        {
            if (response)
            {
                const auto answer = platform::decode_order_answer(*response);
                if (answer.answer == start_answer::other_incarnation)
                    apply(pool_event::host_incarnation_ended{
                        id, sent.steady, read_clocks().steady});
                if (answer.answer == start_answer::fenced)
                    context_.log.write(
                        "owner", "host_fenced",
                        log_line().add("host", id).add("epoch", epoch()));
            }
            co_await pause_for(context_.executor, retry_pause);
            continue;
        }
        auto report = platform::decode_hold(response->body());
        if (const auto* errors = std::get_if<findings>(&report))
        {
            context_.log.write(
                "owner", "host_unreadable",
                log_line()
                    .add("host", id)
                    .add("reason", to_string(errors->front())));
            co_await pause_for(context_.executor, retry_pause);
            continue;
        }
        apply(pool_event::host_reported{
            id, born, sent.steady, std::move(std::get<host_report>(report))});
        co_await wait_for_ends(id);
        co_await pause_for(context_.executor, hold_pause);
    }
    polled_hosts_.erase(id);
}

asio::awaitable<void> shard_owner::send_orders(std::string host)
{
    const auto self = shared_from_this();
    while (!lost_ && !queues_[host].orders.empty())
    {
        auto order = queues_[host].orders.pop();
        if (auto* start = std::get_if<pool_effect::start>(&*order))
            co_await send_start(std::move(*start));
        else if (auto* stop = std::get_if<pool_effect::stop>(&*order))
            co_await send_stop(std::move(*stop));
        else if (auto* pace = std::get_if<pool_effect::pace>(&*order))
            co_await send_pace(std::move(*pace));
    }
    auto& queue = queues_[host];
    --queue.sending;
    if (queue.sending == 0 && queue.orders.empty())
        queues_.erase(host);
}

asio::awaitable<void> shard_owner::send_start(pool_effect::start order)
{
    pool_event::start_answered answered{
        order.host, order.born, order.task, order.run, start_answer::unknown,
        {}};
    start_attempts attempts;
    std::optional<start_answer> result_answer;
    for (int attempt = 0; attempt < max_start_attempts && !result_answer;
         ++attempt)
    {
        const auto now = read_clocks();
        const auto host = engine_->hosts().find(order.host);
        const auto* s = engine_->state_of(order.task.submission);
        if (!has_valid_claim() || stopping_ || !s ||
            host == engine_->hosts().end() || !engine_->is_wanted(order))
            break;
        const auto peer = parse_endpoint(host->second.entry.address);
        const auto lease_end = engine_->extend_lease(order.host, now);
        if (!peer || !lease_end)
            break;
        const platform::host_address address{
            order.host, host->second.entry.address, epoch()};
        auto request = platform::encode_start(
            address, order, s->record.spec.text, *lease_end);
        auto question = platform::encode_hold(address, 0, std::nullopt, 0ms);
        auto result = co_await exchange_with_incarnation(
            host->second.entry, std::move(request), std::move(question),
            order_times_.timeout(static_cast<unsigned>(attempt)), false);
        if (lost_)
            co_return;
        if (std::holds_alternative<http_response>(result))
            order_times_.observe(read_clocks().steady - now.steady);
        context_.metrics.get_summary("tack_start_seconds")
            .record(read_clocks().steady - now.steady);
        if (const auto* error = std::get_if<exchange_error>(&result))
        {
            if (error->result == outcome::not_run)
                break;
            attempts.record_unanswered();
            continue;
        }
        const auto decoded =
            platform::decode_order_answer(std::get<http_response>(result));
        answered.clock = decoded.clock;
        if (decoded.answer == start_answer::unknown)
            attempts.record_unanswered();
        result_answer = attempts.resolve(decoded.answer);
    }
    answered.answer = result_answer.value_or(attempts.final_answer());
    apply(answered);
}

asio::awaitable<void> shard_owner::send_stop(pool_effect::stop order)
{
    pool_event::stop_answered answered{
        order.host, order.born, order.task, order.run, false};
    const auto host = engine_->hosts().find(order.host);
    const auto peer = host == engine_->hosts().end()
                          ? std::nullopt
                          : parse_endpoint(host->second.entry.address);
    if (peer && has_valid_claim())
    {
        const platform::host_address address{
            order.host, host->second.entry.address, epoch()};
        auto request = platform::encode_stop(address, order);
        auto result = co_await context_.connections.exchange(
            *peer, std::move(request), order_times_.timeout(0),
            order_permission());
        if (lost_)
            co_return;
        if (const auto* response = std::get_if<http_response>(&result))
            answered.accepted =
                platform::decode_order_answer(*response).answer ==
                start_answer::started;
    }
    apply(answered);
}

asio::awaitable<void> shard_owner::send_pace(pool_effect::pace order)
{
    const auto host = engine_->hosts().find(order.host);
    const auto peer = host == engine_->hosts().end()
                          ? std::nullopt
                          : parse_endpoint(host->second.entry.address);
    if (!peer || !has_valid_claim())
        co_return;
    const platform::host_address address{
        order.host, host->second.entry.address, epoch()};
    auto request = platform::encode_pace(address, order);
    auto result = co_await context_.connections.exchange(
        *peer, std::move(request), order_timeout, order_permission());
    const auto* response = std::get_if<http_response>(&result);
    context_.log.write(
        "pool", "run_paced",
        log_line()
            .add("task", task_name(order.task))
            .add("run", order.run)
            .add("host", order.host)
            .add("percent", order.percent)
            .add("answered", response != nullptr));
}

asio::awaitable<void> shard_owner::request_advice(pool_effect::advise question)
{
    const auto self = shared_from_this();
    std::function<bool()> is_wanted = [this, question] {
        return !lost_ && engine_->is_wanted(question);
    };
    const auto answered =
        co_await advice_.ask(std::move(question), std::move(is_wanted));
    if (!lost_)
        apply(answered);
}

asio::awaitable<shard_answer> shard_owner::submit(
    std::shared_ptr<const submission_record> record, asked_shards asked)
{
    const auto self = shared_from_this();
    if (!can_answer())
        co_return shard_answer{shard_outcome::not_owner, {}};
    const auto id = record->id;
    if (!engine_->find(id) && has_failing_store())
    {
        // The submission is not kept in memory either, so it can't be stored
        // after it was rejected.
        context_.log.write(
            "owner", "submission_refused",
            log_line()
                .add("submission", submission_name(id))
                .add("shard", shard_)
                .add("reason", "appends to the store are failing")
                .add(
                    "failing_ms",
                    (read_clocks().steady - *claim_.writer().failing_since())
                        .count()));
        co_return shard_answer{shard_outcome::rejected, {}};
    }
    if (!engine_->find(id))
    {
        auto refused = co_await admit(*record, std::move(asked));
        if (refused)
            co_return std::move(*refused);
        if (!engine_->find(id) && is_withdrawn(*record))
            co_return shard_answer{shard_outcome::withdrawn, {}};
    }
    if (!engine_->find(id) && !has_memory_for(*record))
    {
        context_.log.write(
            "owner", "submission_refused",
            log_line()
                .add("submission", submission_name(id))
                .add("shard", shard_)
                .add("reason", "the submissions fill this node's memory")
                .add("tasks", tasks_of(record->spec))
                .add("held_bytes", context_.kept->held)
                .add("limit_bytes", context_.kept->limit));
        co_return shard_answer{shard_outcome::rejected, {}};
    }
    if (const auto refusal = engine_->refusal_of(*record, read_clocks()))
    {
        log_refusal(*record, *refusal);
        co_return shard_answer{shard_outcome::rejected, {}, *refusal};
    }
    if (!engine_->find(id))
    {
        pool_event::submitted event{*record};
        event.record.accepted = read_clocks().wall;
        apply(event);
        log_submission(*record);
    }
    const auto view = engine_->find(id);
    const auto outcome =
        co_await wait_until_stored(view ? view->after_batch : 0);
    // The store has refused its record for good.
    if (outcome == shard_outcome::done && !engine_->find(id))
        co_return shard_answer{shard_outcome::rejected, {}};
    co_return shard_answer{outcome, {}};
}

asio::awaitable<shard_answer>
shard_owner::find(std::uint64_t id, std::string account, queue_terms terms)
{
    const auto self = shared_from_this();
    if (!can_answer())
        co_return shard_answer{shard_outcome::not_owner, {}};
    // A copy of the request that an older configuration sent here may still be
    // on its way.
    admission_.close(terms, read_clocks().steady);
    const auto closed = refusals_batch();
    const bool found = engine_->find(id).has_value();
    if (!found && withdrawn_.contains(id, account))
        co_return shard_answer{shard_outcome::withdrawn, {}};
    const auto batch = found ? engine_->find(id)->after_batch : closed;
    const auto outcome = co_await wait_until_stored(batch);
    if (outcome != shard_outcome::done || found)
        co_return shard_answer{outcome, {}};
    co_return shard_answer{
        shard_outcome::not_found,
        encode(queue_places{admission_.version(), {}})};
}

asio::awaitable<bool> shard_owner::wait_until_listed(std::uint64_t queue)
{
    const auto deadline = read_clocks().steady + caller_wait;
    admission_.want(queue);
    queues_signal_.notify();
    while (!lost_ && !admission_.is_listed(queue) &&
           read_clocks().steady < deadline)
        co_await queues_signal_.wait(store_wait);
    co_return !lost_ && admission_.is_listed(queue);
}

// The queue is listed here first: whichever shard accepts submissions of it
// later then asks this one.
asio::awaitable<shard_answer> shard_owner::withdraw(
    std::uint64_t id, std::string account, std::uint64_t queue)
{
    const auto self = shared_from_this();
    if (!can_answer())
        co_return shard_answer{shard_outcome::not_owner, {}};
    if (engine_->find(id))
    {
        auto answer = co_await cancel(id);
        co_return answer;
    }
    const bool has_room = !has_failing_store() &&
                          withdrawn_.add(id, account, read_clocks().steady);
    const auto batch = refusals_batch();
    auto outcome = shard_outcome::rejected;
    if (has_room)
    {
        const bool listed = co_await wait_until_listed(queue);
        if (listed)
            outcome = co_await wait_until_stored(batch);
    }
    context_.log.write(
        "owner", "submission_withdrawn",
        log_line()
            .add("submission", submission_name(id))
            .add("account", account)
            .add("shard", shard_)
            .add("epoch", epoch())
            .add("kept", std::uint64_t{withdrawn_.size()})
            .add("outcome", to_string(outcome)));
    if (outcome != shard_outcome::done)
        co_return shard_answer{outcome, {}};
    auto answer = co_await answer_not_found(id, queue);
    co_return answer;
}

asio::awaitable<shard_answer> shard_owner::cancel(std::uint64_t id)
{
    const auto self = shared_from_this();
    if (!can_answer())
        co_return shard_answer{shard_outcome::not_owner, {}};
    if (!engine_->find(id))
        co_return shard_answer{shard_outcome::not_found, {}};
    apply(pool_event::cancelled{id});
    const auto view = engine_->find(id);
    const auto outcome =
        co_await wait_until_stored(view ? view->after_batch : 0);
    co_return shard_answer{outcome, {}};
}

asio::awaitable<shard_answer>
shard_owner::state(std::uint64_t id, std::uint64_t queue)
{
    const auto self = shared_from_this();
    if (!can_answer())
        co_return shard_answer{shard_outcome::not_owner, {}};
    auto view = engine_->find(id);
    if (!view)
    {
        auto answer = co_await answer_not_found(id, queue);
        view = engine_->find(id);
        if (!view)
            co_return answer;
    }
    const auto outcome = co_await wait_until_stored(view->shown_after);
    co_return shard_answer{outcome, std::string(to_string(view->phase))};
}

asio::awaitable<shard_answer>
shard_owner::pending(std::string route, std::uint64_t queue)
{
    const auto self = shared_from_this();
    if (!can_answer())
        co_return shard_answer{shard_outcome::not_owner, {}};
    const auto now = read_clocks().steady;
    if (now - registry_.shards.read_as_of() > max_pending_age)
        co_return shard_answer{shard_outcome::rejected, {}};
    if (now - pending_counted_ >= pending_interval)
    {
        pending_ = engine_->pending_by_route();
        pending_counted_ = now;
    }
    const auto found = pending_.find(route);
    co_return shard_answer{
        shard_outcome::done,
        std::to_string(found == pending_.end() ? 0 : found->second) + "\n" +
            encode_places(queue)};
}

asio::awaitable<shard_answer> shard_owner::evacuate(std::string host)
{
    const auto self = shared_from_this();
    if (!can_answer())
        co_return shard_answer{shard_outcome::not_owner, {}};
    apply(pool_event::evacuation_requested{
        host, read_clocks().steady + evacuation_time});
    co_return shard_answer{
        shard_outcome::done,
        engine_->is_empty(host, read_clocks()) ? "empty" : "busy"};
}

// A report that was made by the answers of another owner, or by none, from a
// node of an earlier version, may speak of an earlier incarnation than the one
// that is known here. The host's tasks then start elsewhere once its leases
// have expired.
asio::awaitable<shard_answer> shard_owner::host_ended(host_departure departure)
{
    const auto self = shared_from_this();
    if (!can_answer())
        co_return shard_answer{shard_outcome::not_owner, {}};
    const auto& known = departure.known_before;
    if (known && known->epoch == epoch())
        apply(pool_event::host_incarnation_ended{
            departure.host, known->at, read_clocks().steady - departure.age});
    else
        context_.log.write(
            "owner", "departure_ignored",
            log_line()
                .add("host", departure.host)
                .add(
                    "reason", "the report is not made by answers of this owner")
                .add("epoch", epoch()));
    co_return shard_answer{shard_outcome::done, {}};
}

void shard_owner::report_accounts()
{
    const auto set = [this](
                         const std::string& account, std::string_view state,
                         std::int64_t cpu_milli) {
        context_.metrics
            .get_gauge(
                "tack_account_cpu_milli{account=\"" + account + "\",shard=\"" +
                std::to_string(shard_) + "\",state=\"" + std::string(state) +
                "\"}")
            .set(cpu_milli);
    };
    for (const auto& account : engine_->budget().accounts())
    {
        if (account.limit == resources{})
            continue;
        set(account.name, "running", lost_ ? 0 : account.used.cpu_milli);
        set(account.name, "allotted", lost_ ? 0 : account.allotted.cpu_milli);
        set(account.name, "held", lost_ ? 0 : account.wanted.cpu_milli);
    }
}

asio::awaitable<shard_answer> shard_owner::demands(std::string lent)
{
    const auto self = shared_from_this();
    if (!can_answer())
        co_return shard_answer{shard_outcome::not_owner, {}};
    if (const auto wanted = decode_lent_hosts(lent))
        for (const auto& [pool, hosts] : *wanted)
            apply(pool_event::lending_requested{pool, hosts});
    auto answer = encode(engine_->demands(read_clocks()));
    if (const auto call = decode_allotment_call(lent))
    {
        apply(pool_event::allotments_called{*call});
        answer += encode(engine_->report_allotments(*call));
        report_accounts();
    }
    co_return shard_answer{shard_outcome::done, std::move(answer)};
}

} // namespace dandeliontack
