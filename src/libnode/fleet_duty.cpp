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
// How often the machines and the pools' demand are looked at, and while the
// duty has no right to order.
constexpr auto look_interval = 150ms;
constexpr auto idle_interval = 400ms;
// A move that the platform has not answered is ordered again for this long.
constexpr int move_tries = 4;
// Owners keep a host empty for 3 s after they were asked: until when that is
// enough to plan by, and to send an order by.
constexpr auto fresh_empty = 900ms;
constexpr auto still_locked = 1800ms;
// What emptying a host takes on the whole.
constexpr auto emptying_time = 2000ms;
constexpr auto ask_patience = 600ms;
// Announcements of nodes gather this long, well under their interval.
constexpr auto announcements_gather = 80ms;
// Between two lines about the demand of a pool.
constexpr auto demands_log_interval = 500ms;
// Nodes announce themselves without the duty after about this long.
constexpr auto announcements_patience = 1000ms;
constexpr std::string_view progress_prefix = "w/";
constexpr std::string_view order_prefix = "m/";
constexpr std::string_view tick_key = "t";

// The longest that an order to the platform may be under way.
constexpr auto longest_call = 2000ms;

balance_terms
balance_terms_of(const tack_node_settings& settings, cell_id cells)
{
    balance_terms terms;
    // A round takes this long or longer.
    terms.most_moves = moves_a_round(
        settings.machines.orders_per_second / cells, look_interval);
    return terms;
}

} // namespace

fleet_duty::fleet_duty(
    node_context& context, store_client& store, shard_router& router)
    : context_(context),
      store_(store),
      router_(router),
      platform_(context, [this] { return has_right(); }),
      claim_(context, store, fleet_shard),
      appends_(
          context.executor,
          [this](append_queue::record_list records) {
              return claim_.append(std::move(records));
          }),
      registry_writer_(context, store, registry_place(), "announcements"),
      announcements_(
          context.executor,
          [this](append_queue::record_list records) {
              return append_announcements(std::move(records));
          },
          announcements_gather)
{}

bool fleet_duty::is_lost() const
{
    return lost_;
}

bool fleet_duty::has_right() const
{
    return !lost_ && claim_.has_right();
}

void fleet_duty::request(wave_request wave)
{
    auto& known = waves_[wave.name];
    known.request = std::move(wave);
    known.known = true;
}

void fleet_duty::lose(std::string_view reason)
{
    if (std::exchange(lost_, true))
        return;
    claim_.abandon();
    registry_writer_.abandon();
    context_.log.write(
        "fleet", "duty_lost",
        log_line().add("epoch", claim_.epoch()).add("reason", reason));
}

