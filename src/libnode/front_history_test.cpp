// Plays random histories of several nodes in virtual time, without sockets:
// each has a configuration and a registry of its own age, shards change their
// owners, queues are sent from pool to pool, and calls arrive late, twice, or
// after their sender has given them up. The places of submissions are decided
// by the code of the nodes: queue_admission, place_search, shard_map and the
// layout. What callers are told is judged:
//
// - no submission is accepted in two places;
// - none that was acknowledged is denied;
// - none is accepted after its cancelling was acknowledged.
//
// HISTORIES and HISTORY_SEED play other histories than the default ones.

#include <dandeliontack/queue_admission.hpp>
#include <dandeliontack/queue_places.hpp>
#include <dandeliontack/withdrawn_submissions.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <deque>
#include <iterator>
#include <optional>
#include <random>
#include <set>
#include <sstream>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr auto time_step = 10ms;
constexpr std::uint64_t partitions = 1;
constexpr std::size_t node_count = 4;
constexpr cell_id cell_count = 3;
constexpr std::uint64_t submissions = 4;
// As in the programs: how long an owner's decision waits, how long a past owner
// may act without its claim, the interval between reads of the registry, and
// the callers' timeout.
constexpr auto owner_wait = 800ms;
constexpr auto claim_validity = 1300ms;
constexpr auto takeover_time = 1800ms;
constexpr auto registry_interval = 250ms;
constexpr auto caller_timeout = 3000ms;
constexpr auto retention = 180s;
constexpr std::size_t most_withdrawn = 100;
constexpr int default_histories = 1000;
constexpr std::uint64_t default_seed = 20261208;

