#pragma once

#include <dandeliontack/config_events.hpp>
#include <dandeliontack/endpoint.hpp>

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandeliontack::tackctl
{

/// What the flags say.
struct options
{
    endpoint log;
    endpoint control;
    std::string publisher;
    std::chrono::milliseconds timeout{};
    bool json = false;
    /// Sent to control and entry processes unless empty.
    std::string token;
    /// The operator record that `watch` waits for; nothing for the last one
    /// that the control process has applied.
    std::optional<std::uint64_t> offset;
};

// Each runs one command and returns the exit code.
int check(const options& chosen, const std::vector<std::string>& arguments);
int publish(const options& chosen, const std::vector<std::string>& arguments);
int diff(const options& chosen, const std::vector<std::string>& arguments);
int watch(const options& chosen, const std::vector<std::string>& arguments);
int status(const options& chosen, const std::vector<std::string>& arguments);

/// Reads a configuration file. Prints all findings where there are any and
/// returns nothing.
std::optional<std::vector<config_event>>
load_configuration(const std::string& path);

/// Fetches a page of the control process. Says so on standard error where it
/// does not answer, and returns nothing.
std::optional<boost::json::object>
fetch(const options& chosen, const std::string& target);

} // namespace dandeliontack::tackctl
