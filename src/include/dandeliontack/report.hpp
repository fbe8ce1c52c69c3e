#pragma once

#include <dandeliontack/report_sample.hpp>

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandeliontack
{

/// What a report is made by.
struct report_settings
{
    /// The share of requests that must be answered, above 0 and below 1.
    double objective = 0.999;
    std::chrono::milliseconds short_window = std::chrono::minutes(5);
    std::chrono::milliseconds long_window = std::chrono::hours(1);
};

/// What became of requests that had a route.
struct request_counts
{
    /// Answered whole by an upstream, with a status below 500.
    double answered = 0;
    /// Answered whole by an upstream, with a status of 500 or above.
    double failed = 0;
    /// Refused, certainly not run.
    double not_run = 0;
    /// Refused, and it may have run.
    double unknown = 0;

    double bad() const
    {
        return failed + not_run + unknown;
    }
    double total() const
    {
        return answered + bad();
    }
    request_counts& operator+=(const request_counts& more);
};

/// A version of a service, and the pool that answers it.
struct service_label
{
    std::string service;
    std::string version;
    std::string pool;

    auto operator<=>(const service_label&) const = default;
};

/// How fast a budget of failures is being used. A burn rate of 1 uses just
/// the budget; 0 uses nothing.
struct burn
{
    /// All requests that the sampled processes counted since they started.
    request_counts counts;
    /// The share of the budget for those requests that is used; above 1 the
    /// objective is missed.
    double budget_used = 0;
    /// Nothing where no request was counted between two samples within the
    /// window.
    std::optional<double> short_rate;
    std::optional<double> long_rate;
};

/// The short burn rate as it stood at a time, for drawing.
struct burn_point
{
    std::chrono::sys_time<std::chrono::milliseconds> time;
    double rate = 0;
};

struct service_level
{
    service_label label;
    burn level;
    /// Whether a newer schema version of the service is in use or in force.
    bool old_version = false;
};

struct pool_level
{
    std::string pool;
    burn level;
    std::vector<burn_point> history;
    std::uint64_t hosts = 0;
    /// How many hosts the pool promises to keep in service.
    std::uint64_t promised_hosts = 0;

    /// Hosts held beyond the promise: what the budget costs.
    std::uint64_t buffer_hosts() const
    {
        return hosts > promised_hosts ? hosts - promised_hosts : 0;
    }
};

/// The last that was seen of one process.
struct process_view
{
    endpoint address;
    process_role role = process_role::entry;
    std::string name;
    bool answered = false;
    std::uint64_t system_end = 0;
    std::uint64_t operators_end = 0;
    /// Empty for entry processes.
    std::string state_hash;
};

/// Refusals of one kind over all entry processes.
struct refusal_count
{
    std::string outcome;
    double count = 0;
};

/// Times from publishing to applying, over all control processes.
struct rollout_times
{
    double changes = 0;
    /// The largest of the processes' own estimates, in seconds.
    double median = 0;
    double most = 0;
};

struct wave_view
{
    std::string name;
    bool paused = false;
};

struct report
{
    report_settings settings;
    std::chrono::sys_time<std::chrono::milliseconds> from;
    std::chrono::sys_time<std::chrono::milliseconds> until;
    std::vector<service_level> services;
    std::vector<pool_level> pools;
    std::vector<process_view> processes;
    std::vector<refusal_count> refusals;
    std::vector<wave_view> waves;
    rollout_times rollout;
    double records_rejected = 0;
    /// Whether two control processes at the same offset have different
    /// hashes.
    bool diverged = false;
};

/// Works a report out of samples of any number of processes, in any order. A
/// counter that fell belongs to a process that was started again.
report
make_report(std::vector<process_sample> samples, const report_settings& by);

/// Each renders a report whole. The HTML page needs nothing from elsewhere.
std::string to_text(const report& r);
boost::json::object to_json(const report& r);
std::string to_html(const report& r);

} // namespace dandeliontack