// A duty of which a part has failed is given up; its next holder begins from
// what is stored.
void fleet_duty::run_part(std::string_view name, asio::awaitable<void> part)
{
    spawn(context_, name, std::move(part), [self = shared_from_this()] {
        self->lose("a part of the duty failed");
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
    // Others learn of the claim at once, so that they don't claim in turn.
    run_part(
        "announcement", claim_.announce_until([self] { return self->lost_; }));
    const bool loaded = co_await load();
    if (!loaded)
    {
        lose("the duty's records can't be read");
        co_await claim_.announce(true);
        co_return false;
    }
    taken_ = read_clocks().steady;
    context_.log.write(
        "fleet", "duty_taken", log_line().add("epoch", claim_.epoch()));
    run_part("renewal", renew());
    run_part("rounds", run());
    co_return true;
}

asio::awaitable<bool> fleet_duty::announce(node_announcement said)
{
    const auto self = shared_from_this();
    if (!has_right())
        co_return false;
    auto key = announcement_key(said.name);
    const keyed_record record{std::move(key), encode(said), 0};
    auto make = [record] { return append_queue::record_list{record}; };
    co_return co_await announcements_.append(std::move(make));
}

asio::awaitable<bool>
fleet_duty::append_announcements(append_queue::record_list records)
{
    if (registry_writer_.standing() == fenced_writer::state::held)
        return registry_writer_.append(std::move(records));
    return registry_writer_.claim(
        claim_.epoch() - 1, std::move(records), announcements_patience);
}

asio::awaitable<void> fleet_duty::hand_over()
{
    const auto self = shared_from_this();
    if (!lost_)
        co_await claim_.announce(true);
    lose("the duty was handed over");
}

asio::awaitable<bool> fleet_duty::load()
{
    const auto place =
        place_of(fleet_shard, context_.settings.store.partitions);
    std::map<std::string, noted_order> orders;
    std::optional<duty_tick> last;
    std::string after;
    while (true)
    {
        auto page = co_await store_.newest(place, after);
        if (!page.answered)
            co_return false;
        for (const auto& record : page.records)
        {
            if (record.key == tick_key)
                last = decode_duty_tick(record.value);
            if (record.key.starts_with(order_prefix))
                orders[record.key.substr(order_prefix.size())] =
                    decode_noted_order(record.value).value_or(noted_order{});
            if (!record.key.starts_with(progress_prefix))
                continue;
            const auto known = decode_wave_record(record.value);
            if (!known)
                continue;
            auto& wave = waves_[known->wave];
            wave.progress.begun = {known->begun.begin(), known->begun.end()};
            wave.progress.unanswered = {
                known->ordered.begin(), known->ordered.end()};
            wave.completed = known->completed;
            wave.began = known->began;
            wave.reported = known->completed;
        }
        if (!page.has_more || page.records.empty())
            break;
        after = page.records.back().key;
    }
    rest_machines(orders, last);
    co_return true;
}

// Two holders must not take turns at one machine within the platform's lease.
void fleet_duty::rest_machines(
    const std::map<std::string, noted_order>& orders,
    const std::optional<duty_tick>& last)
{
    const auto now = read_clocks().steady;
    const auto lease = std::chrono::round<std::chrono::milliseconds>(
        std::chrono::duration<double, std::milli>(
            context_.settings.bounds.lease_ms));
    for (const auto& [machine, order] : orders)
    {
        const auto left = rest_after(
            order, last, longest_call, lease + retry_pause,
            context_.settings.node.name);
        if (left > 0ms)
            rested_at_[machine] = now + left;
    }
    context_.log.write(
        "fleet", "machines_rest",
        log_line()
            .add("epoch", claim_.epoch())
            .add("machines", std::uint64_t{rested_at_.size()})
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

// Lets a successor order the machine about sooner; a lost note costs it time
// and nothing else.
asio::awaitable<void> fleet_duty::note_end(std::string machine)
{
    const auto self = shared_from_this();
    const auto make = [this, machine = std::move(machine)] {
        return append_queue::record_list{order_record(machine, true)};
    };
    co_await append(make);
}

keyed_record fleet_duty::record_of(const std::string& name)
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

asio::awaitable<bool> fleet_duty::save(std::string name)
{
    return append([this, name = std::move(name)] {
        return append_queue::record_list{record_of(name)};
    });
}

asio::awaitable<bool>
fleet_duty::append(std::function<append_queue::record_list()> make)
{
    const auto self = shared_from_this();
    const bool stored = co_await appends_.append(std::move(make));
    if (!stored && !lost_)
    {
        lose("another node took the duty over");
        co_await claim_.announce(true);
    }
    co_return stored;
}

// Records when machines are ordered about, before that is done: a successor
// leaves them alone until two holders no longer take turns too fast.
asio::awaitable<bool> fleet_duty::note_orders(std::vector<std::string> machines)
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

// The same for an upkeep, with what the wave has come to.
asio::awaitable<bool>
fleet_duty::note_upkeep(std::string name, std::string machine)
{
    return append([this, name = std::move(name), machine = std::move(machine)] {
        return append_queue::record_list{
            record_of(name), order_record(machine, false)};
    });
}

// Whether the host's owner said, at most `age` ago, that it is empty and will
// be kept so.
bool fleet_duty::is_kept_empty(
    const std::string& host, std::chrono::milliseconds age) const
{
    const auto found = empty_since_.find(host);
    return found != empty_since_.end() &&
           read_clocks().steady - found->second < age;
}

bool fleet_duty::is_rested(const std::string& machine) const
{
    const auto found = rested_at_.find(machine);
    return found == rested_at_.end() || read_clocks().steady >= found->second;
}

asio::awaitable<void> fleet_duty::renew()
{
    const auto self = shared_from_this();
    while (!lost_)
    {
        const auto left = claim_.until_renewal();
        if (left > 0ms || appends_.is_busy())
            co_await pause_for(
                context_.executor,
                std::max<std::chrono::milliseconds>(left, retry_pause));
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

asio::awaitable<void> fleet_duty::run()
{
    const auto self = shared_from_this();
    while (!lost_)
    {
        std::vector<std::string> active;
        for (const auto& [name, wave] : waves_)
            if (wave.known && !wave.completed)
                active.push_back(name);
        if (!has_right())
        {
            co_await pause_for(context_.executor, idle_interval);
            continue;
        }
        const auto asked = read_clocks().steady;
        auto listed = co_await platform_.list();
        if (listed)
        {
            machines_ = std::move(*listed);
            if (!router_.layout())
                co_await store_layout();
            // A machine whose upkeep began meanwhile may be listed as up.
            std::erase_if(begun_lately_, [&](const auto& item) {
                return item.second < asked;
            });
            for (const auto& name : active)
                co_await advance(name);
            co_await balance();
        }
        co_await pause_for(context_.executor, look_interval);
    }
}

asio::awaitable<void> fleet_duty::advance(std::string name)
{
    const auto self = shared_from_this();
    if (!waves_[name].reported)
    {
        co_await report(name, false);
        waves_[name].reported = true;
    }
    auto& wave = waves_[name];
    const auto now = read_clocks();
    if (wave.began == wall_time{})
        wave.began = now.wall;
    const auto seconds_of = [](double value) {
        return std::chrono::round<std::chrono::milliseconds>(
            std::chrono::duration<double>(value));
    };
    wave.progress.time_left = wave.request.within - (now.wall - wave.began);
    wave.progress.cycle =
        seconds_of(context_.settings.machines.upkeep_seconds) + emptying_time;
    wave.progress.begun_lately.clear();
    for (const auto& [machine, when] : begun_lately_)
        wave.progress.begun_lately.insert(machine);
    const auto step = plan_upkeep(
        wave.request, wave.progress, machines_, [&](const std::string& host) {
            if (is_kept_empty(host, fresh_empty))
                return host_use_state::emptied;
            return idle_.contains(host) ? host_use_state::idle
                                        : host_use_state::busy;
        });
    if (step.completed)
    {
        waves_[name].completed = true;
        const bool saved = co_await save(name);
        if (saved)
            co_await report(name, true);
        co_return;
    }
    for (const auto& machine : step.evacuate)
        if (emptying_.insert(machine.host).second)
            run_part("emptying", empty_host(machine));
    for (const auto& machine : step.order)
        if (!lost_ && is_rested(machine.name) &&
            waves_[name].ordering.insert(machine.name).second)
            run_part("upkeep", order_upkeep(name, machine));
}

asio::awaitable<void> fleet_duty::empty_host(listed_machine machine)
{
    const auto self = shared_from_this();
    shard_call call{
        shard_call::verb::evacuate,
        shard_of_machine(machine),
        0,
        machine.host,
        {}};
    const auto asked = read_clocks().steady;
    const auto answer = co_await router_.ask(call, ask_patience, ask_patience);
    if (answer.outcome == shard_outcome::done && answer.value == "empty")
        empty_since_[machine.host] = asked;
    else
        empty_since_.erase(machine.host);
    emptying_.erase(machine.host);
}

// The order is recorded before it is sent: a successor repeats one whose
// answer nobody noted before it orders anything else.
asio::awaitable<void>
fleet_duty::order_upkeep(std::string name, listed_machine machine)
{
    const auto self = shared_from_this();
    const bool first =
        waves_[name].progress.unanswered.insert(machine.name).second;
    const bool noted = co_await note_upkeep(name, machine.name);
    // Its owner keeps the host empty for a while only.
    const bool still_empty =
        machine.host.empty() || is_kept_empty(machine.host, still_locked);
    if (noted && has_right() && !still_empty)
        waves_[name].progress.unanswered.erase(machine.name);
    if (noted && has_right() && still_empty)
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
            begun_lately_[machine.name] = read_clocks().steady;
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
            lose("a higher fencing token was used for a machine");
        }
        empty_since_.erase(machine.host);
        // A repeated order may have been carried out long ago: then the host
        // that lives there now goes on.
        if (first && answer == machine_answer::accepted &&
            !machine.host.empty())
            co_await tell_ended(machine);
    }
    co_await note_end(machine.name);
    waves_[name].ordering.erase(machine.name);
}

void fleet_duty::set_table(std::shared_ptr<const queue_table> table)
{
    table_ = std::move(table);
}

// Stored as the first record of its topic or not at all, so that two holders
// can't choose two layouts. Where pools had owners before there were layouts,
// their submissions are all in one cell.
asio::awaitable<void> fleet_duty::store_layout()
{
    const auto self = shared_from_this();
    const auto layout =
        router_.has_owners()
            ? fleet_layout{}
            : choose_layout(
                  machines_, context_.settings.machines.machines_per_cell);
    append_call call{
        layout_place(),
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

asio::awaitable<bool> fleet_duty::tell_ended(listed_machine machine)
{
    shard_call call{
        shard_call::verb::host_ended,
        shard_of_machine(machine),
        0,
        machine.host,
        {}};
    const auto answer = co_await router_.ask(call, ask_patience, ask_patience);
    co_return answer.outcome == shard_outcome::done;
}

asio::awaitable<std::vector<std::vector<pool_demand>>>
fleet_duty::collect_demands()
{
    std::vector<std::vector<pool_demand>> all(balances_.size());
    std::set<std::string> serving;
    for (const auto& queue : table_->queues)
        serving.insert(queue.terms.pool);
    // The shards with their cells; two pools may share one.
    std::map<shard_id, cell_id> shards;
    for (cell_id cell = 0; cell < balances_.size(); ++cell)
        for (const auto& pool : serving)
            shards[shard_of(pool, cell, context_.settings.store.partitions)] =
                cell;
    std::vector<shard_call> calls;
    calls.reserve(shards.size());
    for (const auto& [shard, cell] : shards)
        calls.push_back(
            {shard_call::verb::demands,
             shard,
             0,
             encode(balances_[cell].lent()),
             {}});
    const auto answers =
        co_await router_.ask_all(std::move(calls), ask_patience, retry_pause);
    auto answer = answers.begin();
    for (const auto& [shard, cell] : shards)
    {
        const auto demands = answer->outcome == shard_outcome::done
                                 ? decode_demands(answer->value)
                                 : std::nullopt;
        ++answer;
        if (demands)
            std::ranges::copy_if(
                *demands, std::back_inserter(all[cell]),
                [&](const auto& demand) {
                    return serving.contains(demand.pool);
                });
    }
    co_return all;
}

// Machines that are not to be moved now.
std::set<std::string> fleet_duty::kept_machines() const
{
    std::set<std::string> out;
    for (const auto& [machine, rested_at] : rested_at_)
        if (!is_rested(machine))
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

// What the decisions about machines rest on, for each pool of each cell.
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
                    .add("wanted", balances_[cell].wanted(demand))
                    .add("hosts", demand.hosts)
                    .add("leaving", demand.leaving)
                    .add("idle", std::uint64_t{demand.idle.size()})
                    .add("running", rounded(demand.running))
                    .add("lasting", rounded(demand.lasting))
                    .add("lasting_hosts", demand.lasting_hosts)
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
    expect_arrivals(demands, machine_lead_of(context_.settings));
    idle_.clear();
    for (const auto& demand : demands | std::views::join)
        idle_.insert(demand.idle.begin(), demand.idle.end());
    if (lost_ || !has_right())
        co_return;
    // A machine that is on its way counts where it goes.
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
    const auto kept = kept_machines();
    std::vector<machine_move> moves;
    for (cell_id cell = 0; cell < layout->cells; ++cell)
        std::ranges::move(
            balances_[cell].plan(
                demands[cell], machines[cell], standby, kept,
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
    const bool noted = co_await note_orders(std::move(names));
    for (const auto& order : moves)
    {
        if (!noted)
            break;
        run_part("move", move(order));
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
    auto answer = machine_answer::unknown;
    for (int tries = 0;
         tries < move_tries && has_right() && answer == machine_answer::unknown;
         ++tries)
    {
        if (!machine.host.empty() && !is_off)
        {
            co_await empty_host(machine);
            empty = is_kept_empty(machine.host, still_locked);
            empty_since_.erase(machine.host);
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
        lose("a higher fencing token was used for a machine");
    if (answer == machine_answer::accepted && !is_off && !machine.host.empty())
        co_await tell_ended(machine);
    co_await note_end(machine.name);
    // The next list shows the move.
    co_await pause_for(context_.executor, look_interval);
    moving_.erase(machine.name);
}

asio::awaitable<void> fleet_duty::report(std::string name, bool completed)
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
