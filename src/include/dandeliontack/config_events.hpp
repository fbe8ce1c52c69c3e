#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace dandeliontack
{

/// What a node does for a pool when it can't confirm that its state is fresh.
enum class stale_policy : std::uint8_t
{
    serve,
    refuse
};

/// A pool of hosts, as operators publish it.
struct pool_config
{
    std::string name;
    std::vector<std::string> hosts;
    /// How many hosts must stay in service through maintenance.
    std::uint64_t budget_hosts = 0;
    /// How old unconfirmed state may get before `when_stale` applies.
    std::chrono::milliseconds staleness_bound = std::chrono::seconds(10);
    stale_policy when_stale = stale_policy::serve;

    bool operator==(const pool_config&) const = default;
};

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

/// An operator published a pool, based on revision `base` of it; 0 for a new
/// one.
struct pool_published
{
    std::string publisher;
    std::uint64_t base = 0;
    pool_config config;
};

/// An operator published a service, based on revision `base` of it.
struct service_published
{
    std::string publisher;
    std::uint64_t base = 0;
    service_config config;
};

using config_event = std::variant<pool_published, service_published>;

} // namespace dandeliontack
