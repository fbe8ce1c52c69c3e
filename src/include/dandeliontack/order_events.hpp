#pragma once

#include <dandeliontack/finding.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace dandeliontack
{

/// Puts all operator records with an offset below `end` in order here.
struct operators_ordered
{
    std::uint64_t end = 0;
};

/// A record that could not be decoded or failed its checks.
struct record_malformed
{
    findings found;
};

/// A part of an encoded snapshot. Its parts follow each other, though other
/// writers' records may stand between them.
struct snapshot_chunk
{
    /// The offsets that the state was taken at.
    std::uint64_t system_end = 0;
    std::uint64_t operators_end = 0;
    std::uint64_t state_hash = 0;
    std::uint64_t index = 0;
    std::uint64_t count = 0;
    /// Of `data`.
    std::uint64_t checksum = 0;
    std::string data;

    bool operator==(const snapshot_chunk&) const = default;
};

using order_event =
    std::variant<operators_ordered, record_malformed, snapshot_chunk>;

} // namespace dandeliontack
