#include "pool_planner.hpp"

#include <algorithm>
#include <ranges>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;

// The share of runs that end within the time that they are expected to take.
constexpr double run_time_quantile = 0.8;
// A task is large if it needs this many times the mean share of a host that the
// runs of its pool hold: a host has room for it only once several have ended.
constexpr double large_factor = 2;
// Hosts of a pool that may be reserved at a time, as a divisor. While there are
// fewer, a gang gets as many as it needs.
constexpr std::size_t reserved_divisor = 4;
// Steps of a pool for which hosts are sought in one round.
constexpr std::size_t max_requests_per_round = 2;

double ratio(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole)
                     : 0;
}

} // namespace

std::chrono::milliseconds pool_planner::run_time_of(
    const submission_state& s, const step_spec& spec) const
{
    const double factor = engine_.run_time_ratios_
                              .quantile(s.record.terms.route, run_time_quantile)
                              .value_or(engine_.estimate_factor(s));
    return std::chrono::round<std::chrono::milliseconds>(
        spec.estimate * factor);
}

host_outlook pool_planner::outlook_of(const host_state& h) const
{
    host_outlook out(h.entry.capacity - h.used);
    for (const auto& [task, run] : h.runs)
    {
        if (run.stop_ordered)
        {
            out.add_end(now_.steady + engine_.terms_.stop_bound, run.need);
            continue;
        }
        const auto* s = engine_.state_of(task.submission);
        const auto* t = engine_.find_task(task);
        if (run.long_running || !s || !t)
            continue;
        const auto end = expected_end(
            std::chrono::duration_cast<std::chrono::milliseconds>(
                now_.steady - t->started),
            run_time_of(*s, s->record.spec.steps[task.step]), now_.steady);
        if (end)
            out.add_end(*end, run.need);
    }
    return out;
}

void pool_planner::review_reservations(const std::vector<candidate>& candidates)
{
    find_scarcer_resources();
    auto& plan = engine_.reservations_;
    if (plan.by_host().empty())
        return;
    std::map<task_ref, std::optional<step_urgency>> waiting;
    for (const auto& [id, reservation] : plan.by_host())
    {
        waiting.try_emplace(reservation.step);
        const auto h = engine_.hosts_.find(id);
        if (h != engine_.hosts_.end() && starts_left_.contains(&h->second))
            outlooks_.emplace(&h->second, outlook_of(h->second));
    }
    for (const auto& c : candidates)
        if (const auto found = waiting.find(c.first_task());
            found != waiting.end())
            found->second = c.urgency();
    const auto ended = plan.review(
        [&](const std::string& id) -> const host_outlook* {
            const auto h = engine_.hosts_.find(id);
            if (h == engine_.hosts_.end())
                return nullptr;
            const auto found = outlooks_.find(&h->second);
            return found == outlooks_.end() ? nullptr : &found->second;
        },
        [&](const task_ref& step) { return waiting.at(step); }, now_.steady);
    for (const auto& item : ended)
    {
        if (const auto h = engine_.hosts_.find(item.host);
            h != engine_.hosts_.end())
            outlooks_.erase(&h->second);
        engine_.log_decision(
            "reservation_ended", item.reservation.step, 0, item.host,
            std::string(item.reason));
    }
}

std::uint32_t pool_planner::waiting_tasks(const candidate& c) const
{
    return static_cast<std::uint32_t>(std::ranges::count_if(
        c.state().tasks, [&](const task_state& t) { return may_start(t); }));
}

std::vector<const pool_planner::candidate*> pool_planner::steps_to_reserve_for(
    const std::vector<host_state*>& hosts,
    const std::vector<candidate>& candidates) const
{
    const auto& pool = hosts.front()->entry.pool;
    const auto share = [&](const candidate* c) {
        return share_of(
            reserved_resources(c->spec()), hosts.front()->entry.capacity);
    };
    std::vector<const candidate*> waiting;
    for (const auto& c : candidates)
        if (c.submission->record.terms.pool == pool && !c.spec().long_running &&
            waiting_tasks(c) > 0)
            waiting.push_back(&c);
    if (waiting.empty())
        return {};
    double sum = 0;
    std::size_t runs = 0;
    for (const auto* h : hosts)
        for (const auto& [task, run] : h->runs)
            if (!run.long_running)
            {
                sum += share_of(run.need, h->entry.capacity);
                ++runs;
            }
    const double large = large_factor * sum /
                         static_cast<double>(std::max<std::size_t>(runs, 1));
    std::erase_if(waiting, [&](const candidate* c) {
        return (!c->spec().gang && share(c) < large) ||
               !engine_.reservations_.may_request(c->first_task());
    });
    // The oldest first, so that the wait of each is bounded.
    std::ranges::sort(waiting, {}, [](const candidate* c) {
        return std::pair(
            c->urgency(), c->submission->occurrences.at(c->occurrence).due);
    });
    waiting.resize(std::min(waiting.size(), max_requests_per_round));
    return waiting;
}

