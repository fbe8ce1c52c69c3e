#include <dandeliontack/fleet_duty.hpp>
#include <dandeliontack/pause.hpp>
#include <dandeliontack/spawn.hpp>

#include <boost/asio.hpp>
#include <platform/operator_records.hpp>
#include <platform/store_codec.hpp>

#include <algorithm>
#include <cmath>
#include <ranges>
#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;

namespace
{

using namespace std::chrono_literals;

constexpr auto retry_pause = 150ms;
// Time for loading the duty's records before it is left to another node.
constexpr auto load_timeout = 2000ms;
// Pause between rounds that fetch the machines and the demands of pools, and
// between checks while the duty's claim is not valid.
constexpr auto round_interval = 150ms;
constexpr auto claim_check_interval = 400ms;
// Number of attempts at a move that the platform does not answer.
constexpr int max_move_attempts = 4;
// An owner keeps a host empty for 3 s after an evacuation request. The largest
// age of its answer with which an order is planned, and with which it is sent.
constexpr auto max_empty_age_to_plan = 900ms;
constexpr auto max_empty_age_to_order = 1800ms;
constexpr auto owner_call_timeout = 600ms;
// Announcements of nodes within this period, which is well below the interval
// of announcements, are stored together.
constexpr auto announcement_batch_delay = 80ms;
// Interval between log entries on the demand of pools.
constexpr auto demands_log_interval = 500ms;
// Timeout for claiming the registry's partition; nodes announce themselves
// without the duty after about this long.
constexpr auto announcement_claim_timeout = 1000ms;
constexpr std::string_view progress_prefix = "w/";
constexpr std::string_view order_prefix = "m/";
constexpr std::string_view tick_key = "t";

// Upper bound on the time that an order to the platform is in flight.
constexpr auto max_call_time = 2000ms;

// Whether submissions of the pool run or wait.
bool has_work(const pool_demand& demand)
{
    return demand.running > 0 || demand.long_running > 0 ||
           demand.waiting_ms > 0 || demand.late_running > 0 ||
           demand.late_ms > 0;
}

balance_terms
balance_terms_of(const tack_node_settings& settings, cell_id cells)
{
    balance_terms terms;
    // A round takes at least `round_interval`.
    terms.max_moves = max_moves_per_round(
        settings.machines.orders_per_second / cells, round_interval);
    return terms;
}

} // namespace

fleet_duty::fleet_duty(
    node_context& context, store_client& store, shard_router& router)
    : context_(context),
      store_(store),
      router_(router),
      platform_(context, [this] { return has_valid_claim(); }),
      claim_(context, store, fleet_shard),
      appends_(
          context.executor,
          [this](append_queue::record_list records) {
              return claim_.append(std::move(records));
          }),
      registry_writer_(context, store, registry_partition(), "announcements"),
      announcements_(
          context.executor,
          [this](append_queue::record_list records) {
              return append_announcements(std::move(records));
          },
          announcement_batch_delay)
{}

bool fleet_duty::is_lost() const
{
    return lost_;
}

bool fleet_duty::has_valid_claim() const
{
    return !lost_ && claim_.is_valid();
}

void fleet_duty::request(wave_request wave)
{
    auto& requested_wave = waves_[wave.name];
    requested_wave.request = std::move(wave);
    requested_wave.requested = true;
}

void fleet_duty::mark_lost(std::string_view reason)
{
    if (std::exchange(lost_, true))
        return;
    claim_.abandon();
    registry_writer_.abandon();
    context_.log.write(
        "fleet", "duty_lost",
        log_line().add("epoch", claim_.epoch()).add("reason", reason));
}

// If one of its coroutines fails, the duty is given up; the next holder starts
// from the stored state.
void fleet_duty::start_coroutine(
    std::string_view name, asio::awaitable<void> coroutine)
{
    spawn(context_, name, std::move(coroutine), [self = shared_from_this()] {
        self->mark_lost("a coroutine of the fleet duty failed");
    });
}

