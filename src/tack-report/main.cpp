#include "collect.hpp"
#include <dandeliontack/http_get.hpp>
#include <dandeliontack/program.hpp>
#include <dandeliontack/report.hpp>

#include <absl/flags/flag.h>
#include <boost/json.hpp>

#include <array>
#include <cmath>
#include <fstream>
#include <iostream>
#include <sstream>

ABSL_FLAG(
    std::vector<std::string>, entries, {},
    "Administration addresses of entry processes, by commas.");
ABSL_FLAG(
    std::vector<std::string>, controls, {},
    "Administration addresses of control processes, by commas.");
ABSL_FLAG(unsigned, samples, 2, "How often each process is asked.");
ABSL_FLAG(
    absl::Duration, interval, absl::Seconds(2),
    "How long to wait between two rounds of asking.");
ABSL_FLAG(
    absl::Duration, timeout, absl::Seconds(2), "How long to wait for a page.");
ABSL_FLAG(
    std::string, token_file, "",
    "A file whose first line is the token for the administration pages.");
ABSL_FLAG(
    std::string, samples_file, "",
    "Where samples are kept: read first if it exists, new ones are appended.");
ABSL_FLAG(std::string, format, "text", "text, json or html.");
ABSL_FLAG(
    double, objective, 0.999,
    "The share of requests that must be answered, above 0 and below 1.");
ABSL_FLAG(
    absl::Duration, short_window, absl::Minutes(5),
    "The window of the short burn rate.");
ABSL_FLAG(
    absl::Duration, long_window, absl::Hours(1),
    "The window of the long burn rate.");

namespace
{

using namespace dandeliontack;
using namespace dandeliontack::tack_report;

struct output_format
{
    std::string_view name;
    std::string (*render)(const report& r);
};

constexpr std::array formats{
    output_format{"text", to_text},
    output_format{
        "json",
        [](const report& r) {
            return boost::json::serialize(to_json(r)) + "\n";
        }},
    output_format{"html", to_html}};

constexpr std::string_view usage =
    "Reports service-level burn, refusals, versions, roll-out times and "
    "processes.\n\n"
    "  tack-report --entries=ADDRESS,... --controls=ADDRESS,...\n"
    "  tack-report --samples_file=FILE --samples=0 --format=html\n\n"
    "Exit codes: 0 done, 1 failed, 2 bad input (all findings are printed),\n"
    "3 no process answered.\n";

void read_addresses(
    const std::vector<std::string>& texts, const char* flag, process_role role,
    std::vector<report_source>& out, findings& found)
{
    for (const auto& text : texts)
    {
        const auto where = parse_endpoint(text);
        if (where)
            out.push_back({*where, role});
        else
            found.push_back({flag, 0, text, "must be an IP number and a port"});
    }
}

report_settings read_report_settings(findings& found)
{
    const report_settings by{
        absl::GetFlag(FLAGS_objective),
        absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_short_window)),
        absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_long_window))};
    if (std::isnan(by.objective) || by.objective <= 0 || by.objective >= 1)
        found.push_back({"--objective", 0, "", "must be above 0 and below 1"});
    if (by.short_window.count() <= 0 || by.long_window < by.short_window)
        found.push_back(
            {"--short_window", 0, "",
             "must be above 0 and at most the long window"});
    return by;
}

// What the samples file holds already; nothing where there is none.
std::vector<process_sample>
read_samples(const std::string& path, findings& found)
{
    std::ifstream file(path);
    if (path.empty() || !file)
        return {};
    std::ostringstream text;
    text << file.rdbuf();
    auto parsed = parse_samples(path, text.str());
    if (auto* wrong = std::get_if<findings>(&parsed))
    {
        found.insert(found.end(), wrong->begin(), wrong->end());
        return {};
    }
    return std::get<std::vector<process_sample>>(std::move(parsed));
}

collection read_collection(findings& found)
{
    collection out;
    read_addresses(
        absl::GetFlag(FLAGS_entries), "--entries", process_role::entry,
        out.sources, found);
    read_addresses(
        absl::GetFlag(FLAGS_controls), "--controls", process_role::control,
        out.sources, found);
    out.rounds = absl::GetFlag(FLAGS_samples);
    out.interval = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_interval));
    out.timeout = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_timeout));
    out.token = read_token_file(absl::GetFlag(FLAGS_token_file));
    out.samples_file = absl::GetFlag(FLAGS_samples_file);
    return out;
}

int run()
{
    findings found;
    const auto* format = std::ranges::find(
        formats, std::string_view(absl::GetFlag(FLAGS_format)),
        &output_format::name);
    if (format == formats.end())
        found.push_back({"--format", 0, "", "must be text, json or html"});
    const auto by = read_report_settings(found);
    const auto wanted = read_collection(found);
    auto samples = read_samples(wanted.samples_file, found);
    if (samples.empty() && wanted.sources.empty() && found.empty())
        found.push_back(
            {"--entries", 0, "", "name processes or a samples file"});
    if (!found.empty())
    {
        std::cerr << to_string(found);
        return exit_bad_input;
    }
    for (auto& sample : collect(wanted))
        samples.push_back(std::move(sample));
    if (std::ranges::none_of(samples, &process_sample::answered))
    {
        std::cerr << "no process answered\n";
        return exit_unreachable;
    }
    std::cout << format->render(make_report(std::move(samples), by));
    return exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    const auto words = parse_flags(argc, argv, usage);
    if (!words.empty())
    {
        std::cerr << usage;
        return exit_bad_input;
    }
    return run_guarded(run);
}
