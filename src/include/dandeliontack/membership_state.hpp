#pragma once

#include <dandeliontack/endpoint.hpp>
#include <dandeliontack/incarnation.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace dandeliontack
{

/// A control process as the log knows it.
struct member
{
    std::string name;
    std::string data_centre;
    endpoint peer_address;
    /// The end of the system's stream behind its last sign of life.
    std::uint64_t heard_at = 0;
    /// How far it said to have applied each stream.
    std::uint64_t system_end = 0;
    std::uint64_t operators_end = 0;

    bool operator==(const member&) const = default;
};

/// Who decides for all.
struct term_state
{
    /// Counts the terms from 1; 0 before the first.
    std::uint64_t number = 0;
    /// Zero where the leader has left.
    incarnation leader;
    /// The end of the system's stream behind its claim or last heartbeat.
    std::uint64_t heard_at = 0;

    bool operator==(const term_state&) const = default;
};

struct membership_state
{
    std::map<incarnation, member> nodes;
    term_state term;
    /// Records voided because their term was over.
    std::uint64_t fenced = 0;

    bool operator==(const membership_state&) const = default;
};

} // namespace dandeliontack
