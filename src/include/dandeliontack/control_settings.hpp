#pragma once

#include <dandeliontack/leadership.hpp>
#include <dandeliontack/settings.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace dandeliontack
{

/// Section `[log]`: the platform's log service.
struct log_settings
{
    endpoint address;
    std::chrono::milliseconds timeout = std::chrono::seconds(2);
    /// How long one read waits for a new record.
    std::chrono::milliseconds poll = std::chrono::seconds(5);
};

/// Section `[hosts]`: the platform's host list.
struct hosts_settings
{
    endpoint address;
    std::chrono::milliseconds interval = std::chrono::milliseconds(500);
    std::chrono::milliseconds timeout = std::chrono::seconds(2);
};

/// Section `[grpc]`: where entry processes and peers reach this process.
struct grpc_settings
{
    endpoint listen;
};

/// Section `[leadership]`: heartbeats, leases and takeover.
using leadership_settings = lease_settings;

/// Section `[snapshots]`: when the leader writes a snapshot to the log.
struct snapshot_settings
{
    /// After so many records of the system's stream.
    std::uint64_t records = 20'000;
    /// Or after this time, where there is any new record.
    std::chrono::milliseconds interval = std::chrono::minutes(10);
};

/// All settings of `tack-control`.
struct control_settings
{
    node_settings node;
    log_settings log;
    hosts_settings hosts;
    grpc_settings grpc;
    leadership_settings leadership;
    snapshot_settings snapshots;
    admin_settings admin;
    api_settings api;
    logging_settings logging;
    machine_limits limits;
};

checked<control_settings> parse_control_settings(const ini_document& document);

/// Every key that the program knows, as `section.key`.
std::vector<std::string> control_setting_keys();

} // namespace dandeliontack