asio::awaitable<bool> fleet_duty::take_over(std::uint64_t last)
{
    const auto self = shared_from_this();
    const bool claimed = co_await claim_.take(last);
    if (!claimed)
    {
        lost_ = true;
        co_return false;
    }
    // Registers the claim at once, so that no other node claims the duty in the
    // meantime.
    start_coroutine(
        "announcement", claim_.announce_until([self] { return self->lost_; }));
    const bool loaded = co_await load();
    if (!loaded)
    {
        mark_lost("the duty's records could not be loaded from the store");
        co_await claim_.announce(true);
        co_return false;
    }
    taken_ = read_clocks().steady;
    context_.log.write(
        "fleet", "duty_taken", log_line().add("epoch", claim_.epoch()));
    start_coroutine("renewal", renew());
    start_coroutine("rounds", run_rounds());
    co_return true;
}

asio::awaitable<bool> fleet_duty::announce(node_announcement announcement)
{
    const auto self = shared_from_this();
    if (!has_valid_claim())
        co_return false;
    auto key = announcement_key(announcement.name);
    const keyed_record record{std::move(key), encode(announcement), 0};
    auto make = [record] { return append_queue::record_list{record}; };
    co_return co_await announcements_.append(std::move(make));
}

asio::awaitable<bool>
fleet_duty::append_announcements(append_queue::record_list records)
{
    if (registry_writer_.current_state() == fenced_writer::state::held)
        return registry_writer_.append(std::move(records));
    return registry_writer_.claim(
        claim_.epoch() - 1, std::move(records), announcement_claim_timeout);
}

void fleet_duty::hand_over()
{
    mark_lost("the duty was released for a planned handover");
}

asio::awaitable<void> fleet_duty::announce_release()
{
    const auto self = shared_from_this();
    co_await claim_.announce(true);
}

owner_record fleet_duty::record() const
{
    return claim_.record(lost_);
}

asio::awaitable<bool> fleet_duty::load()
{
    const auto records = co_await store_.load(
        partition_of(fleet_shard, context_.settings.store.partitions),
        load_timeout);
    if (!records)
        co_return false;
    std::map<std::string, noted_order> orders;
    std::optional<duty_tick> last;
    for (const auto& record : *records)
    {
        if (record.key == tick_key)
            last = decode_duty_tick(record.value);
        if (record.key.starts_with(order_prefix))
            orders[record.key.substr(order_prefix.size())] =
                decode_noted_order(record.value).value_or(noted_order{});
        if (!record.key.starts_with(progress_prefix))
            continue;
        const auto parsed = decode_wave_record(record.value);
        if (!parsed)
            continue;
        auto& wave = waves_[parsed->wave];
        wave.progress.begun = {parsed->begun.begin(), parsed->begun.end()};
        wave.progress.unanswered = {
            parsed->ordered.begin(), parsed->ordered.end()};
        wave.completed = parsed->completed;
        wave.began = parsed->began;
        wave.reported = parsed->completed;
    }
    start_cooldowns(orders, last);
    co_return true;
}

// Two holders must not alternate orders for one machine within the platform's
// lease, so machines that a previous holder ordered recently get a cool-down.
void fleet_duty::start_cooldowns(
    const std::map<std::string, noted_order>& orders,
    const std::optional<duty_tick>& last)
{
    const auto now = read_clocks().steady;
    const auto lease = std::chrono::round<std::chrono::milliseconds>(
        std::chrono::duration<double, std::milli>(
            context_.settings.bounds.lease_ms));
    for (const auto& [machine, order] : orders)
    {
        const auto remaining = cooldown_left(
            order, last, max_call_time, lease + retry_pause,
            context_.settings.node.name);
        if (remaining > 0ms)
            cooldown_ends_[machine] = now + remaining;
    }
    context_.log.write(
        "fleet", "machines_rest",
        log_line()
            .add("epoch", claim_.epoch())
            .add("machines", std::uint64_t{cooldown_ends_.size()})
            .add("noted", std::uint64_t{orders.size()})
            .add("past_epoch", last ? last->epoch : 0));
}

