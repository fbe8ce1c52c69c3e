#include "domains.hpp"
#include <dandeliontack/fleet_budget.hpp>

#include <algorithm>
#include <array>

namespace dandeliontack
{

namespace
{

// One step of a host's life cycle and what must hold for it, or null.
struct transition
{
    host_phase from;
    host_phase to;
    bool (*allowed)(const reduce_context& context, const host_record& host) =
        nullptr;
};

bool is_maintained(const reduce_context&, const host_record& host)
{
    return host.purpose == disruption::maintenance;
}

bool is_quarantined(const reduce_context&, const host_record& host)
{
    return host.purpose == disruption::quarantine;
}

bool has_returned(const reduce_context&, const host_record& host)
{
    return host.seen_away && host.listed == listing::live;
}

bool is_live(const reduce_context&, const host_record& host)
{
    return host.observed && host.listed == listing::live;
}

bool may_join(const reduce_context& context, const host_record& host)
{
    return is_live(context, host) &&
           (host.purpose != disruption::move ||
            departure_settled(context.current, host, context.cause.time));
}

bool has_drained(const reduce_context& context, const host_record& host)
{
    return context.cause.time - host.since >=
           drain_time_of(context.current, host);
}

bool is_gone(const reduce_context&, const host_record& host)
{
    return host.observed && host.listed == listing::gone;
}

bool is_overdue(const reduce_context& context, const host_record& host)
{
    return host.listed != listing::live &&
           context.cause.time - host.since >=
               return_bound_of(context.current, host);
}

using enum host_phase;

constexpr std::array transitions{
    transition{leaving, drained, has_drained},
    transition{drained, rebooting, is_maintained},
    transition{drained, quarantined, is_quarantined},
    transition{rebooting, joining, has_returned},
    // The end of a move's departure, or a drain that is undone.
    transition{leaving, joining}, transition{drained, joining},
    transition{quarantined, joining}, transition{failed, joining, is_live},
    transition{joining, serving, may_join},
    transition{serving, failed, is_gone}, transition{leaving, failed, is_gone},
    transition{drained, failed, is_gone},
    transition{rebooting, failed, is_overdue},
    transition{joining, failed, is_overdue}};

void enter(
    const reduce_context& context, const std::string& name, host_record& host,
    host_phase to)
{
    host.phase = to;
    host.since = context.cause.time;
    host.offset = context.cause.origin.offset;
    host.term = context.cause.origin.term;
    host.seen_away = to == rebooting && host.listed != listing::live;
    if (const auto command = command_for(name, host))
        context.todo.emplace_back(*command);
    context.todo.emplace_back(routing_changed{});
}

void end_disruption(host_record& host)
{
    host.purpose = disruption::none;
    host.wave.clear();
    host.to_pool.clear();
    host.departure_bound = std::chrono::milliseconds(0);
}

// Counts a failure for a wave, which is halted by too many of them.
void count_failure(
    const reduce_context& context, const std::string& host,
    const std::string& wave)
{
    const auto config = context.current.config.waves.find(wave);
    if (config == context.current.config.waves.end())
        return;
    auto& progress = context.current.fleet.waves[wave];
    if (!progress.failed.insert(host).second || progress.ended)
        return;
    progress.done.erase(host);
    if (++progress.recent_failures >= config->second.config.halt_after)
        progress.halted_revision = config->second.revision;
}

void note_failed(
    const reduce_context& context, const std::string& name, host_record& host)
{
    const auto own = host.wave;
    if (!own.empty())
        count_failure(context, name, own);
    // A host that fails after its maintenance speaks against the wave too.
    for (const auto& [wave, progress] : context.current.fleet.waves)
        if (!progress.ended && progress.done.contains(name))
            count_failure(context, name, wave);
    if (host.purpose == disruption::move && host.pool.empty())
        return;
    end_disruption(host);
}

// The departure: from here on the host belongs to no pool until all nodes
// that could route to it have applied this record.
void depart(const reduce_context& context, host_record& host)
{
    const auto pool = context.current.config.pools.find(host.pool);
    const auto& pools = context.current.config.pools;
    host.departure_bound = std::chrono::milliseconds(0);
    if (pool != pools.end() &&
        pool->second.config.when_stale == stale_policy::refuse)
        host.departure_bound = 2 * pool->second.config.staleness_bound;
    host.pool.clear();
}

void complete(
    const reduce_context& context, const std::string& name, host_record& host)
{
    if (host.purpose == disruption::move)
        host.pool = host.to_pool;
    if (host.purpose == disruption::maintenance)
        context.current.fleet.waves[host.wave].done.insert(name);
    end_disruption(host);
}

void advance(
    const reduce_context& context, const std::string& name, host_record& host,
    host_phase to)
{
    const auto from = host.phase;
    // A move that has not departed is undone by joining before it drained.
    const bool undone = to == joining && (from == leaving || from == drained);
    if (undone && from == drained && host.purpose == disruption::move)
        depart(context, host);
    else if (undone)
        end_disruption(host);
    if (to == failed)
        note_failed(context, name, host);
    if (to == serving)
        complete(context, name, host);
    enter(context, name, host, to);
}

void apply_one(const reduce_context& context, const host_observed& e)
{
    auto& host = context.current.fleet.hosts[e.host];
    host.listed = e.listed;
    host.data_centre = e.data_centre;
    host.rack = e.rack;
    host.processors = e.processors;
    host.memory_mb = e.memory_mb;
    host.accelerators = e.accelerators;
    host.observed = true;
    if (host.phase == rebooting && e.listed != listing::live)
        host.seen_away = true;
}

void apply_one(const reduce_context& context, const disruption_claimed& e)
{
    const auto reason = certify_claim(context.current, e, context.cause.time);
    if (!reason.empty())
        return context.reject("host " + e.host, reason);
    auto& host = context.current.fleet.hosts.at(e.host);
    host.purpose = e.purpose;
    host.wave = e.purpose == disruption::maintenance ? e.wave : "";
    host.to_pool = e.purpose == disruption::move ? e.to_pool : "";
    enter(context, e.host, host, leaving);
}

void apply_one(const reduce_context& context, const host_advanced& e)
{
    auto& hosts = context.current.fleet.hosts;
    const auto host = hosts.find(e.host);
    const auto subject = "host " + e.host;
    if (host == hosts.end() || host->second.phase != e.from)
        return context.reject(subject, "is not in the phase to leave");
    const auto* const step =
        std::ranges::find_if(transitions, [&](const transition& item) {
            return item.from == e.from && item.to == e.to;
        });
    if (step == transitions.end())
        return context.reject(subject, "there is no such step");
    if (step->allowed && !step->allowed(context, host->second))
        return context.reject(subject, "the step's precondition is not met");
    advance(context, e.host, host->second, e.to);
}

void apply_one(const reduce_context& context, const departures_applied& e)
{
    auto& applied = context.current.fleet.departures_applied;
    auto& end = applied[context.cause.origin.writer];
    end = std::max(end, e.system_end);
    const auto& nodes = context.current.membership.nodes;
    std::erase_if(
        applied, [&](const auto& item) { return !nodes.contains(item.first); });
}

void apply_one(const reduce_context& context, const wave_ended& e)
{
    const auto config = context.current.config.waves.find(e.wave);
    if (config == context.current.config.waves.end())
        return context.reject("wave " + e.wave, "is not known");
    auto& progress = context.current.fleet.waves[e.wave];
    if (wave_has_work(context.current, e.wave))
        return context.reject("wave " + e.wave, "has hosts left");
    progress.ended = true;
}

void feed(hasher& h, const host_record& host)
{
    h.add(host.listed);
    h.add(host.data_centre);
    h.add(host.rack);
    h.add(host.processors);
    h.add(host.memory_mb);
    h.add(host.accelerators);
    h.add(host.observed);
    h.add(host.pool);
    h.add(host.phase);
    h.add(host.purpose);
    h.add(host.wave);
    h.add(host.to_pool);
    h.add(host.since.time_since_epoch());
    h.add(host.offset);
    h.add(host.term);
    h.add(host.seen_away);
    h.add(host.departure_bound);
}

void feed(hasher& h, const wave_progress& wave)
{
    h.add_range(wave.done);
    h.add_range(wave.failed);
    h.add(wave.recent_failures);
    h.add(wave.halted_revision);
    h.add(wave.ended);
}

} // namespace

void adopt(const reduce_context& context, const pool_config& config)
{
    auto& hosts = context.current.fleet.hosts;
    for (const auto& name : config.hosts)
    {
        // A host that was never routed to under a pool joins at once.
        auto& host = hosts[name];
        if (host.pool.empty() && host.purpose == disruption::none)
            host.pool = config.name;
    }
}

void adopt(const reduce_context& context, const wave_config& config)
{
    context.current.fleet.waves[config.name].recent_failures = 0;
}

void apply(const reduce_context& context, const fleet_event& e)
{
    std::visit([&](const auto& one) { apply_one(context, one); }, e);
}

void feed(hasher& h, const fleet_state& s)
{
    h.add(s.hosts.size());
    for (const auto& [name, host] : s.hosts)
    {
        h.add(name);
        feed(h, host);
    }
    h.add(s.waves.size());
    for (const auto& [name, wave] : s.waves)
    {
        h.add(name);
        feed(h, wave);
    }
    h.add(s.departures_applied.size());
    for (const auto& [node, end] : s.departures_applied)
    {
        feed(h, node);
        h.add(end);
    }
}

} // namespace dandeliontack
