#include "completion_forecast.hpp"
#include "pool_planner.hpp"

#include <algorithm>
#include <ranges>
#include <set>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;

bool is_bounded(const submission_record& record)
{
    return record.spec.repetitions == 0 &&
           std::ranges::none_of(
               record.spec.steps, &step_spec::long_running);
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

share_backlog pool_engine::backlog_before(const submission_record& record) const
{
    share_backlog out;
    out.weight = weight_of(record.account);
    const auto host = typical_host(record.terms.pool);
    std::set<std::string_view> with_entitled{record.account};
    std::set<std::string_view> with_excess{record.account};
    for (const auto& [id, s] : active_)
    {
        const auto& other = s.record;
        if (other.terms.pool != record.terms.pool || s.cancelled_in != 0 ||
            other.terms.priority > record.terms.priority || !is_bounded(other))
            continue;
        const double work = remaining_work(s, host);
        if (work <= 0)
            continue;
        const bool is_own = other.account == record.account;
        (s.is_excess ? out.excess : out.entitled) += work;
        if (is_own)
            (s.is_excess ? out.own_excess : out.own_entitled) += work;
        (s.is_excess ? with_excess : with_entitled).insert(other.account);
    }
    for (const auto account : with_entitled)
        out.entitled_weights += weight_of(std::string(account));
    for (const auto account : with_excess)
        out.excess_weights += weight_of(std::string(account));
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
    if (room == room_.end())
        return std::nullopt;
    submission_state s;
    s.record = record;
    const auto needs = time_needed(s, estimate_factor(s));
    const auto hosts = room->second.expected(now.steady, needs.late_limit);
    if (!hosts)
        return std::nullopt;
    auto backlog = backlog_before(record);
    backlog.hosts = *hosts;
    auto entitlement = entitlements_[pool];
    const bool is_excess = !entitlement.take(
        record.account, backlog.weight, now.wall);
    const auto end = wait_before(backlog, is_excess) + needs.chain;
    if (end <= needs.late_limit)
        return std::nullopt;
    const auto host = typical_host(pool);
    const double share =
        backlog.weight /
        (is_excess ? backlog.excess_weights : backlog.entitled_weights);
    const std::chrono::milliseconds spacing(static_cast<std::int64_t>(
        remaining_work(s, host) / std::max(backlog.hosts * share, 0.1)));
    return submission_refusal{
        is_excess ? refusal_cause::beyond_share : refusal_cause::pool_full,
        returns_[pool].next(
            record.account, now.steady, end - needs.late_limit, spacing)};
}

} // namespace dandeliontack
