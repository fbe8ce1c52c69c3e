#include <dandeliontack/fields.hpp>

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>

#include <array>
#include <charconv>
#include <cmath>

namespace dandeliontack
{

namespace
{

struct duration_unit
{
    std::string_view suffix;
    milliseconds length;
};

constexpr std::array duration_units{
    duration_unit{"ms", std::chrono::milliseconds(1)},
    duration_unit{"s", std::chrono::seconds(1)},
    duration_unit{"m", std::chrono::minutes(1)},
    duration_unit{"h", std::chrono::hours(1)},
    duration_unit{"d", std::chrono::days(1)}};

template <class Number>
bool parse_number(std::string_view text, Number& out)
{
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, out);
    return parsed.ec == std::errc{} && parsed.ptr == end;
}

std::string short_number(double value)
{
    std::ostringstream text;
    text << value;
    return text.str();
}

std::string check_range(double value, const value_bounds& bounds)
{
    if (value < bounds.least)
        return "out of range: must be at least " + short_number(bounds.least);
    if (value > bounds.most)
        return "out of range: must be at most " + short_number(bounds.most);
    return {};
}

} // namespace

std::string
parse_value(std::string_view text, const value_bounds& b, std::string& out)
{
    if (text.empty())
        return "value is empty";
    if (!b.choices.empty() &&
        std::ranges::find(b.choices, text) == b.choices.end())
    {
        std::string message = "must be one of";
        for (const auto choice : b.choices)
            message += " " + std::string(choice);
        return message;
    }
    out = text;
    return {};
}

std::string
parse_value(std::string_view text, const value_bounds& b, std::uint64_t& out)
{
    std::uint64_t value = 0;
    if (!parse_number(text, value))
        return "must be a whole number";
    out = value;
    return check_range(static_cast<double>(value), b);
}

std::string
parse_value(std::string_view text, const value_bounds& b, double& out)
{
    double value = 0;
    if (!parse_number(text, value) || !std::isfinite(value))
        return "must be a number";
    out = value;
    return check_range(value, b);
}

std::string parse_value(std::string_view text, const value_bounds&, bool& out)
{
    if (text != "yes" && text != "no")
        return "must be yes or no";
    out = text == "yes";
    return {};
}

std::string
parse_value(std::string_view text, const value_bounds& b, milliseconds& out)
{
    const auto digits =
        std::min(text.find_first_not_of("0123456789"), text.size());
    const auto unit = std::ranges::find(
        duration_units, text.substr(digits), &duration_unit::suffix);
    std::uint32_t count = 0;
    if (unit == duration_units.end() ||
        !parse_number(text.substr(0, digits), count))
        return "must be a duration with a unit, such as 250ms or 4s";
    out = count * unit->length;
    return check_range(static_cast<double>(out.count()), b);
}

std::string
parse_value(std::string_view text, const value_bounds&, endpoint& out)
{
    const auto parsed = parse_endpoint(text);
    if (!parsed)
        return "must be an IP number and a port, such as 127.0.0.1:8080";
    out = *parsed;
    return {};
}

std::string parse_value(
    std::string_view text, const value_bounds& b, std::optional<endpoint>& out)
{
    endpoint value;
    auto message = parse_value(text, b, value);
    if (message.empty())
        out = value;
    return message;
}

std::string parse_value(
    std::string_view text, const value_bounds&, std::vector<std::string>& out)
{
    std::vector<std::string> parts;
    const std::string copy(text);
    boost::algorithm::split(parts, copy, boost::algorithm::is_any_of(","));
    std::ranges::for_each(
        parts, [](std::string& part) { boost::algorithm::trim(part); });
    if (std::ranges::any_of(parts, &std::string::empty))
        return "list has an empty item";
    out = std::move(parts);
    return {};
}

std::string to_string(milliseconds value)
{
    if (value.count() % 1000 == 0)
        return std::to_string(value.count() / 1000) + "s";
    return std::to_string(value.count()) + "ms";
}

} // namespace dandeliontack