keyed_record
fleet_duty::order_record(const std::string& machine, bool ended) const
{
    const noted_order order{
        claim_.epoch(), read_clocks().steady, ended,
        context_.settings.node.name};
    return {std::string(order_prefix) + machine, encode(order), 0};
}

// Shortens the machine's cool-down under a successor. If the record is lost,
// the successor only waits longer.
asio::awaitable<void> fleet_duty::record_order_end(std::string machine)
{
    const auto self = shared_from_this();
    const auto make = [this, machine = std::move(machine)] {
        return append_queue::record_list{order_record(machine, true)};
    };
    co_await append(make);
}

keyed_record fleet_duty::wave_record_for(const std::string& name)
{
    const auto& wave = waves_[name];
    const wave_record record{
        name,
        {wave.progress.begun.begin(), wave.progress.begun.end()},
        {wave.progress.unanswered.begin(), wave.progress.unanswered.end()},
        wave.completed,
        wave.began};
    return {std::string(progress_prefix) + name, encode(record), 0};
}

asio::awaitable<bool> fleet_duty::save_wave(std::string name)
{
    return append([this, name = std::move(name)] {
        return append_queue::record_list{wave_record_for(name)};
    });
}

asio::awaitable<bool>
fleet_duty::append(std::function<append_queue::record_list()> make)
{
    const auto self = shared_from_this();
    const bool stored = co_await appends_.append(std::move(make));
    if (!stored && !lost_)
    {
        mark_lost("another node claimed the duty");
        co_await claim_.announce(true);
    }
    co_return stored;
}

// Records orders for machines before they are sent, so that a successor sends
// none for these machines until their cool-down has ended.
asio::awaitable<bool>
fleet_duty::record_orders(std::vector<std::string> machines)
{
    return append([this, machines = std::move(machines)] {
        append_queue::record_list records;
        std::ranges::transform(
            machines, std::back_inserter(records), [this](const auto& machine) {
                return order_record(machine, false);
            });
        return records;
    });
}

// Records an upkeep order together with the progress of its wave.
asio::awaitable<bool>
fleet_duty::record_upkeep_order(std::string name, std::string machine)
{
    return append([this, name = std::move(name), machine = std::move(machine)] {
        return append_queue::record_list{
            wave_record_for(name), order_record(machine, false)};
    });
}

// Whether the host's owner, when asked less than `max_age` ago, reported that
// the host is empty and is kept empty.
bool fleet_duty::is_kept_empty(
    const std::string& host, std::chrono::milliseconds max_age) const
{
    const auto found = confirmed_empty_.find(host);
    return found != confirmed_empty_.end() &&
           read_clocks().steady - found->second < max_age;
}

bool fleet_duty::is_cooled_down(const std::string& machine) const
{
    const auto found = cooldown_ends_.find(machine);
    return found == cooldown_ends_.end() ||
           read_clocks().steady >= found->second;
}

asio::awaitable<void> fleet_duty::renew()
{
    const auto self = shared_from_this();
    while (!lost_)
    {
        const auto remaining = claim_.until_renewal();
        if (remaining > 0ms || appends_.is_busy())
            co_await pause_for(
                context_.executor,
                std::max<std::chrono::milliseconds>(remaining, retry_pause));
        else
        {
            const auto tick = [this] {
                const duty_tick now{
                    claim_.epoch(), taken_, read_clocks().steady};
                return append_queue::record_list{
                    {std::string(tick_key), encode(now), 0}};
            };
            co_await append(tick);
        }
    }
}

