#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dandeliontack
{

/// An IP number and a TCP port. Port 0 asks the system for a free port.
struct endpoint
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
};

/// Parses `A.B.C.D:PORT` or `[v6]:PORT`; names are not resolved. Returns
/// nothing where the text is not of that form.
std::optional<endpoint> parse_endpoint(std::string_view text);

/// Renders the endpoint in the form that `parse_endpoint` reads.
std::string to_string(const endpoint& value);

} // namespace dandeliontack