bool pool_planner::may_reserve(const host_state& h, const candidate& c) const
{
    const auto& label = c.spec().label;
    const auto known = c.state().advice.find(h.entry.id);
    const bool is_denied = known != c.state().advice.end() &&
                           known->second.born == h.entry.born &&
                           known->second.ticket.empty();
    return !is_denied && h.health.suspensions == 0 &&
           (label.empty() ||
            std::ranges::find(h.entry.labels, label) != h.entry.labels.end());
}

reservation_request pool_planner::request_for(const candidate& c) const
{
    const auto& spec = c.spec();
    reservation_request out;
    out.step = c.first_task();
    out.urgency = c.urgency();
    out.need = reserved_resources(spec);
    out.count = waiting_tasks(c);
    out.most_per_host = spec.most_per_host;
    out.together = spec.gang;
    // No more room is left idle than the tasks are going to use.
    out.max_wait = run_time_of(*c.submission, spec);
    if (c.slack)
        out.max_wait = std::min(out.max_wait, *c.slack);
    return out;
}

void pool_planner::reserve_hosts(const std::vector<candidate>& candidates)
{
    for (const auto& [pool, hosts] : hosts_)
        reserve_hosts_in(hosts, candidates);
}

void pool_planner::reserve_hosts_in(
    const std::vector<host_state*>& hosts,
    const std::vector<candidate>& candidates)
{
    auto& plan = engine_.reservations_;
    const auto& pool = hosts.front()->entry.pool;
    const auto most = std::max<std::size_t>(hosts.size() / reserved_divisor, 1);
    const auto count_reserved = [&] {
        return static_cast<std::size_t>(
            std::ranges::count_if(plan.by_host(), [&](const auto& item) {
                return engine_.hosts_.at(item.first).entry.pool == pool;
            }));
    };
    if (count_reserved() >= most)
        return;
    const auto steps = steps_to_reserve_for(hosts, candidates);
    if (steps.empty())
        return;
    std::vector<host_outlook> outlooks;
    outlooks.reserve(hosts.size());
    std::ranges::transform(
        hosts, std::back_inserter(outlooks),
        [&](const host_state* h) { return outlook_of(*h); });
    for (const auto* c : steps)
    {
        std::vector<reservation_plan::host_view> views;
        for (std::size_t i = 0; i < hosts.size(); ++i)
            if (may_reserve(*hosts[i], *c))
                views.push_back({hosts[i]->entry.id, &outlooks[i]});
        for (const auto& host : plan.request(
                 request_for(*c), views,
                 most - std::min(most, count_reserved()), now_.steady))
            engine_.log_decision(
                "host_reserved", c->first_task(), 0, host,
                "ready in " +
                    std::to_string(
                        (plan.by_host().at(host).ready - now_.steady).count()) +
                    " ms");
    }
}

bool pool_planner::respects_reservation(
    const host_state& h, const candidate& c, const step_spec& spec) const
{
    const auto outlook = outlooks_.find(&h);
    if (outlook == outlooks_.end())
        return true;
    // Several members of a gang may be chosen for the host before any starts.
    const auto need = spec.gang ? h.entry.capacity : reserved_resources(spec);
    return engine_.reservations_.allows(
        h.entry.id,
        {c.first_task(), c.urgency(), need,
         spec.long_running ? boot_time::max()
                           : now_.steady + run_time_of(*c.submission, spec)},
        outlook->second, now_.steady);
}

bool pool_planner::is_reserved_for(
    const host_state& h, const candidate& c) const
{
    return outlooks_.contains(&h) &&
           engine_.reservations_.is_reserved_for(h.entry.id, c.first_task());
}

void pool_planner::note_start(const host_state& h, const candidate& c)
{
    const auto need = reserved_resources(c.spec());
    engine_.reservations_.note_start(h.entry.id, c.first_task(), need);
    const auto outlook = outlooks_.find(&h);
    if (outlook == outlooks_.end())
        return;
    outlook->second.add_run(
        need, c.spec().long_running
                  ? boot_time::max()
                  : now_.steady + run_time_of(*c.submission, c.spec()));
}

void pool_planner::find_scarcer_resources()
{
    for (const auto& [pool, hosts] : hosts_)
    {
        resources capacity;
        resources used;
        for (const auto* h : hosts)
        {
            capacity = capacity + h->entry.capacity;
            used = used + h->used;
        }
        scarcer_[pool] = ratio(used.memory_mb, capacity.memory_mb) >
                                 ratio(used.cpu_milli, capacity.cpu_milli)
                             ? &resources::memory_mb
                             : &resources::cpu_milli;
    }
}

} // namespace dandeliontack
