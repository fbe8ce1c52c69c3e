#pragma once

#include <dandeliontack/config_events.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dandeliontack
{

/// A request's service and what is left of its target for the upstream.
struct service_target
{
    std::string service;
    /// Begins with a slash and includes the query.
    std::string path;
};

/// Parses `/services/NAME/PATH`; nothing where the target is not of that form.
std::optional<service_target> parse_target(std::string_view target);

/// Parses a header value as a whole number within bounds.
std::optional<std::uint64_t>
parse_bounded(std::string_view text, std::uint64_t least, std::uint64_t most);

} // namespace dandeliontack
