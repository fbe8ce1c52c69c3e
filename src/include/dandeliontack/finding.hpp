#pragma once

#include <string>
#include <variant>
#include <vector>

namespace dandeliontack
{

/// One thing that is wrong with an input, and where it stands.
struct finding
{
    /// The file's name, or the name of the stream for a record.
    std::string file;
    /// The line, counted from 1; 0 where the whole file is meant.
    unsigned line = 0;
    /// The key as `section.key`, or just the section; may be empty.
    std::string key;
    /// What is wrong, as a short sentence without a final full stop.
    std::string message;

    bool operator==(const finding&) const = default;
};

using findings = std::vector<finding>;

/// Either a fully checked value or everything found wrong with its input.
template <class T>
using checked = std::variant<T, findings>;

/// Renders a finding as `file:line: key: message`.
std::string to_string(const finding& item);

/// Renders all findings, one a line, each line ended.
std::string to_string(const findings& items);

} // namespace dandeliontack
