#include <dandeliontack/settings.hpp>

#include <algorithm>
#include <array>

namespace dandeliontack
{

namespace
{

const std::array node_table{
    field<node_settings>{
        .key = "name", .member = &node_settings::name, .required = true},
    field<node_settings>{
        .key = "data_centre",
        .member = &node_settings::data_centre,
        .required = true}};

const std::array admin_table{field<admin_settings>{
    .key = "listen", .member = &admin_settings::listen, .required = true}};

const std::array api_table{
    field<api_settings>{.key = "tokens", .member = &api_settings::tokens},
    field<api_settings>{.key = "open", .member = &api_settings::open}};

const std::array logging_table{field<logging_settings>{
    .key = "level",
    .member = &logging_settings::level,
    .choices = {"debug", "info", "warn", "error"}}};

constexpr std::uint64_t bytes_per_mb = 1024 * 1024;

const std::array machine_limits_table{
    field<machine_limits>{
        .key = "descriptors",
        .member = &machine_limits::descriptors,
        .least = 64,
        .most = 10'000'000},
    field<machine_limits>{
        .key = "memory_mb",
        .member = &machine_limits::memory_mb,
        .least = 16,
        .most = 1'000'000},
    field<machine_limits>{
        .key = "buffer_share",
        .member = &machine_limits::buffer_share,
        .least = 0.01,
        .most = 0.25}};

unsigned line_of(const ini_document& document, const bound_address& bound)
{
    const auto* section = document.find(bound.section);
    if (!section)
        return 0;
    const auto entry =
        std::ranges::find(section->entries, bound.key, &ini_entry::key);
    return entry == section->entries.end() ? section->line : entry->line;
}

} // namespace

std::span<const field<node_settings>> node_fields()
{
    return node_table;
}

std::span<const field<admin_settings>> admin_fields()
{
    return admin_table;
}

std::span<const field<api_settings>> api_fields()
{
    return api_table;
}

std::span<const field<logging_settings>> logging_fields()
{
    return logging_table;
}

std::span<const field<machine_limits>> machine_limits_fields()
{
    return machine_limits_table;
}

std::uint64_t buffered_bytes_of(const machine_limits& limits)
{
    return static_cast<std::uint64_t>(
        static_cast<double>(limits.memory_mb * bytes_per_mb) *
        limits.buffer_share);
}

std::size_t client_connections_of(const machine_limits& limits)
{
    // For calls that the process makes, and for files, where that leaves more
    // than half of the descriptors.
    constexpr std::uint64_t own_descriptors = 1000;
    constexpr std::uint64_t bytes_per_connection = 12 * 1024;
    const auto by_descriptors = limits.descriptors > 2 * own_descriptors
                                    ? limits.descriptors - own_descriptors
                                    : limits.descriptors / 2;
    const auto by_memory =
        limits.memory_mb * bytes_per_mb / 4 / bytes_per_connection;
    return std::min(by_descriptors, by_memory);
}

void check_clashes(
    const ini_document& document, const std::vector<bound_address>& addresses,
    findings& found)
{
    for (auto later = addresses.begin(); later != addresses.end(); ++later)
    {
        const auto earlier = std::ranges::find(
            addresses.begin(), later, later->where, &bound_address::where);
        if (earlier == later || later->where.port == 0)
            continue;
        found.push_back(
            {document.file, line_of(document, *later),
             later->section + "." + later->key,
             "address clashes with " + earlier->section + "." + earlier->key});
    }
}

} // namespace dandeliontack
