#include <dandeliontack/ini.hpp>

#include <boost/algorithm/string/trim.hpp>
#include <boost/property_tree/ini_parser.hpp>

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <utility>

namespace dandeliontack
{

namespace
{

using line_index = std::map<std::pair<std::string, std::string>, unsigned>;

std::string trimmed(std::string_view text)
{
    return boost::algorithm::trim_copy(std::string(text));
}

// Finds the line of each section and key, which the library's parser does not
// tell, and reports every line that it would stop at.
class line_scanner
{
public:
    explicit line_scanner(std::string file) : file_(std::move(file)) {}

    void scan(std::string_view text)
    {
        std::istringstream in{std::string(text)};
        std::string line;
        while (std::getline(in, line))
        {
            ++number_;
            scan_line(trimmed(line));
        }
    }

    unsigned line_of(const std::string& section, const std::string& key) const
    {
        const auto found = lines_.find({section, key});
        return found == lines_.end() ? 0 : found->second;
    }

    const findings& found() const
    {
        return found_;
    }

    // In the order of the file.
    const std::vector<std::string>& sections() const
    {
        return sections_;
    }

private:
    void scan_line(const std::string& line)
    {
        if (line.empty() || line.front() == ';' || line.front() == '#')
            return;
        if (line.front() == '[')
            return scan_section(line);
        const auto equals = line.find('=');
        const auto key = trimmed(line.substr(0, equals));
        if (equals == std::string::npos || key.empty())
            return report(section_, "not a section, a key or a comment");
        if (section_.empty())
            return report(key, "key outside any section");
        if (!lines_.try_emplace({section_, key}, number_).second)
            report(section_ + "." + key, "key given twice");
    }

    void scan_section(const std::string& line)
    {
        const auto close = line.find(']');
        section_ = trimmed(line.substr(1, close - 1));
        if (close != line.size() - 1 || section_.empty())
            return report(section_, "section header is not of the form [name]");
        if (!lines_.try_emplace({section_, ""}, number_).second)
            report(section_, "section given twice");
        else
            sections_.push_back(section_);
    }

    void report(std::string key, std::string message)
    {
        found_.push_back({file_, number_, std::move(key), std::move(message)});
    }

    std::string file_;
    std::string section_;
    unsigned number_ = 0;
    line_index lines_;
    std::vector<std::string> sections_;
    findings found_;
};

// The library's parser takes only `;` for comments.
std::string without_hash_comments(std::string_view text)
{
    std::istringstream in{std::string(text)};
    std::string line;
    std::string out;
    while (std::getline(in, line))
        out += trimmed(line).starts_with('#') ? "\n" : line + "\n";
    return out;
}

// The library's parser leaves out sections without entries.
ini_section make_section(
    const std::string& name, const boost::property_tree::ptree& document,
    const line_scanner& lines)
{
    ini_section section{name, lines.line_of(name, ""), {}};
    const auto tree = document.find(name);
    if (tree == document.not_found())
        return section;
    std::ranges::transform(
        tree->second, std::back_inserter(section.entries),
        [&](const auto& child) {
            return ini_entry{
                child.first, trimmed(child.second.data()),
                lines.line_of(name, child.first)};
        });
    return section;
}

} // namespace

const ini_section* ini_document::find(std::string_view name) const
{
    const auto found = std::ranges::find(sections, name, &ini_section::name);
    return found == sections.end() ? nullptr : &*found;
}

checked<ini_document> parse_ini(std::string file, std::string_view text)
{
    line_scanner lines(file);
    lines.scan(text);
    if (!lines.found().empty())
        return lines.found();

    boost::property_tree::ptree tree;
    try
    {
        std::istringstream in(without_hash_comments(text));
        boost::property_tree::read_ini(in, tree);
    }
    catch (const boost::property_tree::ini_parser_error& error)
    {
        return findings{
            {file, static_cast<unsigned>(error.line()), "", error.message()}};
    }
    ini_document document{std::move(file), {}};
    std::ranges::transform(
        lines.sections(), std::back_inserter(document.sections),
        [&](const std::string& name) {
            return make_section(name, tree, lines);
        });
    return document;
}

checked<ini_document> load_ini(const std::string& path)
{
    std::ifstream in(path);
    std::ostringstream text;
    if (!in || !(text << in.rdbuf()))
        return findings{{path, 0, "", "file can't be read or is empty"}};
    return parse_ini(path, text.str());
}

} // namespace dandeliontack
