#pragma once

#include <dandeliontack/endpoint.hpp>
#include <dandeliontack/fields.hpp>
#include <dandeliontack/finding.hpp>
#include <dandeliontack/ini.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>
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

/// Section `[api]`: who may read the pages beside health.
struct api_settings
{
    /// `NAME:SECRET:TEAM` each; see api_access.hpp.
    std::vector<std::string> tokens;
    /// Whether everyone may, without a token.
    bool open = false;
};

/// Section `[logging]`.
struct logging_settings
{
    std::string level = "info";
};

/// Section `[limits]`: what the machine gives the process.
struct machine_limits
{
    std::uint64_t descriptors = 4096;
    std::uint64_t memory_mb = 256;
    /// The share of the memory that requests and their responses may hold on
    /// all connections of one address together; the same again for responses
    /// that the process reads.
    double buffer_share = 0.125;
};

/// The bytes that `machine_limits::buffer_share` allows.
std::uint64_t buffered_bytes_of(const machine_limits& limits);

/// The connections that clients may hold on all addresses of a process
/// together. The rest of its descriptors is for calls that it makes itself.
std::size_t client_connections_of(const machine_limits& limits);

/// The tables of the sections that all programs share.
std::span<const field<node_settings>> node_fields();
std::span<const field<admin_settings>> admin_fields();
std::span<const field<api_settings>> api_fields();
std::span<const field<logging_settings>> logging_fields();
std::span<const field<machine_limits>> machine_limits_fields();

/// The fields of a base class as those of `Derived`. None may be a choice.
template <class Derived, class Base>
std::vector<field<Derived>> inherited_fields(std::span<const field<Base>> rows)
{
    std::vector<field<Derived>> out;
    for (const auto& row : rows)
        std::visit(
            [&](const auto& member) {
                if constexpr (std::is_member_pointer_v<
                                  std::remove_cvref_t<decltype(member)>>)
                    out.push_back(
                        {row.key, member, row.required, row.least, row.most,
                         row.choices});
            },
            row.member);
    return out;
}

/// Reads a section into a member of a program's settings by a table of
/// fields. Used through `read_member`.
template <auto Member, auto Fields>
struct member_reader
{
    template <class Settings>
    static void read(
        const std::string& file, const ini_section& section, Settings& out,
        findings& found)
    {
        auto& target = out.*Member;
        using target_type = std::remove_reference_t<decltype(target)>;
        read_fields<target_type>(file, section, Fields(), target, found);
    }
    static std::vector<std::string_view> keys()
    {
        std::vector<std::string_view> out;
        for (const auto& row : Fields())
            out.push_back(row.key);
        return out;
    }
};

/// Fills the member of the settings by the table that `Fields` returns.
template <auto Member, auto Fields>
inline constexpr member_reader<Member, Fields> read_member{};

/// One section that a program's settings may have, and how it is read.
template <class Settings>
struct section_reader
{
    template <auto Member, auto Fields>
    constexpr section_reader(
        std::string_view section, bool is_required,
        member_reader<Member, Fields> /*by*/)
        : name(section),
          required(is_required),
          read(member_reader<Member, Fields>::template read<Settings>),
          keys(member_reader<Member, Fields>::keys)
    {}

    std::string_view name;
    bool required;
    void (*read)(
        const std::string& file, const ini_section& section, Settings& out,
        findings& found);
    std::vector<std::string_view> (*keys)();
};

/// Every key that the readers know, as `section.key`.
template <class Settings>
std::vector<std::string>
setting_keys(std::span<const section_reader<Settings>> readers)
{
    std::vector<std::string> out;
    for (const auto& reader : readers)
        for (const auto key : reader.keys())
            out.push_back(std::string(reader.name) + "." + std::string(key));
    return out;
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
