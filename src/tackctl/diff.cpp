#include "commands.hpp"
#include <dandeliontack/config_json.hpp>
#include <dandeliontack/program.hpp>

#include <boost/json.hpp>

#include <iostream>

namespace dandeliontack::tackctl
{

namespace json = boost::json;

namespace
{

// The members of a file's value that differ from the value in force, each as
// {"member": {"in_force": ..., "file": ...}}.
json::object
changed_members(const json::object& in_force, const json::object& in_file)
{
    json::object out;
    for (const auto& member : in_file)
    {
        const auto* known = in_force.if_contains(member.key());
        const auto before = known ? *known : json::value(nullptr);
        if (before != member.value())
            out[member.key()] =
                json::object{{"in_force", before}, {"file", member.value()}};
    }
    return out;
}

json::object compare(const config_event& e, const json::object& values)
{
    const auto subject = subject_of(e);
    const auto in_file = json::parse(to_json_text(e)).as_object();
    const auto* known = values.if_contains(subject);
    json::object line{{"subject", subject}};
    line["revision"] = known ? known->at("revision") : json::value(0);
    line["changes"] = changed_members(
        known ? known->at("value").as_object() : json::object(), in_file);
    return line;
}

void print(const json::object& line)
{
    const auto& changes = line.at("changes").as_object();
    std::cout << std::string(line.at("subject").as_string()) << ": ";
    if (line.at("revision") == json::value(0))
        std::cout << "new\n";
    else
        std::cout << "revision " << line.at("revision") << " in force"
                  << (changes.empty() ? ", the same\n" : "\n");
    for (const auto& change : changes)
        std::cout << "  " << std::string(change.key()) << ": "
                  << change.value().at("in_force") << " -> "
                  << change.value().at("file") << "\n";
}

} // namespace

int diff(const options& chosen, const std::vector<std::string>& arguments)
{
    const auto events = load_configuration(arguments.front());
    if (!events)
        return exit_bad_input;
    const auto answer = fetch(chosen, "/v1/values");
    if (!answer)
        return exit_unreachable;
    const auto& values = answer->at("values").as_object();
    bool differs = false;
    for (const auto& e : *events)
    {
        const auto line = compare(e, values);
        differs = differs || !line.at("changes").as_object().empty();
        if (chosen.json)
            std::cout << line << "\n";
        else
            print(line);
    }
    return differs ? exit_differs : exit_ok;
}

} // namespace dandeliontack::tackctl
