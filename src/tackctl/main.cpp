#include "commands.hpp"
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
ABSL_FLAG(bool, json, false, "Prints JSON instead of text.");

namespace
{

using namespace dandeliontack;
using namespace dandeliontack::tackctl;

struct command
{
    std::string_view name;
    std::size_t arguments;
    int (*run)(const options&, const std::vector<std::string>&);
};

constexpr std::array commands{
    command{"check", 1, check}, command{"publish", 1, publish},
    command{"status", 0, status}};

constexpr std::string_view usage =
    "Checks and publishes configuration and shows what is in force.\n\n"
    "  tackctl check FILE     checks a configuration file without publishing\n"
    "  tackctl publish FILE   publishes it and waits for the outcome\n"
    "  tackctl status         shows what a control process has applied\n\n"
    "Exit codes: 0 done, 1 failed, 2 bad input (all findings are printed),\n"
    "3 log or control process unreachable, 4 rejected, 5 timed out with the\n"
    "outcome unknown.\n";

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
    return options{
        *log, *control, absl::GetFlag(FLAGS_publisher),
        absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_timeout)),
        absl::GetFlag(FLAGS_json)};
}

int run(const std::vector<std::string>& words)
{
    const auto* chosen =
        words.empty()
            ? commands.end()
            : std::ranges::find(
                  commands, std::string_view(words.front()), &command::name);
    if (chosen == commands.end() || words.size() != chosen->arguments + 1)
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
