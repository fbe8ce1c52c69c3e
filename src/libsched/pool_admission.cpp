#include "completion_forecast.hpp"
#include "pool_planner.hpp"

#include <algorithm>
#include <ranges>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;

// How long a measured backlog is used; accepted work is added meanwhile.
constexpr auto backlog_interval = 100ms;

bool is_bounded(const submission_record& record)
{
    return record.spec.repetitions == 0 &&
           std::ranges::none_of(record.spec.steps, &step_spec::long_running);
}

} // namespace

double pool_engine::weight_of(const std::string& account) const
{
    const auto* known = accounts_ ? accounts_->find(account) : nullptr;
    return known ? known->weight : 1.0;
}

bool pool_engine::has_shares(const submission_record& record) const
{
    return accounts_ && !record.account.empty();
}

void pool_engine::mark_excess(submission_state& s)
{
    if (has_shares(s.record))
        s.is_excess = !entitlements_[s.record.terms.pool].take(
            s.record.account, weight_of(s.record.account), s.record.accepted);
}

// Of those that a previous owner accepted and that have ended, nothing is
// known: a mark may be missing, but is never wrong.
void pool_engine::mark_all_excess()
{
    std::vector<submission_state*> order;
    order.reserve(active_.size());
    for (auto& [id, s] : active_)
        order.push_back(&s);
    std::ranges::sort(order, {}, [](const submission_state* s) {
        return s->record.accepted;
    });
    for (auto* s : order)
        mark_excess(*s);
}

double pool_engine::remaining_work(
    const submission_state& s, const resources& host) const
{
    const double factor = estimate_factor(s);
    double sum = 0;
    const auto add = [&](const step_spec& spec, double milliseconds) {
        sum += share_of(reserved_resources(spec), host) * factor * milliseconds;
    };
    const auto& steps = s.record.spec.steps;
    if (s.occurrences.empty())
    {
        for (const auto& spec : steps)
            add(spec, spec.count * static_cast<double>(spec.estimate.count()));
        return sum;
    }
    for (const auto& [k, o] : s.occurrences)
    {
        if (forecast_completion(s, o, factor, now_.steady).state ==
            timeliness::overdue)
            continue;
        for (std::size_t i = 0; i < steps.size(); ++i)
            for (const auto& t : o.steps[i].tasks)
            {
                if (is_done(t))
                    continue;
                const auto ran = is_in_progress(t) && t.started != boot_time{}
                                     ? now_.steady - t.started
                                     : 0ms;
                add(steps[i],
                    std::max(
                        static_cast<double>(steps[i].estimate.count()) -
                            static_cast<double>(ran.count()) / factor,
                        0.0));
            }
    }
    return sum;
}

void pool_engine::measure_backlog(const std::string& pool, pool_backlog& out)
{
    out.measured = now_.steady;
    out.entitled = 0;
    out.excess.clear();
    const auto host = typical_host(pool);
    for (const auto& [id, s] : active_)
        if (s.record.terms.pool == pool && s.cancelled_in == 0 &&
            is_bounded(s.record))
            add_backlog(out, s, remaining_work(s, host));
}

void pool_engine::add_backlog(
    pool_backlog& out, const submission_state& s, double work)
{
    if (!s.is_excess)
        out.entitled += work;
    else if (work > 0)
        out.excess[s.record.account] += work;
}

share_backlog pool_engine::backlog_before(const submission_record& record)
{
    auto& known = backlogs_[record.terms.pool];
    if (now_.steady - known.measured >= backlog_interval)
        measure_backlog(record.terms.pool, known);
    share_backlog out;
    out.entitled = known.entitled;
    out.weight = weight_of(record.account);
    out.excess_weights = out.weight;
    for (const auto& [account, work] : known.excess)
    {
        out.excess += work;
        if (account == record.account)
            out.own_excess = work;
        else
            out.excess_weights += weight_of(account);
    }
    return out;
}

double pool_engine::capacity_of(const std::string& pool) const
{
    double sum = 0;
    for (const auto& [id, h] : hosts_)
    {
        if (h.entry.pool != pool || !h.listed || !h.contacted ||
            h.entry.draining || h.evacuate_until > now_.steady)
            continue;
        resources lasting;
        for (const auto& [task, run] : h.runs)
            if (run.long_running)
                lasting = lasting + run.need;
        sum += std::max(1 - share_of(lasting, h.entry.capacity), 0.0);
    }
    return sum;
}

std::optional<submission_refusal>
pool_engine::refusal_of(const submission_record& record, moment now)
{
    now_ = now;
    if (!has_shares(record) || !is_bounded(record) ||
        active_.contains(record.id) || finished_.contains(record.id))
        return std::nullopt;
    const auto& pool = record.terms.pool;
    const auto room = room_.find(pool);
    const auto weight = weight_of(record.account);
    auto entitlement = entitlements_[pool];
    if (room == room_.end() ||
        entitlement.take(record.account, weight, now.wall))
        return std::nullopt;
    submission_state s;
    s.record = record;
    const auto needs = time_needed(s, estimate_factor(s));
    const auto hosts = room->second.expected(now.steady, needs.late_limit);
    if (!hosts)
        return std::nullopt;
    auto backlog = backlog_before(record);
    // A pool with work gets a host.
    backlog.hosts = std::max(*hosts, 1.0);
    const auto end = wait_before(backlog) + needs.chain;
    if (end <= needs.late_limit)
        return std::nullopt;
    const double share = weight / backlog.excess_weights;
    const std::chrono::milliseconds spacing(static_cast<std::int64_t>(
        remaining_work(s, typical_host(pool)) / (backlog.hosts * share)));
    return submission_refusal{
        refusal_cause::beyond_share,
        returns_[pool].next(
            record.account, now.steady, end - needs.late_limit, spacing)};
}

} // namespace dandeliontack
