#include <dandeliontack/report_sample.hpp>

#include <boost/json.hpp>

#include <charconv>
#include <sstream>

namespace dandeliontack
{

namespace json = boost::json;

namespace
{

std::optional<double> parse_number(std::string_view text)
{
    double value = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return value;
}

// Reads `key="value",...`; values with escapes are not written by this system.
std::map<std::string, std::string> parse_labels(std::string_view text)
{
    std::map<std::string, std::string> labels;
    while (!text.empty())
    {
        const auto equals = text.find("=\"");
        if (equals == std::string_view::npos)
            break;
        const auto end = text.find('"', equals + 2);
        if (end == std::string_view::npos)
            break;
        labels.emplace(
            text.substr(0, equals), text.substr(equals + 2, end - equals - 2));
        text.remove_prefix(std::min(text.size(), end + 2));
    }
    return labels;
}

std::optional<metric_value> parse_metric(std::string_view line)
{
    const auto space = line.rfind(' ');
    if (line.empty() || line.front() == '#' || space == std::string_view::npos)
        return std::nullopt;
    const auto value = parse_number(line.substr(space + 1));
    if (!value)
        return std::nullopt;
    const auto name = line.substr(0, space);
    const auto brace = name.find('{');
    if (brace == std::string_view::npos)
        return metric_value{std::string(name), {}, *value};
    if (name.back() != '}')
        return std::nullopt;
    return metric_value{
        std::string(name.substr(0, brace)),
        parse_labels(name.substr(brace + 1, name.size() - brace - 2)), *value};
}

std::string_view role_name(process_role role)
{
    return role == process_role::entry ? "entry" : "control";
}

std::optional<process_sample> parse_sample(const std::string& line)
{
    boost::system::error_code ec;
    const auto parsed = json::parse(line, ec);
    if (ec || !parsed.is_object())
        return std::nullopt;
    const auto& object = parsed.as_object();
    const auto* time = object.if_contains("time_ms");
    const auto* address = object.if_contains("address");
    const auto* role = object.if_contains("role");
    const auto* metrics = object.if_contains("metrics");
    const auto* status = object.if_contains("status");
    if (!time || !time->is_int64() || !address || !address->is_string() ||
        !role || !role->is_string() || !metrics || !metrics->is_string() ||
        !status || !status->is_object())
        return std::nullopt;
    const auto where = parse_endpoint(std::string(address->as_string()));
    if (!where)
        return std::nullopt;
    process_sample sample;
    sample.time = std::chrono::sys_time<std::chrono::milliseconds>(
        std::chrono::milliseconds(time->as_int64()));
    sample.address = *where;
    sample.role = role->as_string() == "control" ? process_role::control
                                                 : process_role::entry;
    sample.metrics = parse_metrics(std::string(metrics->as_string()));
    sample.status = status->as_object();
    return sample;
}

} // namespace

std::string metric_value::label(const std::string& key) const
{
    const auto found = labels.find(key);
    return found == labels.end() ? std::string() : found->second;
}

std::vector<metric_value> parse_metrics(std::string_view text)
{
    std::vector<metric_value> values;
    std::istringstream lines{std::string(text)};
    for (std::string line; std::getline(lines, line);)
        if (auto value = parse_metric(line))
            values.push_back(std::move(*value));
    return values;
}

std::string to_line(
    std::chrono::sys_time<std::chrono::milliseconds> time,
    const endpoint& address, process_role role, std::string_view metrics,
    const json::object& status)
{
    const json::object line{
        {"time_ms", time.time_since_epoch().count()},
        {"address", to_string(address)},
        {"role", role_name(role)},
        {"metrics", metrics},
        {"status", status}};
    return json::serialize(line) + "\n";
}

checked<std::vector<process_sample>>
parse_samples(const std::string& file, std::string_view text)
{
    findings found;
    std::vector<process_sample> samples;
    std::istringstream lines{std::string(text)};
    unsigned number = 0;
    for (std::string line; std::getline(lines, line);)
    {
        ++number;
        if (auto sample = parse_sample(line))
            samples.push_back(std::move(*sample));
        else
            found.push_back({file, number, "", "is not a sample"});
    }
    if (samples.empty() && found.empty())
        found.push_back({file, 0, "", "has no sample"});
    if (!found.empty())
        return found;
    return samples;
}

} // namespace dandeliontack