asio::awaitable<void> fleet_duty::run_rounds()
{
    const auto self = shared_from_this();
    while (!lost_)
    {
        std::vector<std::string> active;
        for (const auto& [name, wave] : waves_)
            if (wave.requested && !wave.completed)
                active.push_back(name);
        if (!has_valid_claim())
        {
            co_await pause_for(context_.executor, claim_check_interval);
            continue;
        }
        co_await report_completed_waves();
        const auto asked = read_clocks().steady;
        auto answers = answers_;
        auto listed = co_await platform_.list();
        if (listed)
        {
            machines_ = std::move(listed->machines);
            machines_received_ = read_clocks().steady;
            if (listed->complete)
            {
                departures_.observe(machines_);
                std::ranges::rotate(
                    answers_before_lists_, answers_before_lists_.begin() + 1);
                answers_before_lists_.back() = std::move(answers);
            }
            if (!router_.layout())
                co_await store_layout();
            report_departures();
            // A machine whose upkeep began after the list was requested may
            // be listed as up.
            std::erase_if(recently_begun_, [&](const auto& item) {
                return item.second < asked;
            });
            for (const auto& name : active)
                if (listed->complete || lists_all_of(waves_[name].request))
                    co_await advance_wave(name);
            co_await balance();
        }
        // The limits of accounts follow their demand without the platform.
        else if (keeper_ && !balances_.empty())
            co_await collect_demands();
        co_await pause_for(context_.executor, round_interval);
    }
}

// Whether every machine of the wave is on the list, which may be incomplete: a
// machine that is missing then must not count as removed.
bool fleet_duty::lists_all_of(const wave_request& wave) const
{
    return std::ranges::all_of(wave.machines, [&](const std::string& name) {
        return std::ranges::find(machines_, name, &listed_machine::name) !=
               machines_.end();
    });
}

asio::awaitable<void> fleet_duty::advance_wave(std::string name)
{
    const auto self = shared_from_this();
    if (!waves_[name].reported)
    {
        co_await report_wave(name, false);
        waves_[name].reported = true;
    }
    auto& wave = waves_[name];
    const auto now = read_clocks();
    if (wave.began == wall_time{})
        wave.began = now.wall;
    const auto to_milliseconds = [](double value) {
        return std::chrono::round<std::chrono::milliseconds>(
            std::chrono::duration<double>(value));
    };
    wave.progress.time_left = wave.request.time_limit - (now.wall - wave.began);
    wave.progress.cycle =
        to_milliseconds(context_.settings.machines.upkeep_seconds) +
        evacuation_time;
    wave.progress.recently_begun.clear();
    for (const auto& [machine, when] : recently_begun_)
        wave.progress.recently_begun.insert(machine);
    const auto step = plan_upkeep(
        wave.request, wave.progress, machines_, [&](const std::string& host) {
            if (is_kept_empty(host, max_empty_age_to_plan))
                return host_use_state::evacuated;
            return idle_.contains(host) ? host_use_state::idle
                                        : host_use_state::busy;
        });
    if (step.completed)
    {
        waves_[name].completed = true;
        const bool saved = co_await save_wave(name);
        if (saved)
            co_await report_completed_waves();
        co_return;
    }
    for (const auto& machine : step.evacuate)
        if (evacuating_.insert(machine.host).second)
            start_coroutine("emptying", evacuate_host(machine));
    for (const auto& machine : step.order)
        if (!lost_ && is_cooled_down(machine.name) &&
            waves_[name].ordering.insert(machine.name).second)
            start_coroutine("upkeep", order_upkeep(name, machine));
}

asio::awaitable<void> fleet_duty::evacuate_host(listed_machine machine)
{
    const auto self = shared_from_this();
    shard_call call{
        shard_call::verb::evacuate,
        shard_of_machine(machine),
        0,
        machine.host,
        {}};
    const auto asked = read_clocks().steady;
    const auto answer =
        co_await router_.ask(call, owner_call_timeout, owner_call_timeout);
    if (answer.outcome == shard_outcome::done && answer.value == "empty")
        confirmed_empty_[machine.host] = asked;
    else
        confirmed_empty_.erase(machine.host);
    evacuating_.erase(machine.host);
}

