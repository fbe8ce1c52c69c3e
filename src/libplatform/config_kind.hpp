#pragma once

#include <dandeliontack/config_events.hpp>
#include <dandeliontack/config_kinds.hpp>
#include <dandeliontack/fields.hpp>
#include <dandeliontack/finding.hpp>
#include <dandeliontack/ini.hpp>

#include <string>
#include <vector>

namespace dandeliontack
{

/// A section of a configuration file, `[KIND NAME ...]`.
struct config_section
{
    const std::string& file;
    const ini_section& section;
    /// The words of the section's name, the kind first.
    std::vector<std::string> words;
};

// Each reads a section of its kind; in the file config_KIND.cpp.
config_event read_pool(const config_section& from, findings& found);
config_event read_service(const config_section& from, findings& found);
config_event read_wave(const config_section& from, findings& found);
config_event read_team(const config_section& from, findings& found);
config_event read_job(const config_section& from, findings& found);

/// Adds a finding unless the name is 1 to 64 of a-z, 0-9, '-', '_' and '.'.
void check_name(
    const std::string& subject, const std::string& what,
    const std::string& name, findings& found);

/// Fills the members of a value by their table, then checks the value whole
/// unless a member was wrong already.
template <class Config>
config_event read_config(
    const config_section& from, std::span<const field<Config>> table,
    Config config, findings& found)
{
    const auto before = found.size();
    read_fields<Config>(from.file, from.section, table, config, found);
    if (found.size() == before)
    {
        for (auto& item : check(config))
        {
            item.file = from.file;
            item.line = from.section.line;
            found.push_back(std::move(item));
        }
    }
    return published<Config>{{}, 0, std::move(config)};
}

} // namespace dandeliontack
