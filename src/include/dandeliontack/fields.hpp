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

/// A member of an enumeration type whose values are written as words.
template <class Aggregate>
struct choice_pointer
{
    /// The words of the values 0, 1 and so on.
    std::vector<std::string_view> words;
    /// Sets the member to a value by its number.
    void (*set)(Aggregate& out, std::size_t number);
};

/// A pointer to a member of one of the types that a setting can have.
template <class Aggregate>
using member_pointer = std::variant<
    choice_pointer<Aggregate>, std::string Aggregate::*,
    std::uint64_t Aggregate::*, double Aggregate::*, bool Aggregate::*,
    milliseconds Aggregate::*, endpoint Aggregate::*,
    std::optional<endpoint> Aggregate::*,
    std::vector<std::string> Aggregate::*>;

/// Makes a `choice_pointer` for a member whose type is an enumeration.
template <auto Member>
auto choice_member(std::vector<std::string_view> words)
{
    return []<class Aggregate, class Enum>(
               Enum Aggregate::*, std::vector<std::string_view> known) {
        return choice_pointer<Aggregate>{
            std::move(known), [](Aggregate& out, std::size_t number) {
                out.*Member = static_cast<Enum>(number);
            }};
    }(Member, std::move(words));
}

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

template <class Aggregate>
std::string read_member_value(
    const std::string& text, const value_bounds& bounds,
    const choice_pointer<Aggregate>& choice, Aggregate& out)
{
    std::string word;
    const value_bounds words{bounds.least, bounds.most, choice.words};
    auto message = parse_value(text, words, word);
    if (message.empty())
        choice.set(
            out,
            static_cast<std::size_t>(std::distance(
                choice.words.begin(), std::ranges::find(choice.words, word))));
    return message;
}

template <class Aggregate, class Member>
std::string read_member_value(
    const std::string& text, const value_bounds& bounds,
    Member Aggregate::* member, Aggregate& out)
{
    return parse_value(text, bounds, out.*member);
}

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
            [&](const auto& member) {
                return read_member_value(entry.value, bounds, member, out);
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
