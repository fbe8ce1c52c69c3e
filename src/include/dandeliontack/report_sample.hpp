#pragma once

#include <dandeliontack/endpoint.hpp>
#include <dandeliontack/finding.hpp>

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dandeliontack
{

/// One line of a metrics page in Prometheus text format.
struct metric_value
{
    std::string name;
    std::map<std::string, std::string> labels;
    double value = 0;

    /// A label's value, or an empty text.
    std::string label(const std::string& key) const;
};

/// Reads a metrics page. Comments and lines that can't be read are left out.
std::vector<metric_value> parse_metrics(std::string_view text);

/// What a process is asked for.
enum class process_role : std::uint8_t
{
    entry,
    control
};

/// What one process said at one moment. Pages that it did not answer are
/// empty.
struct process_sample
{
    std::chrono::sys_time<std::chrono::milliseconds> time;
    endpoint address;
    process_role role = process_role::entry;
    std::vector<metric_value> metrics;
    boost::json::object status;

    /// Whether the process answered.
    bool answered() const
    {
        return !status.empty();
    }
};

/// Renders a sample as one line of a samples file, with its line end.
std::string to_line(
    std::chrono::sys_time<std::chrono::milliseconds> time,
    const endpoint& address, process_role role, std::string_view metrics,
    const boost::json::object& status);

/// Reads a samples file, one sample a line. Lines that are not samples are
/// findings. `file` only names their place.
checked<std::vector<process_sample>>
parse_samples(const std::string& file, std::string_view text);

} // namespace dandeliontack
