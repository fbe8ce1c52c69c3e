#pragma once

#include <dandeliontack/endpoint.hpp>
#include <dandeliontack/incarnation.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dandeliontack
{

/// The right to run one non-idempotent request at most once. Only the
/// incarnation that issued it may run it.
struct ticket
{
    incarnation issuer;
    /// Random, so that a caller can't guess another caller's ticket.
    std::uint64_t number = 0;
    /// Where the issuer serves callers.
    endpoint address;

    bool operator==(const ticket&) const = default;
};

/// `ISSUER-NUMBER@ADDRESS`, with 32 and 16 hexadecimal digits.
std::string to_string(const ticket& value);

/// Parses what `to_string` renders; nothing where the text is anything else.
std::optional<ticket> parse_ticket(std::string_view text);

} // namespace dandeliontack