// The order is recorded before it is sent, so that a successor first repeats an
// order without a recorded answer.
asio::awaitable<void>
fleet_duty::order_upkeep(std::string name, listed_machine machine)
{
    const auto self = shared_from_this();
    const bool first =
        waves_[name].progress.unanswered.insert(machine.name).second;
    const auto known_before = find_moment(answers_, machine);
    const bool recorded = co_await record_upkeep_order(name, machine.name);
    // The owner keeps the host empty for a limited time only.
    const bool is_still_empty =
        machine.host.empty() ||
        is_kept_empty(machine.host, max_empty_age_to_order);
    if (recorded && has_valid_claim() && !is_still_empty)
        waves_[name].progress.unanswered.erase(machine.name);
    if (recorded && has_valid_claim() && is_still_empty)
    {
        const auto answer =
            co_await platform_.upkeep(machine.name, name, claim_.epoch());
        context_.log.write(
            "fleet", "upkeep_ordered",
            log_line()
                .add("wave", name)
                .add("machine", machine.name)
                .add("host", machine.host)
                .add("epoch", claim_.epoch())
                .add("answer", to_string(answer)));
        auto& progress = waves_[name].progress;
        if (answer == machine_answer::accepted ||
            answer == machine_answer::unknown_machine)
        {
            progress.unanswered.erase(machine.name);
            progress.begun.insert(machine.name);
            recently_begun_[machine.name] = read_clocks().steady;
        }
        else if (
            answer == machine_answer::busy ||
            answer == machine_answer::refused ||
            answer == machine_answer::not_in_wave)
        {
            progress.unanswered.erase(machine.name);
        }
        else if (answer == machine_answer::fenced)
        {
            mark_lost("a higher fencing token was used for a machine");
        }
        confirmed_empty_.erase(machine.host);
        // A repeated order may have been executed earlier, in which case the
        // machine's current host is a new one that continues to run.
        if (first && answer == machine_answer::accepted &&
            !machine.host.empty())
            co_await report_host_ended(
                machine, known_before, read_clocks().steady);
    }
    co_await record_order_end(machine.name);
    waves_[name].ordering.erase(machine.name);
}

void fleet_duty::set_table(std::shared_ptr<const queue_table> table)
{
    table_ = std::move(table);
    if (!table_)
        return;
    if (!keeper_ && table_->accounts &&
        std::ranges::any_of(table_->accounts->accounts(), is_limited))
        keeper_ = std::make_unique<allotment_keeper>(claim_.epoch());
    if (keeper_)
        keeper_->set_accounts(table_->accounts, table_->version);
}

// Stored only as the first record of its topic, so that two holders can't
// choose different layouts. If pools had owners before layouts were introduced,
// all their submissions are in one cell, and the layout has a single cell.
asio::awaitable<void> fleet_duty::store_layout()
{
    const auto self = shared_from_this();
    auto layout =
        router_.has_pool_owners()
            ? fleet_layout{}
            : choose_layout(
                  machines_, context_.settings.machines.machines_per_cell);
    // Without the list, the cell of a rack follows from its name.
    if (encode(layout).size() > context_.settings.store.record_bytes / 2)
        layout.racks.clear();
    append_call call{
        layout_partition(),
        {{std::string(layout_key), encode(layout), 0}},
        {},
        std::uint64_t{0}};
    const auto answer = co_await store_.append(std::move(call));
    context_.log.write(
        "fleet", "layout_chosen",
        log_line()
            .add("epoch", claim_.epoch())
            .add("machines", std::uint64_t{machines_.size()})
            .add("cells", layout.cells)
            .add("stored", answer.outcome == append_outcome::stored)
            .add("reason", answer.reason));
}

