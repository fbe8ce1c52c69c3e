#pragma once

#include <dandeliontack/submission.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandeliontack
{

enum class machine_state : std::uint8_t
{
    up,
    moving,
    upkeep,
    down
};

/// A machine of the platform. A host is one incarnation of a machine.
struct listed_machine
{
    std::string name;
    std::string pool;
    machine_state state = machine_state::down;
    std::string data_centre;
    std::vector<std::string> labels;
    /// Does not change over the machine's life; empty if unknown.
    std::string rack;
    resources capacity;
    /// The host that runs on the machine; empty if there is none.
    std::string host;

    bool operator==(const listed_machine&) const = default;
};

struct machine_page
{
    std::vector<listed_machine> machines;
    std::string next;
    /// Whether every machine of the page could be read.
    bool complete = true;
};

/// The machines of the platform.
struct machine_listing
{
    std::vector<listed_machine> machines;
    /// If not set, a machine that is not listed may exist.
    bool complete = true;
};

/// The platform's answer to an order for a machine.
enum class machine_answer : std::uint8_t
{
    accepted,
    fenced,
    busy,
    not_in_wave,
    unknown_machine,
    /// Not executed: the rate limit was exceeded or the platform is
    /// unavailable.
    refused,
    /// No answer was received; the order may have been executed.
    unknown
};

std::string_view to_string(machine_answer answer);

/// An operator's request to perform upkeep on a set of machines.
struct wave_request
{
    std::string name;
    std::vector<std::string> machines;
    std::chrono::milliseconds time_limit{0};
    std::uint32_t max_concurrent = 1;

    bool operator==(const wave_request&) const = default;
};

} // namespace dandeliontack
