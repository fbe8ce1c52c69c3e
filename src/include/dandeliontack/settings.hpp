#pragma once

#include <dandeliontack/endpoint.hpp>
#include <dandeliontack/fields.hpp>
#include <dandeliontack/finding.hpp>
#include <dandeliontack/ini.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dandeliontack
{

/// Who a process is, as sections `[node]` of all programs have it.
struct node_settings
{
    std::string name;
    std::string data_centre;
};

/// Section `[admin]`: where health, metrics and the administration API are.
struct admin_settings
{
    endpoint listen;
};

/// Section `[logging]`.
struct logging_settings
{
    std::string level = "info";
};

/// The tables of the sections that all programs share.
std::span<const field<node_settings>> node_fields();
std::span<const field<admin_settings>> admin_fields();
std::span<const field<logging_settings>> logging_fields();

/// One section that a program's settings may have, and how it is read.
template <class Settings>
struct section_reader
{
    std::string_view name;
    bool required = false;
    void (*read)(
        const std::string& file, const ini_section& section, Settings& out,
        findings& found);
};

/// A `section_reader::read` that fills the member of the settings by the
/// table that `Fields` returns.
template <auto Member, auto Fields, class Settings>
void read_member(
    const std::string& file, const ini_section& section, Settings& out,
    findings& found)
{
    auto& target = out.*Member;
    using target_type = std::remove_reference_t<decltype(target)>;
    read_fields<target_type>(file, section, Fields(), target, found);
}

/// Reads all sections by their readers; unknown and missing sections are
/// findings like those within a section.
template <class Settings>
Settings read_sections(
    const ini_document& document,
    std::span<const section_reader<Settings>> readers, findings& found)
{
    Settings out;
    for (const auto& section : document.sections)
    {
        const auto reader = std::ranges::find(
            readers, std::string_view(section.name),
            &section_reader<Settings>::name);
        if (reader == readers.end())
            found.push_back(
                {document.file, section.line, section.name, "unknown section"});
        else
            reader->read(document.file, section, out, found);
    }
    for (const auto& reader : readers)
        if (reader.required && !document.find(reader.name))
            found.push_back(
                {document.file, 0, std::string(reader.name),
                 "missing section"});
    return out;
}

/// An address that a program binds, and the key that it comes from.
struct bound_address
{
    std::string section;
    std::string key;
    endpoint where;
};

/// Adds a finding for every pair of addresses that can't both be bound.
/// Addresses with port 0 never clash.
void check_clashes(
    const ini_document& document, const std::vector<bound_address>& addresses,
    findings& found);

} // namespace dandeliontack
