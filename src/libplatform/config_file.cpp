#include <dandeliontack/config_file.hpp>
#include <dandeliontack/fields.hpp>
#include <dandeliontack/record_codec.hpp>

#include <array>
#include <iterator>
#include <sstream>

namespace dandeliontack
{

namespace
{

// A pool as its section has it.
struct pool_section
{
    std::vector<std::string> hosts;
    std::uint64_t budget_hosts = 0;
    milliseconds staleness_bound = std::chrono::seconds(10);
    std::string when_stale = "serve";
};

struct service_section
{
    std::string pool;
    milliseconds deadline = std::chrono::seconds(5);
};

const std::array pool_fields{
    field<pool_section>{
        .key = "hosts", .member = &pool_section::hosts, .required = true},
    field<pool_section>{
        .key = "budget_hosts", .member = &pool_section::budget_hosts},
    field<pool_section>{
        .key = "staleness_bound",
        .member = &pool_section::staleness_bound,
        .least = 1},
    field<pool_section>{
        .key = "when_stale",
        .member = &pool_section::when_stale,
        .choices = {"serve", "refuse"}}};

const std::array service_fields{
    field<service_section>{
        .key = "pool", .member = &service_section::pool, .required = true},
    field<service_section>{
        .key = "deadline",
        .member = &service_section::deadline,
        .least = 1,
        .most = 3'600'000}};

std::vector<std::string> words_of(const std::string& text)
{
    std::istringstream in(text);
    return {std::istream_iterator<std::string>(in), {}};
}

void place(
    findings more, const std::string& file, unsigned line, findings& found)
{
    for (auto& item : more)
    {
        item.file = file;
        item.line = line;
        found.push_back(std::move(item));
    }
}

config_event read_pool(
    const std::string& file, const ini_section& section,
    const std::vector<std::string>& words, findings& found)
{
    pool_section values;
    const auto before = found.size();
    read_fields<pool_section>(file, section, pool_fields, values, found);
    pool_config config{
        words.at(1), values.hosts, values.budget_hosts, values.staleness_bound,
        values.when_stale == "refuse" ? stale_policy::refuse
                                      : stale_policy::serve};
    if (found.size() == before)
        place(check_pool(config), file, section.line, found);
    return pool_published{{}, 0, std::move(config)};
}

config_event read_service(
    const std::string& file, const ini_section& section,
    const std::vector<std::string>& words, findings& found)
{
    service_section values;
    const auto before = found.size();
    read_fields<service_section>(file, section, service_fields, values, found);
    std::uint64_t version = 1;
    if (words.size() == 3)
    {
        const auto wrong = parse_value(words[2], value_bounds{}, version);
        if (!wrong.empty())
            found.push_back(
                {file, section.line, section.name, "schema version " + wrong});
    }
    service_config config{{words.at(1), version}, values.pool, values.deadline};
    if (found.size() == before)
        place(check_service(config), file, section.line, found);
    return service_published{{}, 0, std::move(config)};
}

} // namespace

checked<std::vector<config_event>>
parse_config_file(const ini_document& document)
{
    findings found;
    std::vector<config_event> events;
    for (const auto& section : document.sections)
    {
        const auto words = words_of(section.name);
        if (words.size() == 2 && words[0] == "pool")
            events.push_back(read_pool(document.file, section, words, found));
        else if (
            (words.size() == 2 || words.size() == 3) && words[0] == "service")
            events.push_back(
                read_service(document.file, section, words, found));
        else
            found.push_back(
                {document.file, section.line, section.name,
                 "must be [pool NAME] or [service NAME [VERSION]]"});
    }
    if (events.empty() && found.empty())
        found.push_back({document.file, 0, "", "has no section"});
    if (!found.empty())
        return found;
    return events;
}

} // namespace dandeliontack
