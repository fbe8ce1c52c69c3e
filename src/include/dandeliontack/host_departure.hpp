#pragma once

#include <dandeliontack/boot_clock.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dandeliontack
{

/// A moment on the steady clock of a shard's owner, in one of its epochs.
struct owner_moment
{
    std::uint64_t epoch = 0;
    boot_time at;

    bool operator==(const owner_moment&) const = default;
};

/// The fleet duty's report to the owner of a host that the host has ended. The
/// platform names hosts by an id that outlives an incarnation, so what it shows
/// is true of the incarnations that began before it was asked.
struct host_departure
{
    std::string host;
    /// When the owner gave an answer that the duty had received before it asked
    /// the platform: incarnations that the owner knew then have ended. Empty
    /// from a node of a version that did not tell incarnations apart.
    std::optional<owner_moment> known_before;
    /// How long ago the platform's answer was received.
    std::chrono::milliseconds age{0};
};

/// `ID EPOCH AT AGE`, with times in milliseconds. Earlier versions, which send
/// the id alone, take the whole for an id that they don't know.
std::string encode(const host_departure& departure);
/// Returns no value unless the text has one of the two forms.
std::optional<host_departure> decode_host_departure(std::string_view text);

} // namespace dandeliontack
