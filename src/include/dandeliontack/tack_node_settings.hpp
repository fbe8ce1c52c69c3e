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

/// Section `[listen]`: the addresses that a node serves.
struct node_listen_settings
{
    endpoint callers;
    endpoint readiness;
    /// Other nodes.
    endpoint peers;
    /// Metrics and health.
    endpoint metrics;
};

/// Section `[store]`: the platform's store and what it takes.
struct node_store_settings
{
    endpoint address;
    std::uint64_t partitions = 8;
    std::uint64_t record_bytes = 256 * 1024;
    std::uint64_t call_bytes = 2 * 1024 * 1024;
    /// What the store reads for all nodes together; 0 for no bound.
    double read_mb_per_second = 0;
};

/// Section `[machines]`: where machines are listed and ordered about.
struct node_machines_settings
{
    endpoint address;
    /// The longest that a move and an upkeep take, in seconds.
    double move_seconds = 2;
    double upkeep_seconds = 2;
    /// Orders about machines that the platform takes from all nodes together.
    double orders_per_second = 32;
    /// The size of a cell when the layout is chosen: what one owner of each
    /// pool on half a core can serve (docs/CAPACITY.md).
    std::uint64_t machines_per_cell = 240;
};

/// Section `[advice]`: the service that says which hosts may run a step.
struct node_advice_settings
{
    std::string address;
};

/// Section `[bounds]`: what the deployment guarantees or asks for.
struct node_bounds_settings
{
    double stop_ms = 1000;
    double hold_max_ms = 10'000;
    double status_seconds = 120;
    double grace_seconds = 6;
    double lease_ms = 3000;
    /// Within this a configuration is in force on every node.
    double config_ms = 2000;
};

/// Section `[limits]`: what the machine gives the process.
struct node_limits_settings
{
    double cpu_share = 1;
    double cores = 1;
    std::uint64_t descriptors = 4096;
};

/// The settings of a node.
struct tack_node_settings
{
    node_settings node;
    node_listen_settings listen;
    node_store_settings store;
    node_machines_settings machines;
    node_advice_settings advice;
    node_bounds_settings bounds;
    node_limits_settings limits;
};

/// Reads and checks the settings, with all findings together.
checked<tack_node_settings>
parse_tack_node_settings(const ini_document& document);

/// Every key that the settings may hold, as `section.key`.
std::vector<std::string> tack_node_setting_keys();

/// What the pools are decided by under these settings.
pool_terms pool_terms_of(const tack_node_settings& settings);
/// From the decision that a machine moves until its host takes tasks.
std::chrono::milliseconds machine_lead_of(const tack_node_settings& settings);

} // namespace dandeliontack