shard_id fleet_duty::shard_of_machine(const listed_machine& machine) const
{
    const auto& layout = router_.layout();
    const auto cell =
        layout ? cell_of_host(*layout, machine.rack, machine.host) : 0;
    return shard_of(machine.pool, cell, context_.settings.store.partitions);
}

std::optional<owner_moment> fleet_duty::find_moment(
    const owner_moments& in, const listed_machine& machine) const
{
    const auto found = in.find(shard_of_machine(machine));
    return found == in.end() ? std::nullopt : std::optional(found->second);
}

asio::awaitable<bool> fleet_duty::report_host_ended(
    listed_machine machine, std::optional<owner_moment> known_before,
    boot_time seen)
{
    const auto self = shared_from_this();
    if (!known_before)
        co_return false;
    const host_departure departure{
        machine.host, known_before, read_clocks().steady - seen};
    shard_call call{
        shard_call::verb::host_ended,
        shard_of_machine(machine),
        0,
        encode(departure),
        {}};
    const auto answer =
        co_await router_.ask(call, owner_call_timeout, owner_call_timeout);
    if (answer.outcome == shard_outcome::done)
        departures_.forget(machine.host);
    co_return answer.outcome == shard_outcome::done;
}

// Tells the owners which hosts have ended without an order of the duty, so that
// their tasks need not wait until every lease has expired.
void fleet_duty::report_departures()
{
    if (!router_.layout())
        return;
    for (const auto& machine : departures_.departed())
        if (reporting_.insert(machine.host).second)
            start_coroutine("departure", report_departure(machine));
}

asio::awaitable<void> fleet_duty::report_departure(listed_machine machine)
{
    const auto self = shared_from_this();
    const auto known_before =
        find_moment(answers_before_lists_.front(), machine);
    const bool known =
        co_await report_host_ended(machine, known_before, machines_received_);
    context_.log.write(
        "fleet", "host_departed",
        log_line()
            .add("machine", machine.name)
            .add("host", machine.host)
            .add("pool", machine.pool)
            .add("epoch", claim_.epoch())
            .add("answered", known));
    reporting_.erase(machine.host);
}

asio::awaitable<std::vector<std::vector<pool_demand>>>
fleet_duty::collect_demands()
{
    std::vector<std::vector<pool_demand>> all(balances_.size());
    std::set<std::string> serving;
    for (const auto& queue : table_->queues)
        serving.insert(queue.terms.pool);
    // Maps shards to cells. Two pools may share a shard.
    std::map<shard_id, cell_id> shards;
    for (cell_id cell = 0; cell < balances_.size(); ++cell)
        for (const auto& pool : serving)
            shards[shard_of(pool, cell, context_.settings.store.partitions)] =
                cell;
    // Shards of pools to which earlier configurations sent queues.
    for (const auto shard : router_.shards().shards_with_queues())
        if (cell_of_shard(shard) < balances_.size())
            shards.emplace(shard, cell_of_shard(shard));
    std::map<shard_id, allotment_call> allotments;
    if (keeper_ && has_valid_claim())
    {
        std::set<shard_id> ids;
        std::ranges::copy(
            shards | std::views::keys, std::inserter(ids, ids.end()));
        allotments = keeper_->next_calls(ids);
    }
    std::vector<shard_call> calls;
    calls.reserve(shards.size());
    for (const auto& [shard, cell] : shards)
    {
        auto text = encode(balances_[cell].lent());
        if (const auto found = allotments.find(shard);
            found != allotments.end())
            text += encode(found->second);
        calls.push_back(
            {shard_call::verb::demands, shard, 0, std::move(text), {}});
    }
    const auto answers = co_await router_.ask_all(
        std::move(calls), owner_call_timeout, retry_pause);
    auto answer = answers.begin();
    for (const auto& [shard, cell] : shards)
    {
        const auto demands = answer->outcome == shard_outcome::done
                                 ? decode_demands(answer->value)
                                 : std::nullopt;
        const auto report = keeper_ && demands
                                ? decode_allotment_report(answer->value)
                                : std::nullopt;
        if (report)
            keeper_->apply(shard, *report);
        ++answer;
        if (demands && !demands->empty() && demands->front().answered.epoch > 0)
            answers_[shard] = demands->front().answered;
        if (demands)
            std::ranges::copy_if(
                *demands, std::back_inserter(all[cell]),
                [&](const auto& demand) {
                    return serving.contains(demand.pool) || has_work(demand);
                });
    }
    co_return all;
}

