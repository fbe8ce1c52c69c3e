#pragma once

#include <dandeliontack/finding.hpp>
#include <dandeliontack/incarnation.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace dandeliontack
{

/// What entry processes route by has changed.
struct routing_changed
{
};

/// A published value is in force from this record on.
struct config_accepted
{
    /// `pool NAME` or `service NAME VERSION`.
    std::string subject;
    std::uint64_t revision = 0;
};

/// A record was not accepted.
struct record_rejected
{
    incarnation writer;
    std::uint64_t sequence = 0;
    findings found;
};

/// A record was a second copy of one that was applied before.
struct duplicate_dropped
{
    incarnation writer;
    std::uint64_t sequence = 0;
};

using config_effect = std::variant<
    routing_changed, config_accepted, record_rejected, duplicate_dropped>;

} // namespace dandeliontack
