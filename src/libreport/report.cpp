#include "request_series.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <set>

namespace dandeliontack
{

namespace json = boost::json;

namespace
{

constexpr int history_steps = 60;

using samples_by_process = std::map<endpoint, const process_sample*>;

// The last answer of each process; for one that never answered, its last
// sample.
samples_by_process last_samples(const std::vector<process_sample>& samples)
{
    samples_by_process last;
    for (const auto& sample : samples)
    {
        auto& slot = last[sample.address];
        if (!slot || sample.answered() || !slot->answered())
            slot = &sample;
    }
    return last;
}

std::uint64_t number_at(const json::object& from, std::string_view key)
{
    const auto* value = from.if_contains(key);
    return value && value->is_number() ? value->to_number<std::uint64_t>() : 0;
}

std::string text_at(const json::object& from, std::string_view key)
{
    const auto* value = from.if_contains(key);
    return value && value->is_string() ? std::string(value->as_string())
                                       : std::string();
}

// The objects of an array that may be missing.
std::vector<json::object>
objects_at(const json::object& from, std::string_view key)
{
    std::vector<json::object> out;
    const auto* value = from.if_contains(key);
    if (value && value->is_array())
        for (const auto& item : value->as_array())
            if (item.is_object())
                out.push_back(item.as_object());
    return out;
}

double metric_sum(const process_sample& sample, std::string_view name)
{
    double sum = 0;
    for (const auto& metric : sample.metrics)
        if (metric.name == name)
            sum += metric.value;
    return sum;
}

// The status of the control process that has applied most, or null.
const json::object* newest_status(const samples_by_process& last)
{
    const json::object* newest = nullptr;
    for (const auto& [address, sample] : last)
    {
        if (sample->role != process_role::control || !sample->answered())
            continue;
        if (!newest || number_at(*newest, "system_end") <
                           number_at(sample->status, "system_end"))
            newest = &sample->status;
    }
    return newest;
}

// Schema versions are whole numbers written without leading zeros.
bool is_older(const std::string& left, const std::string& right)
{
    return std::pair(left.size(), left) < std::pair(right.size(), right);
}

void mark_old_versions(report& out, const json::object* status)
{
    std::map<std::string, std::string> newest;
    const auto note = [&](const std::string& name, const std::string& version) {
        auto& known = newest[name];
        if (is_older(known, version))
            known = version;
    };
    for (const auto& item : out.services)
        note(item.label.service, item.label.version);
    if (status)
        for (const auto& item : objects_at(*status, "services"))
            note(
                text_at(item, "name"),
                std::to_string(number_at(item, "schema_version")));
    for (auto& item : out.services)
        item.old_version =
            is_older(item.label.version, newest[item.label.service]);
}

// Versions in force that nobody asked for have no counter of their own.
std::set<service_label> service_labels(
    const std::vector<request_step>& steps, const json::object* status)
{
    std::set<service_label> labels;
    for (const auto& step : steps)
        labels.insert(step.label);
    if (status)
        for (const auto& item : objects_at(*status, "services"))
            labels.insert(
                {text_at(item, "name"),
                 std::to_string(number_at(item, "schema_version")),
                 text_at(item, "pool")});
    return labels;
}

void add_services(
    report& out, const std::vector<request_step>& steps,
    const json::object* status)
{
    for (const auto& label : service_labels(steps, status))
        out.services.push_back(
            {label,
             burn_of(steps, out.settings, out.until, [&](const auto& step) {
                 return step.label == label;
             })});
    mark_old_versions(out, status);
}

// The short burn rate as it stood at evenly spaced times.
std::vector<burn_point> history_of(
    const report& r, const std::vector<request_step>& steps,
    const std::string& pool)
{
    std::vector<burn_point> points;
    for (int i = 1; i <= history_steps; ++i)
    {
        const auto time = r.from + (r.until - r.from) * i / history_steps;
        const auto level =
            burn_of(steps, r.settings, time, [&](const auto& step) {
                return step.label.pool == pool && step.time <= time;
            });
        if (level.short_rate)
            points.push_back({time, *level.short_rate});
    }
    return points;
}

void add_pools(
    report& out, const std::vector<request_step>& steps,
    const json::object* status)
{
    std::map<std::string, pool_level> pools;
    for (const auto& step : steps)
        pools[step.label.pool].pool = step.label.pool;
    if (status)
        for (const auto& item : objects_at(*status, "pools"))
        {
            const auto name = text_at(item, "name");
            const auto* hosts = item.if_contains("hosts");
            auto& pool = pools[name];
            pool.pool = name;
            pool.hosts =
                hosts && hosts->is_array() ? hosts->as_array().size() : 0;
            pool.promised_hosts = number_at(item, "budget_hosts");
        }
    for (auto& [name, pool] : pools)
    {
        pool.level =
            burn_of(steps, out.settings, out.until, [&](const auto& step) {
                return step.label.pool == name;
            });
        pool.history = history_of(out, steps, name);
        out.pools.push_back(std::move(pool));
    }
}

// The name of an entry process is not on its status page.
process_view view_of(const process_sample& sample, bool answered)
{
    const auto& status = sample.status;
    return {
        sample.address,
        sample.role,
        text_at(status, "node"),
        answered,
        number_at(status, "system_end"),
        number_at(status, "operators_end"),
        text_at(status, "state_hash")};
}

void add_processes(
    report& out, const std::vector<process_sample>& samples,
    const samples_by_process& last)
{
    std::map<endpoint, bool> answered;
    for (const auto& sample : samples)
        answered[sample.address] = sample.answered();
    for (const auto& [address, sample] : last)
        out.processes.push_back(view_of(*sample, answered[address]));
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::string> hashes;
    for (const auto& view : out.processes)
    {
        if (view.role != process_role::control || view.state_hash.empty())
            continue;
        const auto& hash =
            hashes
                .try_emplace(
                    {view.system_end, view.operators_end}, view.state_hash)
                .first->second;
        out.diverged = out.diverged || hash != view.state_hash;
    }
}

void add_refusals(report& out, const samples_by_process& last)
{
    std::map<std::string, double> counts{{"not-run", 0}, {"unknown", 0}};
    for (const auto& [address, sample] : last)
        for (const auto& metric : sample->metrics)
            if (metric.name == "tack_refusals_total")
                counts[metric.label("outcome")] += metric.value;
    for (const auto& [outcome, count] : counts)
        out.refusals.push_back({outcome, count});
}

void add_rollout(report& out, const samples_by_process& last)
{
    for (const auto& [address, sample] : last)
    {
        out.records_rejected = std::max(
            out.records_rejected,
            metric_sum(*sample, "tack_records_rejected_total"));
        out.rollout.changes = std::max(
            out.rollout.changes,
            metric_sum(*sample, "tack_rollout_seconds_count"));
        for (const auto& metric : sample->metrics)
        {
            if (metric.name != "tack_rollout_seconds")
                continue;
            if (metric.label("quantile") == "0.5")
                out.rollout.median = std::max(out.rollout.median, metric.value);
            out.rollout.most = std::max(out.rollout.most, metric.value);
        }
    }
}

void add_waves(report& out, const json::object* status)
{
    if (!status)
        return;
    for (const auto& item : objects_at(*status, "waves"))
    {
        const auto* paused = item.if_contains("paused");
        out.waves.push_back(
            {text_at(item, "name"),
             paused && paused->is_bool() && paused->as_bool()});
    }
}

} // namespace

report
make_report(std::vector<process_sample> samples, const report_settings& by)
{
    report out;
    out.settings = by;
    if (samples.empty())
        return out;
    std::ranges::stable_sort(samples, {}, &process_sample::time);
    out.from = samples.front().time;
    out.until = samples.back().time;
    const auto steps = request_steps(samples);
    const auto last = last_samples(samples);
    const auto* status = newest_status(last);
    add_services(out, steps, status);
    add_pools(out, steps, status);
    add_processes(out, samples, last);
    add_refusals(out, last);
    add_rollout(out, last);
    add_waves(out, status);
    return out;
}

} // namespace dandeliontack
