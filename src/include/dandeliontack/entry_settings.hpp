#pragma once

#include <dandeliontack/settings.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandeliontack
{

/// Section `[control]`: the control process on the same host.
struct control_link_settings
{
    endpoint address;
};

/// Section `[callers]`: what callers may send.
struct callers_settings
{
    endpoint listen;
    std::uint64_t header_bytes = 8 * 1024;
    std::uint64_t body_bytes = 1024 * 1024;
    std::uint64_t buffered_bytes = 64 * 1024 * 1024;
    std::uint64_t connections = 4096;
    std::chrono::milliseconds idle = std::chrono::seconds(60);
    std::chrono::milliseconds transfer = std::chrono::seconds(10);
};

/// Section `[upstreams]`.
struct upstreams_settings
{
    /// The largest body that an upstream may answer with, in bytes.
    std::uint64_t body_bytes = 16 * 1024 * 1024;
    /// Among how many entry processes a worker's slots are shared.
    std::uint64_t entry_processes = 1;
    /// Which of them this one is, from 0; each must have its own number.
    std::uint64_t entry_index = 0;
    /// How often one request may be sent again to another upstream.
    std::uint64_t retries = 2;
    /// How many requests may wait for a slot, for each service and class.
    std::uint64_t queue = 128;
};

/// Section `[tickets]`: how non-idempotent requests run at most once.
struct tickets_settings
{
    /// The other entry processes, as `ADDRESS` or `ADDRESS:PORT` of their
    /// callers' side; only these are asked about tickets that they issued.
    std::vector<std::string> peers;
    /// Where other entry processes reach this one, if not at
    /// `callers.listen`.
    std::optional<endpoint> advertise;
    /// How many tickets are remembered at once.
    std::uint64_t capacity = 65536;
    /// How long a ticket is remembered after it was issued.
    std::chrono::milliseconds lifetime = std::chrono::minutes(10);
    /// How many bytes of answers are kept for copies that come later.
    std::uint64_t answer_bytes = 16 * 1024 * 1024;
};

/// Section `[stop]`: what happens on SIGTERM.
struct stop_settings
{
    /// How long requests are still accepted after readiness is off, so that
    /// the balancer learns of it.
    std::chrono::milliseconds linger = std::chrono::seconds(2);
    /// How long requests in progress may take after that.
    std::chrono::milliseconds patience = std::chrono::seconds(30);
};

/// All settings of `tack-entry`.
struct entry_settings
{
    node_settings node;
    control_link_settings control;
    callers_settings callers;
    upstreams_settings upstreams;
    tickets_settings tickets;
    stop_settings stop;
    admin_settings admin;
    api_settings api;
    logging_settings logging;
    machine_limits limits;
};

checked<entry_settings> parse_entry_settings(const ini_document& document);

/// Every key that the program knows, as `section.key`.
std::vector<std::string> entry_setting_keys();

} // namespace dandeliontack
