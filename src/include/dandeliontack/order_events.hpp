#pragma once

#include <dandeliontack/finding.hpp>

#include <cstdint>
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

using order_event = std::variant<operators_ordered, record_malformed>;

} // namespace dandeliontack
