#pragma once

#include <dandeliontack/endpoint.hpp>
#include <dandeliontack/finding.hpp>
#include <dandeliontack/ini.hpp>
#include <dandeliontack/pool_engine.hpp>
#include <dandeliontack/settings.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandeliontack
{

/// Section `[listen]`: the addresses that a node listens on.
struct node_listen_settings
{
    endpoint callers;
    endpoint readiness;
    /// Calls from other nodes.
    endpoint peers;
    /// Metrics and health.
    endpoint metrics;
};

/// Section `[store]`: the platform's store and its limits.
struct node_store_settings
{
    endpoint address;
    std::uint64_t partitions = 8;
    std::uint64_t record_bytes = 256 * 1024;
    std::uint64_t call_bytes = 2 * 1024 * 1024;
    /// The store's read throughput for all nodes together; 0 for no limit.
    double read_mb_per_second = 0;
};

/// Section `[machines]`: the API that lists, moves and maintains machines.
struct node_machines_settings
{
    endpoint address;
    /// Upper bounds of the duration of a move and of a maintenance operation.
    double move_seconds = 2;
    double upkeep_seconds = 2;
    /// The platform's rate limit for move and maintenance requests of all nodes
    /// together.
    double orders_per_second = 32;
    /// The size of a cell when the layout is chosen: as many machines as one
    /// owner of each pool can serve on half a core (docs/CAPACITY.md).
    std::uint64_t machines_per_cell = 240;
};

/// Section `[advice]`: the service that decides which hosts may run a step.
struct node_advice_settings
{
    std::string address;
};

/// Section `[placement]`: how tasks are placed on hosts.
struct node_placement_settings
{
    /// Whether hosts are reserved for large tasks and gangs that wait
    /// (docs/design/placement.md).
    bool look_ahead = false;
};

/// Section `[bounds]`: time limits that the deployment guarantees or requires.
struct node_bounds_settings
{
    double stop_ms = 1000;
    double hold_max_ms = 10'000;
    double status_seconds = 120;
    double grace_seconds = 6;
    double lease_ms = 3000;
    /// A new configuration is in force on every node within this time.
    double config_ms = 2000;
    /// A node hands shards over to one that has been available for this long
    /// and has much less load; 0 for never.
    double balance_ms = 0;
};

/// Section `[scheduling]`: what the scheduler does beyond the order of tasks.
struct node_scheduling_settings
{
    /// Hosts that slow their tasks down get no new ones.
    bool avoid_slow_hosts = false;
};

/// Section `[limits]`: the machine's resources for the process.
struct node_limits_settings : machine_limits
{
    double cpu_share = 1;
    double cores = 1;
};

/// The settings of a node.
struct tack_node_settings
{
    node_settings node;
    node_listen_settings listen;
    node_store_settings store;
    node_machines_settings machines;
    node_advice_settings advice;
    node_placement_settings placement;
    node_bounds_settings bounds;
    node_scheduling_settings scheduling;
    node_limits_settings limits;
};

/// Parses and validates the settings; reports all findings at once.
checked<tack_node_settings>
parse_tack_node_settings(const ini_document& document);

/// All keys of the settings, as `section.key`.
std::vector<std::string> tack_node_setting_keys();

/// The parameters of the pool engine for these settings.
pool_terms pool_terms_of(const tack_node_settings& settings);
/// The most bytes that the submissions of one node may keep together.
std::uint64_t kept_bytes_of(const machine_limits& limits);
/// The most bytes that the decoded form of one request may take.
std::uint64_t decoded_bytes_of(const machine_limits& limits);
/// Time from the decision to move a machine until its new host accepts tasks.
std::chrono::milliseconds machine_lead_of(const tack_node_settings& settings);

} // namespace dandeliontack
