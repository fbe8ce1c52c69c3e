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

/// A machine of the platform; a host is one life of it.
struct listed_machine
{
    std::string name;
    std::string pool;
    machine_state state = machine_state::down;
    std::string data_centre;
    std::vector<std::string> labels;
    /// Stays with the machine; empty where not said.
    std::string rack;
    room capacity;
    /// The host that lives on it; empty where none does.
    std::string host;

    bool operator==(const listed_machine&) const = default;
};

struct machine_page
{
    std::vector<listed_machine> machines;
    std::string next;
};

/// How the platform answered an order about a machine.
enum class machine_answer : std::uint8_t
{
    accepted,
    fenced,
    busy,
    not_in_wave,
    unknown_machine,
    /// Nothing was done; asked too often, or the platform is away.
    refused,
    /// It may have been carried out.
    unknown
};

std::string_view to_string(machine_answer answer);

/// The operator's request that machines have their upkeep.
struct wave_request
{
    std::string name;
    std::vector<std::string> machines;
    std::chrono::milliseconds within{0};
    std::uint32_t most_at_once = 1;

    bool operator==(const wave_request&) const = default;
};

} // namespace dandeliontack
