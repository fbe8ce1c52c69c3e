#include "config_kind.hpp"
#include <dandeliontack/config_file.hpp>

#include <algorithm>
#include <array>
#include <iterator>
#include <sstream>

namespace dandeliontack
{

namespace
{

// A kind of section and how many words its name may have.
struct section_kind
{
    std::string_view word;
    std::size_t most_words;
    config_event (*read)(const config_section& from, findings& found);
};

constexpr std::array kinds{
    section_kind{"pool", 2, read_pool},
    section_kind{"service", 3, read_service},
    section_kind{"wave", 2, read_wave}, section_kind{"team", 2, read_team},
    section_kind{"job", 2, read_job}};

std::vector<std::string> words_of(const std::string& text)
{
    std::istringstream in(text);
    return {std::istream_iterator<std::string>(in), {}};
}

const section_kind* kind_of(const std::vector<std::string>& words)
{
    const auto* kind = std::ranges::find_if(kinds, [&](const auto& known) {
        return words.size() >= 2 && words.size() <= known.most_words &&
               words.front() == known.word;
    });
    return kind == kinds.end() ? nullptr : kind;
}

} // namespace

checked<std::vector<config_event>>
parse_config_file(const ini_document& document)
{
    findings found;
    std::vector<config_event> events;
    for (const auto& section : document.sections)
    {
        auto words = words_of(section.name);
        const auto* kind = kind_of(words);
        if (kind)
            events.push_back(
                kind->read({document.file, section, std::move(words)}, found));
        else
            found.push_back(
                {document.file, section.line, section.name,
                 "must be [pool NAME], [service NAME [VERSION]], [wave NAME], "
                 "[team NAME] or [job NAME]"});
    }
    if (events.empty() && found.empty())
        found.push_back({document.file, 0, "", "has no section"});
    if (!found.empty())
        return found;
    return events;
}

} // namespace dandeliontack