std::uint64_t number_from(const char* variable, std::uint64_t otherwise)
{
    const auto* text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

std::string pool_name(int number)
{
    return "pool" + std::to_string(number);
}

// Three pools, of which two share their shards and have their long-running
// submissions in different cells.
std::vector<std::string> choose_pools(const fleet_layout& layout)
{
    submission_spec lasting;
    lasting.steps.emplace_back().long_running = true;
    const auto cell = [&](const std::string& pool) {
        return cell_of_submission(layout, 0, lasting, pool);
    };
    const auto first = pool_name(0);
    std::vector<std::string> out{first};
    for (int i = 1; out.size() < 3; ++i)
    {
        const auto name = pool_name(i);
        const bool shares = is_same_pool_shard(
            shard_of(first, 0, partitions), shard_of(name, 0, partitions));
        if (out.size() == 1 ? shares && cell(name) != cell(first) : !shares)
            out.push_back(name);
    }
    return out;
}

struct simulated_node
{
    std::shared_ptr<const queue_table> table;
    boot_time in_force_since;
    boot_time next_configuration;
    std::size_t registry_offset = 0;
    shard_map registry{takeover_timing{}};
    boot_time next_registry;
    /// Can't use the store until then.
    boot_time heals;
    /// Does nothing until then.
    boot_time wakes;
};

// A submission that an owner has accepted, and when the store has it.
struct pending_append
{
    std::uint64_t id = 0;
    boot_time stored;
};

struct simulated_owner
{
    int claim = 0;
    std::size_t node = 0;
    boot_time confirmed;
    queue_admission admission{{}};
    withdrawn_submissions withdrawn{retention, most_withdrawn};
    std::set<std::uint64_t> known;
    std::vector<pending_append> appends;
    /// When the records of what is closed or withdrawn are stored, and these.
    std::optional<std::pair<boot_time, std::vector<keyed_record>>> refusals;
    /// When the list in flight is stored, and the list.
    std::optional<std::pair<boot_time, shard_queues>> listing;
};

enum class verb : std::uint8_t
{
    submit,
    find,
    cancel,
    withdraw,
    state
};

enum class reply : std::uint8_t
{
    done,
    not_found,
    not_owner,
    rejected,
    ask_others,
    withdrawn
};

struct simulated_call
{
    verb kind = verb::state;
    shard_id shard = 0;
    std::uint64_t request = 0;
    /// The request's round of calls.
    int round = 0;
    std::uint64_t id = 0;
    queue_terms terms;
    asked_shards asked;
    bool wants_places = false;
    boot_time arrives;
    /// Set once an owner has begun to decide, and which one.
    std::optional<boot_time> waits_since;
    int claim = 0;
    /// Of a withdrawal: whether the owner knows of it, and when its list was
    /// known to be stored.
    bool noted = false;
    std::optional<boot_time> listed_at;
};

struct simulated_reply
{
    reply outcome = reply::rejected;
    queue_places places;
    shard_id shard = 0;
    std::uint64_t request = 0;
    int round = 0;
    boot_time arrives;
};

// What a node does for one request of a caller.
struct simulated_request
{
    verb kind = verb::state;
    std::uint64_t id = 0;
    std::size_t node = 0;
    boot_time began;
    queue_terms terms;
    place_search search{0};
    /// The cells that have not been asked yet, the next one first.
    std::deque<shard_id> cells;
    /// The shards whose replies to the calls of this round are awaited.
    std::set<shard_id> awaited;
    int round = 0;
    /// Whether the submission had been acknowledged before.
    bool was_accepted = false;
};

class history
{
public:
    explicit history(std::uint64_t seed) : random_(seed)
    {
        layout_.cells = cell_count;
        longest_lag_ = chance(2) ? 600ms : 5000ms;
        store_lag_ = chance(2) ? 50ms : 1500ms;
        pools_ = choose_pools(layout_);
        publish();
        for (auto& node : nodes_)
        {
            read_configuration(node);
            read_registry(node);
        }
        // A late call comes seconds after its sender has given it up.
        late_percent_ = draw(0, 3) * 5;
        fault_steps_ = draw(20, 150);
        move_steps_ = draw(20, 200);
        request_steps_ = draw(2, 20);
        frequent_fault_ = draw(0, fault_kinds);
    }

    // Returns what was broken, or nothing.
    std::optional<std::string> play()
    {
        const auto end = now_ + draw(4000ms, 15'000ms);
        while (now_ < end && !broken_)
            step();
        if (broken_)
            *broken_ += "\n" + log_.str();
        return broken_;
    }

private:
    static constexpr int fault_kinds = 5;

    int draw(int from, int to)
    {
        return from + static_cast<int>(
                          random_() % static_cast<std::uint64_t>(to - from));
    }

    milliseconds draw(milliseconds from, milliseconds to)
    {
        return milliseconds(
            draw(static_cast<int>(from.count()), static_cast<int>(to.count())));
    }

    const std::string& any_pool()
    {
        return pools_[static_cast<std::size_t>(
            draw(0, static_cast<int>(pools_.size())))];
    }

    bool chance(int steps)
    {
        return draw(0, steps) == 0;
    }

    void note(const std::string& line)
    {
        log_ << now_.time_since_epoch().count() - 3'600'000 << " " << line
             << "\n";
    }

    void break_rule(const std::string& rule)
    {
        if (!broken_)
            broken_ = rule;
    }

    static submission_spec spec_of(std::uint64_t id)
    {
        submission_spec spec;
        spec.steps.emplace_back().long_running = id % 2 == 0;
        return spec;
    }

    // --- what the operator and the store have ------------------------------

    void publish()
    {
        queue_entry queue;
        queue.terms.pool = any_pool();
        queue.terms.queue = queue_;
        queue.terms.version = published_.size() + 1;
        queue_table table;
        table.version = queue.terms.version;
        note(
            "version " + std::to_string(table.version) + " to " +
            queue.terms.pool);
        table.queues.push_back(std::move(queue));
        published_.push_back(
            std::make_shared<const queue_table>(std::move(table)));
    }

    void put_in_force(
        simulated_node& node, const std::shared_ptr<const queue_table>& table)
    {
        if (node.table && table->version <= node.table->version)
            return;
        node.table = table;
        node.in_force_since = now_;
        for (auto& [shard, owner] : owners_)
            if (&nodes_[owner.node] == &node)
                owner.admission.apply(*table, shard, partitions, now_);
    }

    void read_configuration(simulated_node& node)
    {
        put_in_force(node, published_.back());
        node.next_configuration = now_ + draw(10ms, longest_lag_);
    }

    void read_registry(simulated_node& node)
    {
        for (; node.registry_offset < registry_.size(); ++node.registry_offset)
            node.registry.apply(registry_[node.registry_offset], {});
        node.registry.mark_read(now_);
        node.next_registry = now_ + registry_interval + draw(0ms, store_lag_);
    }

    void run_node(simulated_node& node)
    {
        if (now_ < node.wakes)
            return;
        if (now_ < node.heals)
        {
            // What another node has read, that may be outdated itself.
            const auto& other = nodes_[static_cast<std::size_t>(
                draw(0, static_cast<int>(node_count)))];
            if (chance(100) && now_ >= other.wakes)
                put_in_force(node, other.table);
            return;
        }
        if (now_ >= node.next_configuration)
            read_configuration(node);
        if (now_ >= node.next_registry)
            read_registry(node);
    }

    // --- owners ------------------------------------------------------------

    bool can_act(const simulated_owner& owner) const
    {
        return now_ >= nodes_[owner.node].wakes &&
               now_ - owner.confirmed < claim_validity;
    }

    void claim(shard_id shard)
    {
        const auto number =
            static_cast<std::size_t>(draw(0, static_cast<int>(node_count)));
        auto& node = nodes_[number];
        if (now_ < node.heals || now_ < node.wakes)
            return;
        note(
            "claim " + std::to_string(shard) + " by " + std::to_string(number));
        simulated_owner owner;
        owner.claim = ++claims_;
        owner.node = number;
        owner.confirmed = now_;
        owner.admission = queue_admission(node.registry.queues_of(shard));
        owner.admission.apply(
            *node.table, shard, partitions, node.in_force_since);
        owner.admission.mark_claimed(now_);
        for (const auto& record : refusals_[shard])
            if (!owner.admission.restore_closed(record))
                owner.withdrawn.restore(record, now_);
        owner.known = stored_[shard];
        owners_.insert_or_assign(shard, std::move(owner));
        claims_at_.erase(shard);
    }

    // An append in flight may still be carried out.
    void lose(shard_id shard, milliseconds silence)
    {
        note("lost " + std::to_string(shard));
        for (const auto& append : owners_.at(shard).appends)
            if (chance(2))
                store(shard, append.id);
        owners_.erase(shard);
        claims_at_[shard] = now_ + silence;
    }

    void store(shard_id shard, std::uint64_t id)
    {
        stored_[shard].insert(id);
        if (cancelled_.contains(id))
            break_rule(
                "UNASKED: " + std::to_string(id) +
                " is accepted after its cancelling");
        auto& places = places_[id];
        places.insert(shard);
        note("stored " + std::to_string(id) + " in " + std::to_string(shard));
        if (places.size() > 1)
            break_rule("TWICE: " + std::to_string(id) + " has two places");
    }

    void run_owner(shard_id shard, simulated_owner& owner)
    {
        const auto& node = nodes_[owner.node];
        if (now_ < node.wakes || now_ < node.heals)
            return;
        owner.confirmed = now_;
        std::vector<std::uint64_t> done;
        std::erase_if(owner.appends, [&](const pending_append& append) {
            if (now_ < append.stored)
                return false;
            done.push_back(append.id);
            return true;
        });
        for (const auto id : done)
            store(shard, id);
        list_queues(shard, owner);
        if (owner.refusals && now_ >= owner.refusals->first)
        {
            std::ranges::copy(
                owner.refusals->second, std::back_inserter(refusals_[shard]));
            owner.refusals.reset();
        }
        if (owner.refusals || !has_unstored_refusals(owner))
            return;
        auto records = owner.admission.take_closed_records();
        std::ranges::move(
            owner.withdrawn.take_records(now_), std::back_inserter(records));
        owner.refusals = {now_ + draw(20ms, 200ms), std::move(records)};
    }

    // Whether something is closed or withdrawn that is not stored yet.
    static bool has_unstored_refusals(const simulated_owner& owner)
    {
        return owner.refusals || owner.admission.has_closed_records() ||
               owner.withdrawn.has_records();
    }

    void list_queues(shard_id shard, simulated_owner& owner)
    {
        auto& node = nodes_[owner.node];
        if (owner.listing && now_ >= owner.listing->first)
        {
            registry_.push_back(
                {queues_key(shard), encode(owner.listing->second), 0});
            owner.admission.set_listed(owner.listing->second, now_);
            owner.listing.reset();
        }
        if (owner.listing ||
            node.registry.read_as_of() <= owner.admission.claimed_at())
            return;
        owner.admission.merge_listed(node.registry.queues_of(shard));
        if (const auto* list = owner.admission.unlisted())
            owner.listing = {now_ + draw(10ms, 300ms), *list};
    }

    // Whether the call is over; if not, the owner waits.
    bool serve(simulated_call& call)
    {
        const auto found = owners_.find(call.shard);
        if (found == owners_.end())
            return answer(call, reply::rejected);
        auto& owner = found->second;
        if (now_ < nodes_[owner.node].wakes)
            return false;
        if (!can_act(owner))
            return answer(call, reply::not_owner);
        const auto began = call.waits_since.value_or(now_);
        // A call ends with the owner that decides about it.
        if (call.waits_since && call.claim != owner.claim)
            return answer(call, reply::rejected);
        call.waits_since = began;
        call.claim = owner.claim;
        const bool too_long = now_ - began > owner_wait;
        std::optional<reply> outcome;
        if (owner.known.contains(call.id))
        {
            // Acknowledged only once it is stored.
            if (stored_[call.shard].contains(call.id))
                outcome = reply::done;
        }
        else if (call.kind == verb::submit)
            outcome = submit(owner, call);
        else
            outcome = search(owner, call);
        if (!outcome && too_long)
            outcome = reply::rejected;
        return outcome && answer(call, *outcome);
    }

    // Nothing while the owner waits, also for what it has accepted to be
    // stored.
    std::optional<reply>
    submit(simulated_owner& owner, const simulated_call& call)
    {
        const auto& view = nodes_[owner.node].registry;
        const auto decision = owner.admission.decide(
            {call.terms, call.asked, is_cell_of_pool(spec_of(call.id))},
            {now_, view.read_as_of(), view.shards_with(queue_)});
        if (decision == admission::closed)
            return reply::not_owner;
        if (decision == admission::ask_others)
            return reply::ask_others;
        if (decision != admission::open)
        {
            owner.admission.want(queue_);
            return std::nullopt;
        }
        if (owner.withdrawn.contains(call.id, {}))
            return reply::withdrawn;
        note(
            "accepted " + std::to_string(call.id) + " in " +
            std::to_string(call.shard) + " version " +
            std::to_string(call.terms.version) + " of " +
            std::to_string(owner.admission.version()) + " asked " +
            encode(call.asked));
        owner.known.insert(call.id);
        owner.appends.push_back({call.id, now_ + draw(20ms, 200ms)});
        return std::nullopt;
    }

    // The other calls, for a submission that the owner does not know.
    std::optional<reply> search(simulated_owner& owner, simulated_call& call)
    {
        const auto& view = nodes_[owner.node].registry;
        if (call.kind == verb::find && owner.withdrawn.contains(call.id, {}))
            return reply::withdrawn;
        if (call.kind == verb::find)
            owner.admission.close(call.terms, now_);
        if (call.kind == verb::withdraw && !call.noted)
        {
            call.noted = owner.withdrawn.add(call.id, {}, now_);
            owner.admission.want(queue_);
        }
        const bool relies_on_store =
            call.kind == verb::find || call.kind == verb::withdraw;
        if (relies_on_store && has_unstored_refusals(owner))
            return std::nullopt;
        if (call.kind == verb::withdraw && !call.listed_at)
        {
            if (!owner.admission.is_listed(queue_))
                return std::nullopt;
            call.listed_at = now_;
        }
        if (call.wants_places &&
            view.read_as_of() <= call.listed_at.value_or(*call.waits_since))
            return std::nullopt;
        return reply::not_found;
    }

    bool answer(const simulated_call& call, reply outcome)
    {
        simulated_reply out;
        out.outcome = outcome;
        if (call.kind == verb::find)
            note(
                "find " + std::to_string(call.id) + " in " +
                std::to_string(call.shard) + " version " +
                std::to_string(call.terms.version) + " reply " +
                std::to_string(static_cast<int>(outcome)));
        out.shard = call.shard;
        out.request = call.request;
        out.round = call.round;
        out.arrives = now_ + draw(0ms, 40ms);
        const auto found = owners_.find(call.shard);
        if (found != owners_.end())
            out.places = places_in(
                nodes_[found->second.node].registry, queue_,
                found->second.admission.version());
        replies_.push_back(std::move(out));
        return true;
    }

    // --- nodes in front ----------------------------------------------------

    void send(
        const simulated_request& request, std::uint64_t number, verb kind,
        shard_id shard, bool wants_places)
    {
        simulated_call call;
        call.kind = kind;
        call.shard = shard;
        call.request = number;
        call.round = request.round;
        call.id = request.id;
        call.terms = request.terms;
        if (kind == verb::find)
            call.terms.version = request.search.asked().version;
        call.asked = request.search.asked();
        call.wants_places = wants_places;
        const bool late = draw(0, 100) < late_percent_;
        call.arrives = now_ + (late ? draw(500ms, 6000ms) : draw(0ms, 40ms));
        calls_.push_back(call);
        if (draw(0, 100) < late_percent_)
        {
            call.arrives = now_ + draw(0ms, 6000ms);
            calls_.push_back(std::move(call));
        }
    }

    void begin_request()
    {
        simulated_request request;
        request.node =
            static_cast<std::size_t>(draw(0, static_cast<int>(node_count)));
        const auto& node = nodes_[request.node];
        if (now_ < node.wakes)
            return;
        request.id = static_cast<std::uint64_t>(draw(1, submissions + 1));
        request.kind = chance(3)    ? verb::state
                       : chance(12) ? verb::cancel
                                    : verb::submit;
        request.began = now_;
        request.terms = node.table->queues.front().terms;
        request.search = place_search(request.terms.version);
        request.was_accepted = acknowledged_.contains(request.id);
        const auto number = ++requests_begun_;
        if (request.kind != verb::submit ||
            std::ranges::count(
                node.registry.shards_with(queue_), target_of(request)) > 0)
            for (const auto shard : former_shards(request))
                request.search.add(shard);
        if (request.kind != verb::submit)
            for (const auto cell :
                 candidate_cells(layout_, request.id, request.terms.pool))
                request.cells.push_back(
                    shard_of(request.terms.pool, cell, partitions));
        auto& begun = requests_[number] = std::move(request);
        go_on(begun, number);
    }

    std::vector<shard_id> former_shards(const simulated_request& request) const
    {
        auto shards = nodes_[request.node].registry.shards_with(queue_);
        std::erase_if(shards, [&](shard_id shard) {
            return shard ==
                   shard_of(
                       request.terms.pool, cell_of_shard(shard), partitions);
        });
        return shards;
    }

    shard_id target_of(const simulated_request& request) const
    {
        return shard_of(
            request.terms.pool,
            cell_of_submission(
                layout_, request.id, spec_of(request.id), request.terms.pool),
            partitions);
    }

    // Sends the next calls of the request; false if none is left.
    bool go_on(simulated_request& request, std::uint64_t number)
    {
        ++request.round;
        if (request.kind == verb::submit)
            request.search.raise_version();
        // No cell has it: all that could accept it have to know.
        if (request.kind == verb::cancel && request.cells.empty())
        {
            request.kind = verb::withdraw;
            request.search = place_search(request.terms.version);
            for (const auto shard : former_shards(request))
                request.search.add(shard);
            for (cell_id cell = 0; cell < cell_count; ++cell)
                request.search.add(
                    shard_of(request.terms.pool, cell, partitions));
        }
        std::vector<shard_id> asked;
        if (!request.cells.empty())
        {
            const auto shard = request.cells.front();
            request.cells.pop_front();
            asked = {shard};
            send(request, number, request.kind, shard, request.cells.empty());
        }
        else if (auto left = request.search.unasked(); !left.empty())
        {
            asked = std::move(left);
            const auto kind =
                request.kind == verb::submit ? verb::find : request.kind;
            for (const auto shard : asked)
                send(
                    request, number, kind, shard,
                    request.kind == verb::withdraw);
        }
        else if (request.kind == verb::submit)
        {
            asked = {target_of(request)};
            send(request, number, verb::submit, asked.front(), false);
        }
        request.awaited = {asked.begin(), asked.end()};
        return !request.awaited.empty();
    }

    // Whether the request is over.
    bool receive(simulated_request& request, const simulated_reply& got)
    {
        if (got.round != request.round || request.awaited.erase(got.shard) == 0)
            return false;
        if (got.outcome == reply::done)
        {
            acknowledged_.insert(request.id);
            return true;
        }
        if (got.outcome == reply::withdrawn)
            return true;
        if (got.outcome == reply::ask_others)
        {
            const auto target = target_of(request);
            request.search.hear_of(got.places.version);
            for (const auto& place : got.places.places)
                if (is_cell_of_pool(spec_of(request.id)) ||
                    !is_same_pool_shard(place.shard, target))
                    request.search.add(place.shard);
            request.search.mark_asked({target});
            return request.search.unasked().empty();
        }
        if (got.outcome != reply::not_found)
            return true;
        request.search.mark_asked({got.shard});
        request.search.hear_of(got.places.version);
        if (request.kind != verb::submit && request.cells.empty())
            for (const auto& place : got.places.places)
                request.search.add(place.shard);
        return false;
    }

    // The request is answered 410.
    void deny(const simulated_request& request)
    {
        if (request.was_accepted)
            break_rule(
                "DENIED: " + std::to_string(request.id) +
                " was acknowledged before");
        if (request.kind == verb::withdraw)
        {
            note("cancelled " + std::to_string(request.id));
            cancelled_.insert(request.id);
        }
    }

    void run_replies()
    {
        std::vector<simulated_reply> due;
        std::erase_if(replies_, [&](const simulated_reply& got) {
            const auto found = requests_.find(got.request);
            if (found != requests_.end() &&
                (now_ < got.arrives || now_ < nodes_[found->second.node].wakes))
                return false;
            due.push_back(got);
            return true;
        });
        for (const auto& got : due)
        {
            const auto found = requests_.find(got.request);
            if (found == requests_.end())
                continue;
            auto& request = found->second;
            bool over = receive(request, got);
            if (!over && request.awaited.empty() &&
                !go_on(request, got.request))
            {
                deny(request);
                over = true;
            }
            if (over)
                requests_.erase(found);
        }
        std::erase_if(requests_, [&](const auto& item) {
            return now_ - item.second.began > caller_timeout;
        });
    }

    void run_calls()
    {
        auto due = std::exchange(calls_, {});
        for (auto& call : due)
            if (now_ < call.arrives || !serve(call))
                calls_.push_back(std::move(call));
    }

    // --- faults ------------------------------------------------------------

    void cause_fault()
    {
        auto& node = nodes_[static_cast<std::size_t>(draw(0, node_count))];
        const auto shard = any_shard();
        switch (chance(2) ? frequent_fault_ : draw(0, fault_kinds))
        {
        case 0:
            note("freeze " + std::to_string(&node - nodes_.data()));
            node.wakes = now_ + draw(100ms, 4000ms);
            break;
        case 1:
            if (owners_.contains(shard))
                lose(shard, 0ms);
            break;
        case 2:
            if (owners_.contains(shard))
                lose(shard, takeover_time);
            break;
        default:
            note("cut " + std::to_string(&node - nodes_.data()));
            node.heals = now_ + draw(500ms, 6000ms);
            break;
        }
    }

    shard_id any_shard()
    {
        return shard_of(
            any_pool(), static_cast<cell_id>(draw(0, cell_count)), partitions);
    }

    void run_owners()
    {
        for (const auto& pool : pools_)
            for (cell_id cell = 0; cell < cell_count; ++cell)
            {
                const auto shard = shard_of(pool, cell, partitions);
                if (owners_.contains(shard) || now_ < claims_at_[shard])
                    continue;
                claim(shard);
            }
        std::vector<shard_id> lost;
        for (auto& [shard, owner] : owners_)
        {
            run_owner(shard, owner);
            if (now_ - owner.confirmed >= claim_validity)
                lost.push_back(shard);
        }
        for (const auto shard : lost)
            lose(shard, takeover_time - claim_validity);
    }

    void step()
    {
        now_ += time_step;
        if (chance(fault_steps_))
            cause_fault();
        if (chance(move_steps_))
            publish();
        for (auto& node : nodes_)
            run_node(node);
        run_owners();
        if (chance(request_steps_))
            begin_request();
        run_calls();
        run_replies();
    }

    std::mt19937_64 random_;
    boot_time now_{1h};
    fleet_layout layout_;
    std::vector<std::string> pools_;
    const std::uint64_t queue_ = queue_id_of("h", "/q/");
    std::vector<std::shared_ptr<const queue_table>> published_;
    std::vector<keyed_record> registry_;
    std::array<simulated_node, node_count> nodes_;
    std::map<shard_id, simulated_owner> owners_;
    std::map<shard_id, boot_time> claims_at_;
    std::map<shard_id, std::set<std::uint64_t>> stored_;
    std::map<shard_id, std::vector<keyed_record>> refusals_;
    std::set<std::uint64_t> cancelled_;
    std::map<std::uint64_t, std::set<shard_id>> places_;
    std::vector<simulated_call> calls_;
    std::vector<simulated_reply> replies_;
    std::map<std::uint64_t, simulated_request> requests_;
    std::uint64_t requests_begun_ = 0;
    int claims_ = 0;
    std::set<std::uint64_t> acknowledged_;
    /// Of a node's configuration, and of its registry beside the interval.
    milliseconds longest_lag_{0};
    milliseconds store_lag_{0};
    int late_percent_ = 0;
    int fault_steps_ = 0;
    int move_steps_ = 0;
    int request_steps_ = 0;
    int frequent_fault_ = 0;
    std::optional<std::string> broken_;
    std::ostringstream log_;
};

} // namespace

// Guards against review/11 and review/12: nodes that took "not found" of the
// shards that they knew for the word of all; and against review/14: copies of a
// submission that came after its cancelling was acknowledged.
TEST(front_history, every_submission_has_one_place_that_all_nodes_find)
{
    const auto histories = number_from("HISTORIES", default_histories);
    const auto first = number_from("HISTORY_SEED", default_seed);
    for (std::uint64_t i = 0; i < histories; ++i)
    {
        const auto broken = history(first + i).play();
        ASSERT_FALSE(broken)
            << "history " << i + 1 << ", HISTORY_SEED=" << first + i << "\n"
            << *broken;
    }
}

} // namespace dandeliontack
