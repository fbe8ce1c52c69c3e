#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace dandeliontack
{

/// The fleet duty's report to the owner of a host that an incarnation of it has
/// ended.
struct host_departure
{
    std::string host;
    /// Start time of the newest incarnation that has ended; later ones, which
    /// have the same id, may be alive. Empty from a node of a version that did
    /// not tell incarnations apart.
    std::optional<std::chrono::milliseconds> born;
    /// How long ago the platform's answer that shows it was received.
    std::chrono::milliseconds age{0};
};

/// `ID BORN AGE`, with times in milliseconds. Earlier versions, which send the
/// id alone, take the whole for an id that they don't know.
std::string encode(const host_departure& departure);
/// Returns no value unless the text has one of the two forms.
std::optional<host_departure> decode_host_departure(std::string_view text);

} // namespace dandeliontack
