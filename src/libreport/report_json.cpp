#include <dandeliontack/report.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <iterator>

namespace dandeliontack
{

namespace json = boost::json;

namespace
{

json::value to_value(const std::optional<double>& rate)
{
    return rate ? json::value(*rate) : json::value(nullptr);
}

json::object to_object(const burn& level)
{
    return {
        {"answered", level.counts.answered},
        {"failed", level.counts.failed},
        {"not_run", level.counts.not_run},
        {"unknown", level.counts.unknown},
        {"budget_used", level.budget_used},
        {"burn_rate_short", to_value(level.short_rate)},
        {"burn_rate_long", to_value(level.long_rate)}};
}

json::object to_object(const service_level& item)
{
    return {
        {"service", item.label.service},
        {"schema_version", item.label.version},
        {"pool", item.label.pool},
        {"old_version", item.old_version},
        {"level", to_object(item.level)}};
}

json::object to_object(const pool_level& item)
{
    return {
        {"pool", item.pool},
        {"hosts", item.hosts},
        {"promised_hosts", item.promised_hosts},
        {"buffer_hosts", item.buffer_hosts()},
        {"level", to_object(item.level)}};
}

json::object to_object(const process_view& item)
{
    return {
        {"address", to_string(item.address)},
        {"role", item.role == process_role::entry ? "entry" : "control"},
        {"name", item.name},
        {"answered", item.answered},
        {"system_end", item.system_end},
        {"operators_end", item.operators_end},
        {"state_hash", item.state_hash}};
}

json::object to_object(const refusal_count& item)
{
    return {{"outcome", item.outcome}, {"count", item.count}};
}

json::object to_object(const wave_view& item)
{
    return {{"name", item.name}, {"paused", item.paused}};
}

template <class Item>
json::array to_array(const std::vector<Item>& items)
{
    json::array out;
    std::ranges::transform(
        items, std::back_inserter(out),
        [](const Item& item) { return to_object(item); });
    return out;
}

std::int64_t
milliseconds_of(std::chrono::sys_time<std::chrono::milliseconds> time)
{
    return time.time_since_epoch().count();
}

} // namespace

json::object to_json(const report& r)
{
    return {
        {"from_ms", milliseconds_of(r.from)},
        {"until_ms", milliseconds_of(r.until)},
        {"objective", r.settings.objective},
        {"short_window_ms", r.settings.short_window.count()},
        {"long_window_ms", r.settings.long_window.count()},
        {"services", to_array(r.services)},
        {"pools", to_array(r.pools)},
        {"processes", to_array(r.processes)},
        {"refusals", to_array(r.refusals)},
        {"waves", to_array(r.waves)},
        {"changes_applied", r.rollout.changes},
        {"rollout_seconds_median", r.rollout.median},
        {"rollout_seconds_0_99", r.rollout.most},
        {"records_rejected", r.records_rejected},
        {"diverged", r.diverged}};
}

} // namespace dandeliontack