// Machines that must not be moved now: in cool-down, moving, or under an order
// of a wave.
std::set<std::string> fleet_duty::excluded_machines() const
{
    std::set<std::string> out;
    for (const auto& [machine, cooldown_end] : cooldown_ends_)
        if (!is_cooled_down(machine))
            out.insert(machine);
    for (const auto& [machine, pool] : moving_)
        out.insert(machine);
    for (const auto& [name, wave] : waves_)
    {
        out.insert(wave.ordering.begin(), wave.ordering.end());
        out.insert(
            wave.progress.unanswered.begin(), wave.progress.unanswered.end());
    }
    return out;
}

// Logs the inputs of decisions on machines, for each pool of each cell.
void fleet_duty::log_demands(
    const std::vector<std::vector<pool_demand>>& demands,
    const std::vector<std::vector<listed_machine>>& machines)
{
    const auto now = read_clocks().steady;
    if (now - demands_logged_ < demands_log_interval)
        return;
    demands_logged_ = now;
    constexpr double tenths = 10;
    const auto rounded = [](double hosts) {
        return std::to_string(std::round(hosts * tenths) / tenths).substr(0, 6);
    };
    for (cell_id cell = 0; cell < demands.size(); ++cell)
        for (const auto& demand : demands[cell])
            context_.log.write(
                "fleet", "demand_seen",
                log_line()
                    .add("pool", demand.pool)
                    .add("cell", cell)
                    .add(
                        "machines", std::int64_t{std::ranges::count(
                                        machines[cell], demand.pool,
                                        &listed_machine::pool)})
                    .add("wanted", balances_[cell].target_size(demand))
                    .add("hosts", demand.hosts)
                    .add("leaving", demand.draining)
                    .add("idle", std::uint64_t{demand.idle.size()})
                    .add("running", rounded(demand.running))
                    .add("lasting", rounded(demand.long_running))
                    .add("lasting_hosts", demand.long_running_hosts)
                    .add("waiting_ms", rounded(demand.waiting_ms))
                    .add("arriving_ms", rounded(demand.arriving_ms))
                    .add("late_running", rounded(demand.late_running))
                    .add("late_ms", rounded(demand.late_ms)));
}

asio::awaitable<void> fleet_duty::balance()
{
    const auto self = shared_from_this();
    const auto& layout = router_.layout();
    if (!table_ || !layout)
        co_return;
    if (balances_.empty())
        balances_.assign(
            layout->cells,
            fleet_balance(balance_terms_of(context_.settings, layout->cells)));
    std::set<std::string> standby;
    for (const auto& pool : table_->pools)
        if (pool.standby)
            standby.insert(pool.name);
    auto demands = co_await collect_demands();
    forecast_arrivals(demands, machine_lead_of(context_.settings));
    idle_.clear();
    for (const auto& demand : demands | std::views::join)
        idle_.insert(demand.idle.begin(), demand.idle.end());
    if (lost_ || !has_valid_claim())
        co_return;
    // A machine that is being moved counts towards its target pool.
    for (auto& machine : machines_)
        if (const auto to = moving_.find(machine.name); to != moving_.end())
        {
            machine.pool = to->second;
            machine.state = machine_state::moving;
        }
    std::vector<std::vector<listed_machine>> machines(layout->cells);
    for (const auto& machine : machines_)
        machines[cell_of_host(*layout, machine.rack, machine.host)].push_back(
            machine);
    log_demands(demands, machines);
    const auto excluded = excluded_machines();
    std::vector<machine_move> moves;
    for (cell_id cell = 0; cell < layout->cells; ++cell)
        std::ranges::move(
            balances_[cell].plan(
                demands[cell], machines[cell], standby, excluded,
                read_clocks().steady),
            std::back_inserter(moves));
    if (moves.empty())
        co_return;
    std::vector<std::string> names;
    names.reserve(moves.size());
    for (const auto& order : moves)
    {
        names.push_back(order.machine.name);
        moving_[order.machine.name] = order.to_pool;
    }
    const bool recorded = co_await record_orders(std::move(names));
    for (const auto& order : moves)
    {
        if (!recorded)
            break;
        start_coroutine("move", move(order));
    }
}

