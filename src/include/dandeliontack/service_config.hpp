#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

namespace dandeliontack
{

/// What callers ask for; several schema versions of one service may be in
/// force side by side.
struct service_key
{
    std::string name;
    std::uint64_t schema_version = 1;

    auto operator<=>(const service_key&) const = default;
};

/// A service, as operators publish it.
struct service_config
{
    service_key key;
    /// The pool whose hosts answer it.
    std::string pool;
    /// How long a request may take where the caller names no deadline.
    std::chrono::milliseconds deadline = std::chrono::seconds(5);

    bool operator==(const service_config&) const = default;
};

} // namespace dandeliontack
