#pragma once

#include <dandeliontack/endpoint.hpp>
#include <dandeliontack/finding.hpp>
#include <dandeliontack/ini.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dandeliontack
{

using std::chrono::milliseconds;

/// A pointer to a member of one of the types that a setting can have.
template <class Aggregate>
using member_pointer = std::variant<
    std::string Aggregate::*, std::uint64_t Aggregate::*, double Aggregate::*,
    bool Aggregate::*, milliseconds Aggregate::*, endpoint Aggregate::*,
    std::optional<endpoint> Aggregate::*,
    std::vector<std::string> Aggregate::*>;

/// One key of a section: where its value goes and what it may be.
template <class Aggregate>
struct field
{
    std::string_view key;
    member_pointer<Aggregate> member;
    /// Whether a section without the key is a finding.
    bool required = false;
    /// Inclusive bounds for numbers; for durations in milliseconds.
    double least = 0;
    double most = std::numeric_limits<double>::max();
    /// The values that a text may have; empty where any will do.
    std::vector<std::string_view> choices = {};
};

/// What `parse_value` checks besides the type.
struct value_bounds
{
    double least = 0;
    double most = std::numeric_limits<double>::max();
    std::span<const std::string_view> choices;
};

/// Each parses `text` into `out` and returns what is wrong with it, or an
/// empty text. Durations carry a unit: `250ms`, `4s`, `3m`, `2h` or `1d`. Lists
/// are separated by commas.
std::string
parse_value(std::string_view text, const value_bounds& b, std::string& out);
std::string
parse_value(std::string_view text, const value_bounds& b, std::uint64_t& out);
std::string
parse_value(std::string_view text, const value_bounds& b, double& out);
std::string
parse_value(std::string_view text, const value_bounds& b, bool& out);
std::string
parse_value(std::string_view text, const value_bounds& b, milliseconds& out);
std::string
parse_value(std::string_view text, const value_bounds& b, endpoint& out);
std::string parse_value(
    std::string_view text, const value_bounds& b, std::optional<endpoint>& out);
std::string parse_value(
    std::string_view text, const value_bounds& b,
    std::vector<std::string>& out);

/// Renders a duration in the form that `parse_value` reads.
std::string to_string(milliseconds value);

/// Fills `out` from a section by its table of fields and adds whatever is
/// wrong (unknown key, wrong type, out of range, missing key) to `found`.
template <class Aggregate>
void read_fields(
    const std::string& file, const ini_section& section,
    std::span<const field<Aggregate>> table, Aggregate& out, findings& found)
{
    const auto place = [&](unsigned line, std::string_view key) {
        return finding{file, line, section.name + "." + std::string(key), {}};
    };
    for (const auto& entry : section.entries)
    {
        const auto known = std::ranges::find(
            table, std::string_view(entry.key), &field<Aggregate>::key);
        auto item = place(entry.line, entry.key);
        if (known == table.end())
        {
            item.message = "unknown key";
            found.push_back(item);
            continue;
        }
        const value_bounds bounds{known->least, known->most, known->choices};
        item.message = std::visit(
            [&](auto member) {
                return parse_value(entry.value, bounds, out.*member);
            },
            known->member);
        if (!item.message.empty())
            found.push_back(item);
    }
    for (const auto& known : table)
    {
        if (known.required &&
            std::ranges::find(section.entries, known.key, &ini_entry::key) ==
                section.entries.end())
        {
            auto item = place(section.line, known.key);
            item.message = "missing key";
            found.push_back(item);
        }
    }
}

} // namespace dandeliontack