asio::awaitable<void> fleet_duty::move(machine_move order)
{
    const auto self = shared_from_this();
    const auto& machine = order.machine;
    const bool is_off =
        std::ranges::any_of(table_->pools, [&](const pool_entry& pool) {
            return pool.standby && pool.name == machine.pool;
        });
    bool empty = true;
    // Before the first attempt: a repeated order may have been executed
    // earlier, and a host that has come since then goes on.
    const auto known_before = find_moment(answers_, machine);
    auto answer = machine_answer::unknown;
    for (int attempt = 0; attempt < max_move_attempts && has_valid_claim() &&
                          answer == machine_answer::unknown;
         ++attempt)
    {
        if (!machine.host.empty() && !is_off)
        {
            co_await evacuate_host(machine);
            empty = is_kept_empty(machine.host, max_empty_age_to_order);
            confirmed_empty_.erase(machine.host);
        }
        if (!empty)
            break;
        answer = co_await platform_.move(
            machine.name, order.to_pool, claim_.epoch());
    }
    context_.log.write(
        "fleet", "move_ordered",
        log_line()
            .add("machine", machine.name)
            .add("host", machine.host)
            .add("from", machine.pool)
            .add("to", order.to_pool)
            .add("epoch", claim_.epoch())
            .add("empty", empty)
            .add("answer", to_string(answer)));
    if (answer == machine_answer::unknown_machine)
        for (auto& cell : balances_)
            cell.forbid(machine.pool, order.to_pool);
    if (answer == machine_answer::fenced)
        mark_lost("a higher fencing token was used for a machine");
    if (answer == machine_answer::accepted && !is_off && !machine.host.empty())
        co_await report_host_ended(machine, known_before, read_clocks().steady);
    co_await record_order_end(machine.name);
    // Waits until the next list of machines shows the move.
    co_await pause_for(context_.executor, round_interval);
    moving_.erase(machine.name);
}

// The previous holder may have been lost after it had stored that a wave is
// completed and before it reported that.
asio::awaitable<void> fleet_duty::report_completed_waves()
{
    const auto self = shared_from_this();
    std::vector<std::string> names;
    for (auto& [name, wave] : waves_)
        if (wave.completed && !std::exchange(wave.completion_reported, true))
            names.push_back(name);
    for (const auto& name : names)
        co_await report_wave(name, true);
}

asio::awaitable<void> fleet_duty::report_wave(std::string name, bool completed)
{
    append_call call{
        {std::string(platform::status_topic), 0},
        {{platform::wave_status_key(name),
          platform::encode_wave_status(completed), 0}},
        {},
        {}};
    auto outcome_of_report = append_outcome::refused;
    while (!lost_ && outcome_of_report != append_outcome::stored)
    {
        auto copy = call;
        const auto answer = co_await store_.append(std::move(copy));
        outcome_of_report = answer.outcome;
        if (outcome_of_report != append_outcome::stored)
            co_await pause_for(context_.executor, retry_pause);
    }
    context_.log.write(
        "fleet", completed ? "wave_completed" : "wave_running",
        log_line().add("wave", name).add("epoch", claim_.epoch()));
}

} // namespace dandeliontack
