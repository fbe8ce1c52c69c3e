#include "commands.hpp"
#include <dandeliontack/http_get.hpp>
#include <dandeliontack/program.hpp>

#include <absl/flags/flag.h>

#include <algorithm>
#include <array>
#include <iostream>

ABSL_FLAG(
    std::string, log, "127.0.0.1:7000",
    "Address of the platform's log service.");
ABSL_FLAG(
    std::string, control, "127.0.0.1:7100",
    "Address of a control process's administration API.");
ABSL_FLAG(
    std::string, publisher, "operator", "Who publishes; kept in the record.");
ABSL_FLAG(
    absl::Duration, timeout, absl::Seconds(10),
    "How long to wait for the log and for the outcome.");
ABSL_FLAG(
    std::string, token_file, "",
    "A file whose first line is the token for the administration API.");
ABSL_FLAG(
    std::int64_t, offset, -1,
    "For watch: the operator record to wait for; below 0 the last one that "
    "the control process has applied.");
ABSL_FLAG(bool, json, false, "Prints JSON instead of text.");

namespace
{

using namespace dandeliontack;
using namespace dandeliontack::tackctl;

struct command
{
    std::string_view name;
    std::size_t least_arguments;
    std::size_t most_arguments;
    int (*run)(const options&, const std::vector<std::string>&);
};

constexpr std::size_t most_watched = 1000;

constexpr std::array commands{
    command{"check", 1, 1, check}, command{"publish", 1, 1, publish},
    command{"diff", 1, 1, diff}, command{"watch", 1, most_watched, watch},
    command{"status", 0, 1, status}};

constexpr std::string_view usage =
    "Checks and publishes configuration and shows what is in force.\n\n"
    "  tackctl check FILE        checks a file without publishing it\n"
    "  tackctl diff FILE         compares a file with what is in force\n"
    "  tackctl publish FILE      publishes it and waits for the outcome\n"
    "  tackctl watch ADDRESS...  waits until a record is in force at all\n"
    "                            these control and entry processes\n"
    "  tackctl status [PART]     shows what a control process has applied;\n"
    "                            PART is pools, services, waves, teams, jobs,\n"
    "                            nodes or rejections\n\n"
    "Exit codes: 0 done, 1 failed, 2 bad input (all findings are printed),\n"
    "3 log or control process unreachable, 4 rejected, 5 timed out (publish:\n"
    "the outcome is unknown; watch: not in force everywhere), 6 differs.\n";

std::optional<options> read_options()
{
    const auto log = parse_endpoint(absl::GetFlag(FLAGS_log));
    const auto control = parse_endpoint(absl::GetFlag(FLAGS_control));
    if (!log)
        std::cerr << "--log: must be an IP number and a port\n";
    if (!control)
        std::cerr << "--control: must be an IP number and a port\n";
    if (!log || !control)
        return std::nullopt;
    const auto offset = absl::GetFlag(FLAGS_offset);
    return options{
        *log,
        *control,
        absl::GetFlag(FLAGS_publisher),
        absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_timeout)),
        absl::GetFlag(FLAGS_json),
        read_token_file(absl::GetFlag(FLAGS_token_file)),
        offset < 0 ? std::nullopt : std::optional<std::uint64_t>(offset)};
}

int run(const std::vector<std::string>& words)
{
    const auto* chosen =
        words.empty()
            ? commands.end()
            : std::ranges::find(
                  commands, std::string_view(words.front()), &command::name);
    if (chosen == commands.end() || words.size() <= chosen->least_arguments ||
        words.size() > chosen->most_arguments + 1)
    {
        std::cerr << usage;
        return exit_bad_input;
    }
    const auto chosen_options = read_options();
    if (!chosen_options)
        return exit_bad_input;
    return chosen->run(*chosen_options, {words.begin() + 1, words.end()});
}

} // namespace

int main(int argc, char** argv)
{
    const auto words = parse_flags(argc, argv, usage);
    return run_guarded([&] { return run(words); });
}
