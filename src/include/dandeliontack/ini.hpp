#pragma once

#include <dandeliontack/finding.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace dandeliontack
{

/// A `key = value` line of an INI file.
struct ini_entry
{
    std::string key;
    std::string value;
    unsigned line = 0;
};

/// A section with its entries in the order of the file.
struct ini_section
{
    std::string name;
    unsigned line = 0;
    std::vector<ini_entry> entries;
};

/// A whole INI file.
struct ini_document
{
    std::string file;
    std::vector<ini_section> sections;

    /// The section of that name, or null. The document owns it.
    const ini_section* find(std::string_view name) const;
};

/// Parses INI text. `file` is only used to name the place of findings.
/// Lines that are neither section, entry nor comment, repeated sections and
/// repeated keys are all reported together.
checked<ini_document> parse_ini(std::string file, std::string_view text);

/// Reads and parses a file; one that can't be read is a finding too.
checked<ini_document> load_ini(const std::string& path);

} // namespace dandeliontack
