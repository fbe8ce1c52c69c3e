#include <dandeliontack/losses.hpp>
#include <dandeliontack/program.hpp>

#include <absl/flags/flag.h>
#include <boost/json.hpp>

#include <fstream>
#include <iostream>

ABSL_FLAG(std::string, format, "text", "text or json.");

namespace
{

using namespace dandeliontack;

constexpr std::string_view usage =
    "Tells from the logs of nodes which submissions missed their latency\n"
    "objective, by pool, second and reason.\n\n"
    "  tack-losses [--format=json] FILE...\n"
    "  tack-losses < FILE\n\n"
    "Reasons: refused, unanswered, admission (from the first request until an\n"
    "owner took it), no_host (ready tasks had no host), restarts, long_runs,\n"
    "owner_or_store (the rest). Give the logs of all nodes.\n\n"
    "Exit codes: 0 done, 1 failed, 2 bad input, or no line could be read;\n"
    "unreadable lines are counted, and the first ones are named.\n";

void read_stream(std::istream& in, const std::string& name, loss_reader& reader)
{
    unsigned line = 0;
    for (std::string text; std::getline(in, text);)
        reader.add(name, ++line, text);
}

int run(const std::vector<std::string>& files)
{
    const auto format = absl::GetFlag(FLAGS_format);
    findings found;
    if (format != "text" && format != "json")
        found.push_back(
            {"--format", 0, "",
             "must be text or json, and not \"" + format + "\""});
    loss_reader reader;
    for (const auto& file : files)
    {
        std::ifstream in(file);
        if (in)
            read_stream(in, file, reader);
        else
            found.push_back({file, 0, "", "can't be opened"});
    }
    if (files.empty() && found.empty())
        read_stream(std::cin, "standard input", reader);
    const auto report = reader.report();
    if (found.empty() && report.lines == report.unreadable)
        found.push_back({"input", 0, "", "has no log line of a node"});
    std::cerr << to_string(report.unreadable_lines) << to_string(found);
    if (!found.empty())
        return exit_bad_input;
    std::cout
        << (format == "json" ? boost::json::serialize(to_json(report)) + "\n"
                             : to_text(report));
    return exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    const auto files = parse_flags(argc, argv, usage);
    return run_guarded([&] { return run(files); });
}
